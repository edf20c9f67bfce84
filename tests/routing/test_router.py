"""Tests of the router."""

import json
import pathlib
from collections import Counter

import pytest
from attrs import evolve

from trefoilhinge.conf.document import parse_document
from trefoilhinge.conf.generated.messages import ChargeWord
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.events import AttemptOutcome
from trefoilhinge.core.identifiers import (
    AttemptId,
    InstanceName,
    RequestId,
    TargetName,
)
from trefoilhinge.core.profiles import CallProfile
from trefoilhinge.core.reports import CacheEvent, LoadReport
from trefoilhinge.core.verdicts import RefusalCode, Verdict
from trefoilhinge.membership.interfaces import TargetView
from trefoilhinge.routing.interfaces import (
    Deferred,
    GroupMember,
    GroupPlacement,
    TargetPlacement,
    Unplaceable,
)
from trefoilhinge.routing.router import BalancedRouter, make_balanced_router

TEXT = pathlib.Path('examples/kandy.json').read_text(encoding='utf-8')
DOCUMENT = parse_document(TEXT).ok
NO_TARGETS = frozenset()


def at(seconds: float) -> Instant:
    return Instant(seconds, 1_800_000_000 + seconds)


def make_views(count: int) -> tuple[TargetView, ...]:
    return tuple(
        TargetView(
            TargetName(f'writer-{one}'),
            f'10.0.1.{one}:8000',
            ('kandy', 'nuwara', 'badulla')[one % 3],
            'writer',
        )
        for one in range(count)
    )


def make_router(count: int = 25, seed: int = 1, **options) -> BalancedRouter:
    router = make_balanced_router('entry-0', 'kandy', seed, **options)
    router.configure(DOCUMENT)
    router.update_targets('writer', make_views(count), at(0))
    return router


def make_call(number: int, tokens: int = 2000, **changes) -> CallProfile:
    profile = CallProfile(
        request_id=RequestId(f'r{number}'),
        organisation='hall-1',
        service='writer',
        model=True,
        path='/v1/completions',
        idempotent=True,
        key='',
        body_digest='',
        prompt_tokens=tokens,
        output_tokens=100,
        prefix_digests=(),
        priority=5,
        deadline_s=1000,
        received_s=0,
    )
    return evolve(profile, **changes)


def send(router: BalancedRouter, profile: CallProfile, now_s: float) -> str:
    placed = router.place(profile, NO_TARGETS, at(now_s))
    assert isinstance(placed, TargetPlacement)
    name = placed.target.name
    attempt = AttemptId(profile.request_id, 1)
    router.charge(attempt, profile, (name,), at(now_s))
    return name


def report(router, name, queued, now_s, free=450_000, running=1):
    found = LoadReport(TargetName(name), queued, running, free)
    router.note_load(TargetName(name), found, at(now_s))


class TestQueues:
    def test_own_charges_count_before_any_report(self):
        router = make_router(16)
        sent = Counter(send(router, make_call(n, 20_000), 1) for n in range(8))
        assert max(sent.values()) == 1

    def test_short_calls_of_two_instances_use_different_targets(self):
        sent = set()
        for name, peer in (('entry-0', 'entry-1'), ('entry-1', 'entry-0')):
            router = make_balanced_router(name, 'kandy', 1)
            router.configure(DOCUMENT)
            router.update_targets('writer', make_views(25), at(0))
            router.note_peer_charges(peer, (), at(1))
            sent.add(send(router, make_call(1), 1))
        assert len(sent) == 2

    def test_a_report_does_not_count_own_charges_twice(self):
        router = make_router(1)
        send(router, make_call(1, 40_000), 1)
        once = router.estimate_ttft_s(make_call(2, 10_000), at(1.1))
        report(router, 'writer-0', 40_000, 1.1)
        again = router.estimate_ttft_s(make_call(2, 10_000), at(1.1))
        assert again == pytest.approx(once, rel=0.1)

    def test_peers_charges_count_unless_the_report_holds_them(self):
        router = make_router(1)
        call = make_call(2, 10_000)
        word = ChargeWord(target='writer-0', tokens=60_000, calls=1)
        peer = InstanceName('entry-1')
        report(router, 'writer-0', 60_000, 1)
        held = router.estimate_ttft_s(call, at(1.2))
        router.note_peer_charges(peer, (word,), at(1.2))
        assert router.estimate_ttft_s(call, at(1.2)) == pytest.approx(held)
        more = evolve(word, tokens=100_000)
        router.note_peer_charges(peer, (more,), at(1.2))
        grown = router.estimate_ttft_s(call, at(1.2))
        assert grown == pytest.approx(held + 40_000 / 20_000)
        router.note_peer_charges(peer, (), at(1.3))
        assert router.estimate_ttft_s(call, at(1.3)) < held + 0.01

    def test_charges_are_reported_until_the_first_token(self):
        router = make_router(2)
        name = send(router, make_call(1, 30_000), 1)
        (word,) = router.list_charges(8)
        assert (word.target, word.tokens, word.calls) == (name, 30_000, 1)
        router.note_first_token(AttemptId(RequestId('r1'), 1), at(2))
        assert router.list_charges(8)[0].tokens == 0
        attempt = AttemptId(RequestId('r1'), 1)
        router.release(attempt, AttemptOutcome.FINISHED, at(3))
        assert router.list_charges(8) == ()

    def test_eight_instances_do_not_herd_on_one_report(self):
        chosen = Counter()
        for seed in range(64):
            router = make_router(25, seed)
            for index in range(25):
                report(router, f'writer-{index}', 0 if index < 8 else 90_000, 1)
            chosen[send(router, make_call(1, 20_000), 1.1)] += 1
        assert max(chosen.values()) < 64 / 2
        assert len(chosen) >= 4


