"""Tests of the requests that cold targets get from many instances."""

import bisect
import random

import pytest
from attrs import define, field

from trefoilhinge.dispatch.warmup.cold_targets import (
    QUOTA_WINDOW_S,
    ColdLimits,
    ColdTable,
)
from trefoilhinge.dispatch.warmup.instances import MEMORY_S, KnownInstances
from trefoilhinge.dispatch.warmup.quotas import SHARED_FRACTION, compute_quota

LIMITS = ColdLimits(17, 17 * 1.5 + 5)
TARGET = ('t1', 1000)
COLD_S = 3.0
STEP_S = 0.002
LATENCY_S = (0.001, 0.006)  # of messages
TRANSIT_S = (0.001, 0.2)  # of requests, some of which are retransmitted


@define
class Fleet:
    """Instances that all want to send to one cold target.

    :ivar groups: group of each instance; messages stay within a group.
    :ivar arrivals_s: times at which requests arrive at the target.
    """

    count: int
    loss: float = 0
    groups: int = 1
    missing: int = 0
    arrivals_s: list = field(factory=list)
    tables: list = field(factory=list)
    _messages: list = field(factory=list)
    _random: random.Random = field(factory=lambda: random.Random(5))

    def __attrs_post_init__(self):
        ips = [f'10.0.{one // 250}.{one % 250}' for one in range(self.count)]
        newcomers = set(ips[: self.missing])
        for ip in ips:
            table = ColdTable(ip)
            unknown = newcomers if ip not in newcomers else set()
            table.update_others(frozenset(ips) - {ip} - unknown, 0)
            table.mark(TARGET, COLD_S, 0)
            self.tables.append(table)

    def run(self, calls_per_s):
        """Offer calls to instances at random until the target is warm."""
        steps = int(COLD_S / STEP_S)
        for step in range(steps):
            now_s = step * STEP_S
            self._deliver(now_s)
            for _ in range(self._draw(calls_per_s * STEP_S)):
                self._offer(self._random.randrange(self.count), now_s)
        self.arrivals_s.sort()

    def count_most(self):
        """Return the most requests that arrived in any one second."""
        return max(
            bisect.bisect_left(self.arrivals_s, at_s + 1) - position
            for position, at_s in enumerate(self.arrivals_s)
        )

    def _draw(self, mean):
        return int(mean) + int(self._random.random() < mean % 1)

    def _offer(self, number, now_s):
        table = self.tables[number]
        if not table.has_room(TARGET, LIMITS, now_s):
            return
        if table.take(TARGET, LIMITS, now_s):
            table.record_run(TARGET, now_s)
            transit_s = self._random.uniform(*TRANSIT_S)
            self.arrivals_s.append(now_s + transit_s)
            for other in range(self.count):
                is_heard = other % self.groups == number % self.groups
                if (
                    other != number
                    and is_heard
                    and self._random.random() >= self.loss
                ):
                    at_s = now_s + self._random.uniform(*LATENCY_S)
                    self._messages.append((at_s, other))

    def _deliver(self, now_s):
        due = [one for one in self._messages if one[0] <= now_s]
        self._messages = [one for one in self._messages if one[0] > now_s]
        for _, number in due:
            self.tables[number].record_run(TARGET, now_s)


class TestRate:
    """Guards against more requests than a cold target takes."""

    @pytest.mark.parametrize('count', [1, 3, 20, 91, 410])
    def test_announced_runs_keep_the_published_rate(self, count):
        fleet = Fleet(count)
        fleet.run(300)
        assert fleet.count_most() <= 20
        assert len(fleet.arrivals_s) >= 17

    @pytest.mark.parametrize('count', [1, 3, 20, 66, 91, 410])
    def test_no_message_arrives(self, count):
        """Guards against instances that are all cut off from each other."""
        fleet = Fleet(count, loss=1)
        fleet.run(2000)
        assert fleet.count_most() <= LIMITS.requests

    @pytest.mark.parametrize('groups', [2, 3])
    def test_partition(self, groups):
        fleet = Fleet(91, groups=groups, loss=0.05)
        fleet.run(1000)
        assert fleet.count_most() <= LIMITS.requests

    def test_instances_that_the_others_do_not_know_yet(self):
        """Guards against shares that add up to more after a start."""
        fleet = Fleet(91, loss=1, missing=5)
        fleet.run(2000)
        assert fleet.count_most() <= LIMITS.requests


class TestQuotas:
    @pytest.mark.parametrize('count', [1, 2, 17, 91, 410])
    def test_quotas_add_up_to_the_shared_requests(self, count):
        ips = {f'10.0.0.{number}' for number in range(count)}
        total = sum(
            compute_quota(TARGET, ip, frozenset(ips - {ip}), 30.5) for ip in ips
        )
        assert total == int(30.5 * SHARED_FRACTION)

    def test_each_target_has_other_senders(self):
        """Guards against instances that reach no cold target at all."""
        ips = {f'10.0.0.{number}' for number in range(91)}
        own = next(iter(ips))
        reached = [
            compute_quota((f't{number}', 1), own, frozenset(ips - {own}), 30.5)
            for number in range(54)
        ]
        assert 5 <= sum(reached) <= 30

    def test_silent_instances_are_counted(self):
        instances = KnownInstances()
        instances.record('10.0.0.1', 0)
        instances.record('10.0.0.2', 500)
        assert len(instances.list_known(MEMORY_S)) == 2
        assert instances.list_known(MEMORY_S + 1) == {'10.0.0.2'}
        instances.remove('10.0.0.2')
        assert not instances.list_known(MEMORY_S + 1)


class TestColdTable:
    def test_shorter_time_shortens_nothing(self):
        """Guards against an entry that is read later than an answer."""
        table = ColdTable('me')
        assert table.mark(TARGET, 3, 0)
        assert not table.mark(TARGET, 1, 0.5)
        assert table.is_cold(TARGET, 2.9)
        assert not table.is_cold(TARGET, 3)
        table.remove_ended(3)
        assert table.is_empty

    def test_wait_ends_when_the_window_does(self):
        table = ColdTable('me')
        table.mark(TARGET, 10, 0)
        limits = ColdLimits(2, 1 / SHARED_FRACTION + 0.01)
        assert table.take(TARGET, limits, 0)
        assert not table.take(TARGET, limits, 0.5)
        wait_s = table.compute_wait_s(TARGET, limits, 0.5)
        assert wait_s == pytest.approx(QUOTA_WINDOW_S - 0.5)
        assert table.take(TARGET, limits, 0.5 + wait_s + 0.001)

    def test_warm_target_is_not_limited(self):
        table = ColdTable('me')
        assert table.has_room(TARGET, LIMITS, 0)
        assert all(table.take(TARGET, LIMITS, 0) for _ in range(100))
