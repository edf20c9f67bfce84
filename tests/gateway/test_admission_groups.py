"""Tests of waiting prompts that only a group of engines can hold."""

import asyncio

from tests.dispatch.samples import ENGINE_PROFILE
from tests.gateway.admission_networks import run_with
from trefoilhinge.gateway import target_choice

ENGINES = {'t1': 8, 't2': 8, 't3': 8, 't4': 8}
# An engine holds 222,720 tokens.
GROUP = {'tokens': 300_000, 'output_tokens': 1_000, 'slo_s': 8}
WHOLE = {
    'tokens': 190_000,
    'output_tokens': 20_000,
    'slo_s': 8,
    'timeout_s': 60,
}
SMALL = {'tokens': 5_000, 'output_tokens': 500}


async def fill(network, duration_s):
    """Let one prompt take nearly all memory of each engine."""
    ips = list(network.peers)
    for ip in (*ips, ips[0]):
        network.call(ip, 'whole', duration_s=duration_s, **WHOLE)
        await asyncio.sleep(0.1)


def list_memory(network):
    """Return the memory in use of each engine, as one instance knows it."""
    loads = next(iter(network.peers.values()))._state.loads
    return [loads.get(name).memory_tokens for name in ENGINES]


async def watch_memory(network, seconds):
    """Return the most memory that an engine had in use."""
    most = 0
    for _ in range(int(seconds / 0.05)):
        await asyncio.sleep(0.05)
        most = max(most, *list_memory(network))
    return most


class TestGroups:
    """Guards against large prompts that starve, block others, or overcommit."""

    def test_prompt_is_placed_when_the_memory_of_a_group_is_free(self):
        async def scenario(network):
            await fill(network, 3)
            assert min(list_memory(network)) >= 190_000
            ips = list(network.peers)
            for ip in ips[:2]:
                network.call(ip, 'group', **GROUP)
            most = await watch_memory(network, 6)
            return network, most

        network, most = run_with(3, ENGINES, scenario)
        waits = [waited_s for label, waited_s in network.served[4:]]
        assert len(waits) == 2
        # The last prompt ahead ends 3.3 s after the first one began.
        assert 2.2 < min(waits) <= max(waits) < 3.5
        assert most <= ENGINE_PROFILE.memory_tokens

    def test_prompt_is_refused_in_time_if_no_group_becomes_free(self):
        async def scenario(network):
            await fill(network, 50)
            await network.call(next(iter(network.peers)), 'group', **GROUP)
            return network.refused

        ((label, waited_s, refusal),) = run_with(3, ENGINES, scenario)
        assert label == 'group'
        # Its deadline is after 30 s, of which a group of 17 takes over a second.
        assert 25 < waited_s < 29
        assert refusal.status == 503
        assert refusal.verdict == 'not_run'

    def test_prompt_that_no_group_holds_is_refused_at_once(self):
        async def scenario(network):
            await fill(network, 3)
            large = {**GROUP, 'tokens': 1_200_000}
            await network.call(next(iter(network.peers)), 'large', **large)
            return network.refused

        ((_, waited_s, refusal),) = run_with(3, ENGINES, scenario)
        assert waited_s < 0.1
        assert refusal.verdict == 'not_run'

    def test_small_calls_neither_starve_it_nor_are_blocked(self):
        async def scenario(network):
            await fill(network, 3)
            ips = list(network.peers)
            network.call(ips[0], 'group', **GROUP)
            for number in range(200):
                network.call(ips[number % 3], 'small', duration_s=2, **SMALL)
                await asyncio.sleep(0.03)
            return network

        network = run_with(3, ENGINES, scenario)
        labels = dict(network.served[4:])
        assert labels['group'] < 6
        small = [
            waited_s for label, waited_s in network.served if label == 'small'
        ]
        assert len(small) > 30


class TestLongPrompts:
    """Guards against prompts that instances send to the same free memory."""

    def test_prompts_that_come_together_take_different_targets(self):
        async def scenario(network):
            for _ in range(2):
                for ip in network.peers:
                    network.call(ip, tokens=100_000, duration_s=9, slo_s=4)
                await asyncio.sleep(0.1)
            return network, max(list_memory(network))

        network, most = run_with(3, ENGINES, scenario)
        assert len(network.served) == 6
        assert most <= ENGINE_PROFILE.memory_tokens


class TestCost:
    """Guards against searches for targets that cannot succeed."""

    def test_searches_are_as_few_as_the_capacity_that_appears(
        self, monkeypatch
    ):
        """The prompts of groups were placed again in each pass."""
        searches = count_searches(monkeypatch)

        async def scenario(network):
            await fill(network, 3)
            ips = list(network.peers)
            network.call(ips[0], 'group', **GROUP)
            for number in range(60):
                network.call(ips[number % 3], 'small', duration_s=2, **SMALL)
                await asyncio.sleep(0.03)
            searches.clear()
            await asyncio.sleep(3)
            return network

        run_with(3, ENGINES, scenario)
        assert searches.count(GROUP['tokens']) <= 4

    def test_call_that_need_not_wait_is_searched_for_once(self, monkeypatch):
        searches = count_searches(monkeypatch)

        async def scenario(network):
            for _ in range(12):
                network.call(next(iter(network.peers)), **SMALL)
                await asyncio.sleep(0.5)
            return network

        network = run_with(3, ENGINES, scenario)
        assert len(network.served) == 12
        assert len(searches) == 12


def count_searches(monkeypatch):
    """Return a list that grows by the prompt tokens of each search."""
    searches = []
    original = target_choice.find_placement

    def find_placement(state, call, *arguments, **options):
        searches.append(call.head.prompt_size.prompt_tokens)
        return original(state, call, *arguments, **options)

    monkeypatch.setattr(target_choice, 'find_placement', find_placement)
    return searches