class TestShortBesideLong:
    def test_long_prompts_leave_targets_to_short_calls(self):
        router = make_router()
        long_targets = set()
        for number in range(30):
            long_targets.add(send(router, make_call(number, 45_000), 1))
            for one in range(3):
                call = make_call(100 + 3 * number + one, 1500)
                send(router, call, 1)
                attempt = AttemptId(call.request_id, 1)
                router.note_first_token(attempt, at(1))
                router.release(attempt, AttemptOutcome.FINISHED, at(1))
        assert 15 <= len(long_targets) < 25
        short = send(router, make_call(999, 1500), 1)
        assert short not in long_targets

    def test_short_calls_have_priority_at_the_engine(self):
        router = make_router()
        placed = router.place(make_call(1, 1500), NO_TARGETS, at(1))
        assert placed.priority > 7
        placed = router.place(make_call(2, 50_000), NO_TARGETS, at(1))
        assert placed.priority is None

    def test_short_calls_lose_priority_when_they_are_most_of_the_work(self):
        router = make_router(4)
        for number in range(3000):
            call = make_call(number, 4000)
            attempt = AttemptId(call.request_id, 1)
            router.charge(attempt, call, (TargetName('writer-0'),), at(1))
        placed = router.place(make_call(9999, 1500), NO_TARGETS, at(1))
        assert placed.priority is None

    def test_weight_for_long_prompts_frees_the_reserve(self):
        balance = evolve(DOCUMENT.balance, long_weight=1)
        router = make_router()
        router.configure(evolve(DOCUMENT, balance=balance))
        long_targets = {
            send(router, make_call(n, 90_000), 1) for n in range(25)
        }
        assert len(long_targets) == 25

    def test_a_reserve_is_used_rather_than_a_long_queue(self):
        router = make_router()
        long_targets = {
            send(router, make_call(n, 400_000), 1) for n in range(25)
        }
        assert len(long_targets) == 25


class TestPrefixes:
    DIGESTS = tuple(range(100, 180))

    def learn(self, router, gap=0):
        found = tuple(
            CacheEvent(index + 1 + gap * (index > 0), digest, True)
            for index, digest in enumerate(self.DIGESTS)
        )
        router.note_cache_events(TargetName('writer-3'), found, at(1))

    def test_a_call_goes_to_the_holder_of_its_prefix(self):
        for seed in range(10):
            router = make_router(25, seed)
            self.learn(router)
            call = make_call(1, 60_000, prefix_digests=self.DIGESTS)
            assert send(router, call, 2) == 'writer-3'

    def test_a_prefix_is_not_worth_a_longer_queue(self):
        router = make_router()
        self.learn(router)
        report(router, 'writer-3', 200_000, 1.5)
        call = make_call(1, 60_000, prefix_digests=self.DIGESTS)
        assert send(router, call, 2) != 'writer-3'

    def test_an_expired_or_evicted_prefix_is_not_used(self):
        call = make_call(1, 60_000, prefix_digests=self.DIGESTS)
        router = make_router(1)
        unknown = router.estimate_ttft_s(call, at(1))
        router = make_router(1 + 3)
        self.learn(router)
        assert router.estimate_ttft_s(call, at(2)) < unknown / 2
        assert router.estimate_ttft_s(call, at(2000)) == pytest.approx(
            unknown, rel=0.1
        )
        gone = tuple(
            CacheEvent(200 + index, digest, False)
            for index, digest in enumerate(self.DIGESTS)
        )
        router.note_cache_events(TargetName('writer-3'), gone, at(2))
        assert router.estimate_ttft_s(call, at(2)) == pytest.approx(
            unknown, rel=0.1
        )

    def test_a_restart_invalidates_the_cache(self):
        router = make_router(4)
        self.learn(router)
        call = make_call(1, 60_000, prefix_digests=self.DIGESTS)
        before = router.estimate_ttft_s(call, at(2))
        views = tuple(evolve(one, incarnation=2) for one in make_views(4))
        router.update_targets('writer', views, at(2))
        assert router.estimate_ttft_s(call, at(2)) > 2 * before


