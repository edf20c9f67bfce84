"""Tests of several instances whose calls compete for capacity."""

import asyncio
import collections
import json

import pytest

from tests.dispatch.samples import ENGINE_PROFILE
from tests.gateway.admission_networks import run_with
from tests.platform.test_decoding import SETTINGS
from trefoilhinge.dispatch.documents import CallKind
from trefoilhinge.gateway.settings_files import (
    ADMISSION_VARIABLE,
    load_settings,
)
from trefoilhinge.gateway.state import make_state
from trefoilhinge.platform.settings import SETTINGS_PATH_VARIABLE

CALLS = 160
SLOTS = {'d1': 8, 'd2': 8}


def spread_calls(network, count, **fields):
    """Make calls at all instances in turn."""
    ips = list(network.peers)
    for number in range(count):
        network.call(ips[number % len(ips)], **fields)


class TestOvercommitment:
    """Guards against calls that all instances send to the same free slot."""

    @pytest.mark.parametrize('instances', [1, 8, 24])
    def test_targets_get_no_more_calls_than_slots(self, instances):
        async def scenario(network):
            spread_calls(network, 8)
            await asyncio.sleep(0.1)
            spread_calls(network, CALLS)
            await network.wait_until_served()
            return network

        network = run_with(instances, SLOTS, scenario)
        assert len(network.served) == CALLS + 8
        # Those of the first moments are not announced to the others yet.
        assert max(target.most for target in network.targets.values()) <= 16

    @pytest.mark.parametrize('loss', [0, 0.05])
    def test_slots_do_not_idle_while_calls_wait(self, loss):
        async def scenario(network):
            began_s = asyncio.get_running_loop().time()
            spread_calls(network, CALLS, duration_s=0.5)
            await network.wait_until_served()
            took_s = asyncio.get_running_loop().time() - began_s
            return took_s / (CALLS * 0.5 / 16)

        assert run_with(8, SLOTS, scenario, loss=loss) < 1.25

    def test_memory_of_engines_is_not_overcommitted(self):
        async def scenario(network):
            for _ in range(3):
                spread_calls(network, 8, tokens=50_000, output_tokens=5_000)
                await asyncio.sleep(0.05)
            loads = next(iter(network.peers.values()))._state.loads
            most = 0
            for _ in range(100):
                await asyncio.sleep(0.05)
                most = max(most, loads.get('t1').memory_tokens)
            return network, most

        network, most = run_with(4, {'t1': 8}, scenario)
        assert most <= ENGINE_PROFILE.memory_tokens
        assert network.served


class TestOrder:
    """Guards against callers that take what belongs to others."""

    def test_highest_priority_is_first_over_all_instances(self):
        async def scenario(network):
            spread_calls(network, 16)
            await asyncio.sleep(0.1)
            spread_calls(network, 32, label='low', priority=3)
            await asyncio.sleep(0.1)
            spread_calls(network, 16, label='high', priority=0)
            await network.wait_until_served()
            return [label for label, _ in network.served[16:32]]

        assert run_with(8, SLOTS, scenario).count('high') >= 15

    def test_three_times_the_calls_give_no_larger_share(self):
        """Callers that retry at once make three times as many requests."""

        async def scenario(network):
            for _ in range(20):
                spread_calls(network, 24, organisation='pushy', label='pushy')
                spread_calls(network, 8, organisation='calm', label='calm')
                await asyncio.sleep(0.5)
            await network.wait_until_served()
            labels = [label for label, _ in network.served[32:160]]
            return collections.Counter(labels)

        counts = run_with(8, SLOTS, scenario)
        assert counts['calm'] >= 0.85 * counts['pushy']

    def test_early_disconnects_give_no_larger_share(self):
        async def scenario(network):
            for _ in range(20):
                spread_calls(
                    network,
                    16,
                    organisation='pushy',
                    label='pushy',
                    leaves_after_s=0.3,
                )
                spread_calls(network, 8, organisation='calm', label='calm')
                await asyncio.sleep(0.5)
            labels = [label for label, _ in network.served[32:160]]
            return collections.Counter(labels)

        counts = run_with(8, SLOTS, scenario)
        assert counts['calm'] >= 0.85 * counts['pushy']


