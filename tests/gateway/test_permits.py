"""Tests of the rate that many instances hold together."""

import asyncio
import random

import pytest

from tests.gateway.permit_networks import make_network
from tests.gateway.rate_windows import compute_allowed, count_most
from tests.gateway.virtual_time import run_virtually

SECONDS = 30
# Instances, and requests a second that the target named.
FLEETS = [(8, 0.5), (8, 1.2), (8, 10), (61, 0.3), (61, 1), (61, 10)]


def run_network(count, rate, disturb=None, loss=0.0):
    """Let all instances call without pause; return the times of sending.

    :param disturb: coroutine function that changes the network meanwhile.
    """

    async def run():
        network = make_network(count, rate)
        network.loss = loss
        heartbeats = asyncio.ensure_future(network.exchange_heartbeats())
        await asyncio.sleep(0)
        begin_s = asyncio.get_running_loop().time()
        calls = [
            asyncio.ensure_future(network.call(ip, begin_s + SECONDS))
            for ip in network.states
        ]
        if disturb is not None:
            await disturb(network)
        await asyncio.gather(*calls)
        heartbeats.cancel()
        return [at_s - begin_s for at_s in network.sent_s]

    return run_virtually(run())


@pytest.mark.parametrize(('count', 'rate'), FLEETS)
class TestFleetRate:
    def test_calm_fleet_uses_the_rate_and_keeps_it(self, count, rate):
        sent_s = run_network(count, rate)
        assert count_most(sent_s) <= compute_allowed(rate)
        assert len(sent_s) >= rate * SECONDS * 0.7

    def test_lost_datagrams_do_not_raise_it(self, count, rate):
        sent_s = run_network(count, rate, loss=0.3)
        assert count_most(sent_s) <= compute_allowed(rate)
        assert sent_s

    def test_partition_does_not_raise_it(self, count, rate):
        """Guards against two parts of a fleet that each use the whole rate."""

        async def divide(network):
            ips = list(network.states)
            await asyncio.sleep(5)
            network.groups = [ips[::2], ips[1::2]]
            await asyncio.sleep(20)
            network.groups = None

        sent_s = run_network(count, rate, divide)
        assert count_most(sent_s) <= compute_allowed(rate)
        during = [at_s for at_s in sent_s if 15 < at_s < 25]
        assert len(during) <= rate * 10 + 5

    def test_failed_owner_is_replaced_without_a_burst(self, count, rate):
        async def kill_owner(network):
            await asyncio.sleep(5)
            network.kill(network.find_owner())

        sent_s = run_network(count, rate, kill_owner)
        assert count_most(sent_s) <= compute_allowed(rate)
        assert [at_s for at_s in sent_s if at_s > 20]

    def test_instances_that_come_back_do_not_raise_it(self, count, rate):
        """Guards against an instance that wakes with an old view.

        It may take itself for the owner until it hears of the others.
        """

        async def isolate(network):
            for ip in list(network.states)[:3]:
                others = [one for one in network.states if one != ip]
                network.groups = [others]
                await asyncio.sleep(7)
                network.groups = None
                await asyncio.sleep(1)

        sent_s = run_network(count, rate, isolate)
        assert count_most(sent_s) <= compute_allowed(rate)


def count_retries(network):
    """Use up the retry budgets of all instances; return the retries."""
    count = 0
    for state in network.states.values():
        budget = state.find_retry_budget('model')
        while state.allows_retry('model'):
            budget.record_retry(state.get_now_s())
            count += 1
    return count


@pytest.mark.parametrize('count', [8, 61])
class TestRetryBudget:
    """Guards against parts of a fleet that each use the whole slack."""

    SLACK = 104

    def run(self, count, disturb):
        async def run():
            network = make_network(count, 1)
            heartbeats = asyncio.ensure_future(network.exchange_heartbeats())
            await asyncio.sleep(2)
            await disturb(network)
            heartbeats.cancel()
            return count_retries(network)

        return run_virtually(run())

    def test_calm_fleet_shares_the_slack(self, count):
        async def nothing(network):
            await asyncio.sleep(0)

        assert self.SLACK / 4 <= self.run(count, nothing) <= self.SLACK

    def test_isolated_instances_share_the_slack(self, count):
        async def isolate(network):
            network.groups = []
            await asyncio.sleep(15)

        assert self.run(count, isolate) <= self.SLACK


async def disturb_at_random(network, seed):
    """Restart, freeze and cut off instances, and lose datagrams."""
    generator = random.Random(seed)
    ips = list(network.states)
    begin_s = asyncio.get_running_loop().time()
    while asyncio.get_running_loop().time() < begin_s + SECONDS:
        kind = generator.choice(['kill', 'freeze', 'divide', 'isolate', 'lose'])
        chosen = generator.sample(ips, generator.randint(1, 3))
        if kind == 'kill':
            for ip in chosen:
                network.kill(ip)
        elif kind == 'freeze':
            for ip in chosen:
                network.freeze(ip)
        elif kind == 'divide':
            half = generator.sample(ips, len(ips) // 2)
            network.groups = [half, [ip for ip in ips if ip not in half]]
        elif kind == 'isolate':
            network.groups = [[ip for ip in ips if ip not in chosen]]
        else:
            network.loss = generator.uniform(0, 0.4)
        await asyncio.sleep(generator.uniform(0.3, 4))
        for ip in tuple(network.dead):
            network.start(ip)
        for ip in tuple(network.frozen):
            network.thaw(ip)
        network.groups = None
        network.loss = 0
        await asyncio.sleep(generator.uniform(0.2, 2))


@pytest.mark.parametrize('seed', range(6))
@pytest.mark.parametrize(('count', 'rate'), [(8, 1.2), (8, 10), (61, 1)])
class TestRandomFaults:
    def test_rate_holds(self, count, rate, seed):
        """Guards against a sum over the limit while views differ.

        Only calls of instances that were restarted or frozen within 3 s are
        excused.
        """
        sent_s = run_network(
            count, rate, lambda network: disturb_at_random(network, seed)
        )
        assert sent_s
        assert count_most(sent_s) <= compute_allowed(rate)