class TestHealth:
    def fail(self, router, name, count, now_s):
        for number in range(count):
            call = make_call(number)
            attempt = AttemptId(call.request_id, 1)
            router.charge(attempt, call, (TargetName(name),), at(now_s))
            router.release(attempt, AttemptOutcome.NOT_SENT, at(now_s))

    def list_chosen(self, router, now_s):
        return {send(router, make_call(n), now_s) for n in range(200, 230)}

    def test_a_failing_target_is_ejected_and_reinstated(self):
        router = make_router(3)
        self.fail(router, 'writer-0', 3, 1)
        assert 'writer-0' not in self.list_chosen(router, 2)
        assert 'writer-0' in self.list_chosen(router, 30)

    def test_no_more_than_the_maximum_share_is_ejected(self):
        router = make_router(10)
        for index in range(10):
            self.fail(router, f'writer-{index}', 5, 1)
        assert len(self.list_chosen(router, 1.5)) >= 7

    def test_abandoned_attempts_are_not_failures(self):
        router = make_router(2)
        for number in range(9):
            call = make_call(number)
            attempt = AttemptId(call.request_id, 1)
            router.charge(attempt, call, (TargetName('writer-0'),), at(1))
            router.release(attempt, AttemptOutcome.ABANDONED, at(1))
        assert self.list_chosen(router, 1) == {'writer-0', 'writer-1'}

    def test_leaving_targets_get_nothing(self):
        router = make_router(2)
        views = make_views(2)
        gone = (evolve(views[0], leaving=True), views[1])
        router.update_targets('writer', gone, at(1))
        assert self.list_chosen(router, 2) == {'writer-1'}
        both = tuple(evolve(one, leaving=True) for one in views)
        router.update_targets('writer', both, at(3))
        placed = router.place(make_call(1), NO_TARGETS, at(3))
        assert isinstance(placed, Deferred)

    def test_the_failed_target_is_avoided_on_a_retry(self):
        router = make_router(2)
        avoid = frozenset((TargetName('writer-0'),))
        for number in range(20):
            placed = router.place(make_call(number), avoid, at(1))
            assert placed.target.name == 'writer-1'


class TestOversized:
    def test_is_refused_as_not_run_without_a_group(self):
        placed = make_router(3).place(make_call(1, 600_000), NO_TARGETS, at(1))
        assert isinstance(placed, Unplaceable)
        assert placed.refusal.code is RefusalCode.TOO_LARGE
        assert placed.refusal.verdict is Verdict.NOT_RUN

    def test_waits_while_engines_of_the_domain_are_full(self):
        router = make_router(6)
        for index in range(6):
            report(router, f'writer-{index}', 0, 1, free=1000)
        placed = router.place(make_call(1, 600_000), NO_TARGETS, at(1))
        assert isinstance(placed, Deferred)

    def test_is_passed_to_the_planner(self):
        class Planner:
            def plan(self, profile, service, candidates, now):
                first, second = (one.target for one in candidates[:2])
                return GroupPlacement(
                    (
                        GroupMember(first, 0, 300_000),
                        GroupMember(second, 300_000, 300_000),
                    )
                )

        router = make_router(planner=Planner())
        placed = router.place(make_call(1, 600_000), NO_TARGETS, at(1))
        assert isinstance(placed, GroupPlacement)
        names = tuple(one.target.name for one in placed.members)
        attempt = AttemptId(RequestId('r1'), 1)
        router.charge(attempt, make_call(1, 600_000), names, at(1))
        tokens = [one.tokens for one in router.list_charges(4)]
        assert tokens == [300_000, 300_000]


class TestDocument:
    def test_targets_listed_before_the_document_are_used(self):
        router = make_balanced_router('entry-0', 'kandy', 1)
        router.update_targets('writer', make_views(2), at(0))
        router.configure(DOCUMENT)
        placed = router.place(make_call(1), NO_TARGETS, at(1))
        assert isinstance(placed, TargetPlacement)

    def test_learned_state_is_kept_by_a_new_document(self):
        router = make_router(1)
        report(router, 'writer-0', 80_000, 1)
        before = router.estimate_ttft_s(make_call(1, 10_000), at(1))
        fields = json.loads(TEXT)
        fields['revision'] = 2
        router.configure(parse_document(json.dumps(fields)).ok)
        again = router.estimate_ttft_s(make_call(1, 10_000), at(1))
        assert again == before