class TestRefusal:
    """Guards against waits in vain and against needless refusals."""

    def test_call_is_refused_at_once_if_too_many_are_ahead(self):
        async def scenario(network):
            for _ in range(4):
                spread_calls(network, 32)
                await asyncio.sleep(1)
            spread_calls(network, 200, timeout_s=60)
            await asyncio.sleep(0.1)
            refused = len(network.refused)
            ip = next(iter(network.peers))
            await network.call(ip, 'hasty', timeout_s=2)
            return refused, network.refused[-1]

        _, (label, waited_s, refusal) = run_with(8, SLOTS, scenario)
        assert label == 'hasty'
        assert waited_s < 0.1
        assert refusal.status == 503
        assert refusal.verdict == 'not_run'
        assert refusal.retry_after_s > 2

    def test_no_call_waits_past_its_patience(self):
        async def scenario(network):
            spread_calls(network, 400, kind=CallKind.stream)
            await network.wait_until_served()
            waits = [waited_s for _, waited_s, _ in network.refused]
            waits += [waited_s for _, waited_s in network.served]
            return max(waits)

        # Patience is eight times the objective of 1 s for gaps.
        assert run_with(4, SLOTS, scenario) <= 8.1

    def test_call_that_can_be_on_time_is_served(self):
        async def scenario(network):
            spread_calls(network, 32)
            await asyncio.sleep(0.05)
            await network.call(next(iter(network.peers)), timeout_s=4)
            return network.refused

        assert not run_with(8, SLOTS, scenario)


class TestFailures:
    """Guards against capacity that is lost with an instance or a link."""

    def test_slots_of_killed_instances_are_used_by_others(self):
        async def scenario(network):
            spread_calls(network, CALLS, duration_s=0.5)
            await asyncio.sleep(0.2)
            for ip in list(network.peers)[:4]:
                network.kill(ip)
            began_s = asyncio.get_running_loop().time()
            await network.wait_until_served()
            return asyncio.get_running_loop().time() - began_s

        # The work left needs 2.5 s; the runs of the dead are counted until
        # their heartbeats are missed, 2.5 s.
        assert run_with(8, SLOTS, scenario) < 5.5

    def test_both_sides_of_a_partition_are_served(self):
        async def scenario(network):
            ips = list(network.peers)
            network.groups = [ips[:4], ips[4:]]
            spread_calls(network, CALLS, duration_s=0.5)
            await network.wait_until_served()
            return network

        network = run_with(8, SLOTS, scenario)
        assert len(network.served) == CALLS
        # Each side fills the slots that it sees.
        most = max(target.most for target in network.targets.values())
        assert most <= 2 * 8 + 8

    def test_lost_datagrams_end_no_call(self):
        async def scenario(network):
            began_s = asyncio.get_running_loop().time()
            spread_calls(network, CALLS, duration_s=0.5)
            await network.wait_until_served()
            took_s = asyncio.get_running_loop().time() - began_s
            return network, took_s / (CALLS * 0.5 / 16)

        network, ratio = run_with(8, SLOTS, scenario, loss=0.3)
        assert len(network.served) == CALLS
        assert ratio < 3


class TestSwitch:
    """Guards against new behaviour in deployments that did not ask for it."""

    def test_full_targets_are_used_where_capacity_is_not_scarce(self):
        async def scenario(network):
            for peers in network.peers.values():
                peers._state.admission.is_enabled = False
            spread_calls(network, 40)
            await asyncio.sleep(0.01)
            return network

        network = run_with(4, SLOTS, scenario)
        assert len(network.served) == 40
        for peers in network.peers.values():
            assert not peers._state.admission.waiting.count()
            capacity = peers._state.admission.capacity
            assert not capacity._rates


class TestSetting:
    @pytest.mark.parametrize(('text', 'expected'), [('', False), ('on', True)])
    def test_environment_enables_admission(
        self, monkeypatch, tmp_path, text, expected
    ):
        """Guards against processor time that was not asked for."""
        path = tmp_path / 'settings.json'
        path.write_text(json.dumps({**SETTINGS, 'contracts': ['pressure']}))
        monkeypatch.setenv(SETTINGS_PATH_VARIABLE, str(path))
        monkeypatch.setenv(ADMISSION_VARIABLE, text)
        state = make_state(load_settings())
        assert state.admission.is_enabled is expected
