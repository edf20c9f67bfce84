"""Tests of the order of waiting calls, without instances."""

import pytest
from attrs import evolve

from trefoilhinge.dispatch.admission.absences import AbsenceWatch
from trefoilhinge.dispatch.admission.allotment import allot
from trefoilhinge.dispatch.admission.capacity import (
    CapacityTable,
    TargetRoom,
    count_ahead,
)
from trefoilhinge.dispatch.admission.codec import CallsWaiting, WaitsEnded
from trefoilhinge.dispatch.admission.decisions import Verdict, decide
from trefoilhinge.dispatch.admission.order import rank_calls
from trefoilhinge.dispatch.admission.waiting import (
    MAXIMUM_WAITING_PER_ORIGIN,
    WAITING_EXPIRY_S,
    UsageTable,
    WaitingTable,
)
from trefoilhinge.dispatch.admission.waiting_calls import WaitingCall
from trefoilhinge.dispatch.message_codec import decode_message, encode_message

ORIGIN = '10.0.0.1/ab'
CALL = WaitingCall(ORIGIN, 1, 'model', 1, 7, 5000, 1.5, 1, 0, 5, 10)


def make_rooms(*tokens, slots=1):
    """Return targets with some free memory."""
    return [
        TargetRoom(f't{number}', slots, free, 200_000, 0, 0)
        for number, free in enumerate(tokens)
    ]


class TestAllotment:
    """Guards against large calls that starve, or that block all others."""

    def test_large_call_keeps_one_target_from_those_behind(self):
        large = evolve(CALL, memory_tokens=100_000)
        small = evolve(CALL, number=2, stamp=2)
        rooms = make_rooms(90_000, slots=3)
        ranked = list(rank_calls([small, large], UsageTable(), 1))
        assert ranked == [large, small]
        assert not allot(ranked, rooms, 1).targets

    def test_large_call_leaves_the_other_targets(self):
        large = evolve(CALL, memory_tokens=100_000)
        small = evolve(CALL, number=2, stamp=2)
        found = allot([large, small], make_rooms(*[90_000] * 8), 1)
        assert list(found.targets) == [small.key]

    def test_late_calls_follow_those_that_can_be_on_time(self):
        late = evolve(CALL, on_time_s=0.5)
        timely = evolve(CALL, number=2, stamp=2)
        ranked = rank_calls([late, timely], UsageTable(), 1)
        assert list(ranked) == [timely, late]


class TestRate:
    def test_runs_that_end_together_are_no_rate(self):
        """Guards against calls sent ahead after a burst of ends."""
        table = CapacityTable()
        for _ in range(16):
            table.record_end('desk', ['d1'], 100)
        assert count_ahead(table.estimate_release_per_s('desk', 100), 2) == 0


class TestDecision:
    def test_uncertain_wait_refuses_nothing(self):
        """Guards against refusals of calls that could still be on time."""
        for rate in (None, 12):
            decision = decide(
                CALL, has_room=False, position=99, release_per_s=rate, now_s=1
            )
            assert decision.verdict is Verdict.wait

    def test_certain_wait_refuses_at_once_with_the_expected_time(self):
        decision = decide(
            CALL, has_room=False, position=99, release_per_s=5, now_s=1
        )
        assert decision.verdict is Verdict.refuse
        assert decision.wait_s == 20


class TestAbsence:
    def test_call_that_takes_nothing_is_passed_over_for_a_time(self):
        """Guards against slots kept for calls of a killed instance."""
        watch = AbsenceWatch()
        for now_s in (0, 0.04, 0.08):
            watch.record({CALL.key}, now_s)
        assert watch.list_absent(0.1) == {CALL.key}
        watch.record(set(), 1.1)
        assert not watch.list_absent(1.1)


class TestMessages:
    def test_times_count_from_arrival(self):
        data = encode_message(CallsWaiting((CALL,), 2))
        call = decode_message(data, 102).ok.calls[0]
        assert call.since_s == 100
        assert call.latest_s == pytest.approx(110)
        assert evolve(call, since_s=0, on_time_s=5, latest_s=10) == CALL
        ended = WaitsEnded(ORIGIN, (1, 2))
        assert decode_message(encode_message(ended), 1).ok == ended

    def test_one_instance_does_not_fill_the_table(self):
        table = WaitingTable()
        for number in range(MAXIMUM_WAITING_PER_ORIGIN + 5):
            table.add(evolve(CALL, number=number), 0)
        assert table.count() == MAXIMUM_WAITING_PER_ORIGIN
        assert table.add(evolve(CALL, origin='10.0.0.2/a'), 0)
        assert not table.remove_expired(WAITING_EXPIRY_S)
        expired = table.remove_expired(WAITING_EXPIRY_S + 0.1)
        assert expired == MAXIMUM_WAITING_PER_ORIGIN + 1
