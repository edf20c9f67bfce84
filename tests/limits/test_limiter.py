"""Tests of the limiter: rates across instances, deadlines, fair queueing."""

import itertools
import pathlib

import pytest
from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilhinge.conf.document import parse_document
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.identifiers import InstanceName, RequestId
from trefoilhinge.core.profiles import CallProfile
from trefoilhinge.core.verdicts import RefusalCode, Verdict
from trefoilhinge.limits.limiter import (
    MAXIMUM_QUEUED_PER_ORGANISATION,
    DistributedLimiter,
    make_distributed_limiter,
)
from trefoilhinge.limits.shares import DEMAND_TTL_S

DOCUMENT = parse_document(
    pathlib.Path('examples/kandy.json').read_text(encoding='utf-8')
).ok
HALL = next(one for one in DOCUMENT.organisations if one.name == 'hall-1')
CALL_TOKENS = 5000
NUMBERS = itertools.count()


def at(seconds: float) -> Instant:
    return Instant(seconds, 1_800_000_000 + seconds)


def make_call(organisation='hall-1', tokens=CALL_TOKENS, **changes):
    profile = CallProfile(
        request_id=RequestId(f'r{next(NUMBERS)}'),
        organisation=organisation,
        service='writer',
        model=True,
        path='/v1/completions',
        idempotent=True,
        key='',
        body_digest='',
        prompt_tokens=tokens - 100,
        output_tokens=100,
        prefix_digests=(),
        priority=5,
        deadline_s=1_000_000,
        received_s=0,
    )
    return evolve(profile, **changes)


def make_limiter(expected: int = 1) -> DistributedLimiter:
    limiter = make_distributed_limiter()
    limiter.configure(DOCUMENT)
    limiter.note_peers(frozenset(), expected, at(0))
    return limiter


class Fleet:
    """Limiters that exchange demands, and a count of the tokens they admit."""

    def __init__(self, size: int) -> None:
        self.names = [InstanceName(f'entry-{one}') for one in range(size)]
        self.limiters = {one: make_limiter(size) for one in self.names}
        self.admitted = 0

    def exchange(self, now_s: float, sides: list[set[str]]) -> None:
        for name, limiter in self.limiters.items():
            advertised = limiter.list_demands(32, at(now_s))
            for peer, other in self.limiters.items():
                if peer != name and any({name, peer} <= one for one in sides):
                    other.note_peer_demands(name, advertised, at(now_s))

    def offer(self, name: str, now_s: float) -> None:
        limiter = self.limiters[name]
        call = make_call()
        if limiter.admit(call, 0, at(now_s)) is None:
            self.admitted += call.total_tokens
            limiter.remove(call.request_id)

    def restart(self, name: str) -> None:
        self.limiters[name] = make_limiter(len(self.names))

    def bound(self, seconds: float, sides: int = 1) -> float:
        """Return the bound that docs/topics/limits.md states."""
        spans_s = seconds + HALL.burst_s + DEMAND_TTL_S * (sides - 1)
        return HALL.tokens_per_s * spans_s + len(self.names) * CALL_TOKENS


class TestRates:
    def test_demand_at_one_instance_gets_nearly_the_whole_rate(self):
        fleet = Fleet(8)
        everyone = [set(fleet.names)]
        for tick in range(1200):
            now_s = tick * 0.05
            if tick % 20 == 0:
                fleet.exchange(now_s, everyone)
            fleet.offer('entry-0', now_s)
        assert fleet.admitted <= fleet.bound(60)
        assert fleet.admitted >= 0.75 * HALL.tokens_per_s * 60

    @settings(max_examples=25, deadline=None, derandomize=True)
    @given(
        cut=st.sets(st.integers(0, 7)),
        cut_from=st.integers(0, 30),
        busy=st.lists(st.integers(0, 7), min_size=1, max_size=8),
        moves=st.integers(1, 30),
    )
    def test_partitions_keep_the_stated_bound(self, cut, cut_from, busy, moves):
        fleet = Fleet(8)
        side = {fleet.names[one] for one in cut}
        partitions = [side, set(fleet.names) - side]
        for tick in range(400):
            now_s = tick * 0.1
            if tick % 10 == 0:
                is_cut = cut_from <= now_s
                whole = [set(fleet.names)]
                fleet.exchange(now_s, partitions if is_cut else whole)
            for one in busy:
                turn = (one + tick // (10 * moves)) % 8
                fleet.offer(fleet.names[turn], now_s)
                fleet.offer(fleet.names[turn], now_s)
        assert fleet.admitted <= fleet.bound(40, sides=2)

    def test_an_isolated_instance_gets_only_an_equal_share(self):
        fleet = Fleet(8)
        alone = [{one} for one in fleet.names]
        for tick in range(1200):
            if tick % 20 == 0:
                fleet.exchange(tick * 0.05, alone)
            fleet.offer('entry-0', tick * 0.05)
            fleet.offer('entry-0', tick * 0.05)
        equal_rate = HALL.tokens_per_s / 8
        assert fleet.admitted <= equal_rate * (60 + HALL.burst_s) + CALL_TOKENS

    def test_restarts_grant_no_further_burst(self):
        fleet = Fleet(8)
        for tick in range(1200):
            now_s = tick * 0.05
            if tick % 40 == 0:
                fleet.restart('entry-0')
            fleet.offer('entry-0', now_s)
        equal_rate = HALL.tokens_per_s / 8
        starts = 30
        assert (
            fleet.admitted <= equal_rate * (60 + starts) + starts * CALL_TOKENS
        )
        assert fleet.admitted < starts * equal_rate * HALL.burst_s

    def test_unused_tokens_are_given_back(self):
        limiter = make_limiter()
        call = make_call(tokens=50_000)
        assert limiter.admit(call, 0, at(10)) is None
        again = make_call(tokens=50_000)
        limiter.admit(again, 0, at(10))
        limiter.settle(call, Verdict.NOT_RUN, 0, at(10))
        assert limiter.admit(make_call(), 0, at(10)) is None

    def test_a_refusal_names_the_limit_and_the_retry_time(self):
        limiter = make_limiter()
        limiter.admit(make_call(tokens=500_000), 0, at(10))
        refusal = limiter.admit(make_call(), 0, at(10))
        assert refusal.code is RefusalCode.TOKEN_RATE
        assert refusal.verdict is Verdict.NOT_RUN
        assert (refusal.limit, refusal.limit_value) == (
            'tokens_per_s',
            HALL.tokens_per_s,
        )
        assert refusal.example
        later = at(10 + refusal.retry_after_s + 0.1)
        assert limiter.admit(make_call(), 0, later) is None


class TestDeadlines:
    def test_a_call_that_would_miss_its_deadline_is_refused_at_once(self):
        limiter = make_limiter()
        refusal = limiter.admit(make_call(deadline_s=20), 15, at(10))
        assert refusal.code is RefusalCode.DEADLINE_TOO_SHORT
        assert refusal.verdict is Verdict.NOT_RUN
        assert refusal.retry_after_s >= 1
        assert limiter.count_queued() == 0


class TestQueue:
    def admit(self, limiter, count, name, tokens=CALL_TOKENS):
        calls = [make_call(name, tokens) for _ in range(count)]
        for call in calls:
            assert limiter.admit(call, 0, at(10)) is None
        return calls

    def serve(self, limiter, count):
        served = []
        for _ in range(count):
            call = next(iter(limiter.list_ready(at(10))))
            limiter.remove(call.request_id)
            served.append(call)
        return served

    def test_organisations_share_by_weight_in_tokens(self):
        limiter = make_limiter()
        self.admit(limiter, 40, 'hostesses', 4000)
        self.admit(limiter, 20, 'programme-press', 4000)
        served = self.serve(limiter, 20)
        names = [one.organisation for one in served]
        # Their weights are 3 and 2.
        assert names.count('hostesses') == pytest.approx(12, abs=1)

    def test_no_organisation_starves_behind_a_long_queue(self):
        limiter = make_limiter()
        self.admit(limiter, 90, 'hostesses', 4000)
        (last,) = self.admit(limiter, 1, 'hall-1')
        assert last in self.serve(limiter, 3)

    def test_an_idle_organisation_accumulates_no_credit(self):
        limiter = make_limiter()
        self.admit(limiter, 30, 'hostesses', 4000)
        self.serve(limiter, 20)
        self.admit(limiter, 10, 'hall-1')
        served = self.serve(limiter, 8)
        assert sum(one.organisation == 'hostesses' for one in served) >= 5

    def test_retried_calls_are_served_first(self):
        limiter = make_limiter()
        self.admit(limiter, 3, 'hostesses')
        (again,) = self.admit(limiter, 1, 'hall-1')
        limiter.remove(again.request_id)
        limiter.requeue(again, at(11))
        assert self.serve(limiter, 1) == [again]
        assert limiter.count_queued() == 3

    def test_queues_are_bounded(self):
        limiter = make_limiter()
        refusal = None
        for number in range(MAXIMUM_QUEUED_PER_ORGANISATION + 1):
            now = at(10 + number)
            refusal = limiter.admit(make_call(tokens=200), 0, now)
        assert refusal.code is RefusalCode.QUEUE_FULL
        assert refusal.verdict is Verdict.NOT_RUN
        assert limiter.admit(make_call('hall-2'), 0, at(9000)) is None


class TestDemands:
    def test_every_organisation_is_advertised_in_turn(self):
        limiter = make_limiter()
        names = [one.name for one in DOCUMENT.organisations]
        for name in names:
            limiter.admit(make_call(name), 0, at(10))
        advertised = set()
        for _ in range(6):
            words = limiter.list_demands(4, at(10))
            assert len(words) <= 4
            advertised.update(one.organisation for one in words)
        assert advertised == set(names)
