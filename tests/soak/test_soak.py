"""Soak tests: the gateway has no violations, its broken variants have."""

import pytest
from attrs import evolve

from trefoilhinge.soak.commands import SoakRequest, run_soak
from trefoilhinge.soak.event_kinds import (
    ColdKind,
    CrashKind,
    CrowdKind,
    DemandKind,
    EntryKind,
    EvacuationKind,
    ExpiryKind,
    FaultKind,
    MaintenanceKind,
    NeedKind,
    OutageKind,
    ReaderKind,
    RetryKind,
    SilenceKind,
    StopKind,
    StreamKind,
)
from trefoilhinge.soak.plans import PlannedEvent
from trefoilhinge.soak.records import CallKind

# Seeds that have failed before, with the violation that was observed.
# 2326: LIMIT; the end of a limit lifted that of the target's next incarnation.
REGRESSIONS = (2326,)


def make_plan(kind, count=4, duration_s=2.0, interval_s=1.5, first_s=1.0):
    """Return a plan of events of one kind, spread over all subjects."""
    return tuple(
        PlannedEvent(
            first_s + interval_s * number,
            duration_s,
            kind,
            (number + 0.5) / count,
        )
        for number in range(count)
    )


def play(folder, seed, plan, seconds, **options):
    """Run a soak of the gateway that violates nothing; return observations."""
    request = SoakRequest(seed, seconds, folder, plan=plan, **options)
    result = run_soak(request)
    assert result.violations == []
    return result.observations


def is_found(invariant, folder, seed, plan, variant, seconds=9, **options):
    """Return whether a soak finds that a variant violates an invariant."""
    program = ('-m', 'tests.soak.variants', variant)
    request = SoakRequest(
        seed, seconds, folder, program, plan, awaited=invariant, **options
    )
    found = run_soak(request).violations
    return invariant in {one.invariant for one in found}


# Each plan is played to broken variants, and once to the gateway.
# The selector chooses the fifth target, with 2.3 requests a second.
LIMIT = (PlannedEvent(0.5, 11, NeedKind.name_limit, 4.73 / 7),)
CUT_WATCHES = (
    PlannedEvent(0.5, 11, EntryKind.cut_watches, 0),
    *make_plan(EntryKind.remove_target, count=1, first_s=3),
)
PART_CRASHES = (PlannedEvent(0.5, 12, CrashKind.part, 0.1),)
REQUEST_CRASHES = (PlannedEvent(0.5, 12, CrashKind.request, 0.1),)
MODEL_EXPIRY = (PlannedEvent(0.5, 1, ExpiryKind.target, 1.5 / 7),)
PLAIN_EXPIRY = (PlannedEvent(0.5, 1, ExpiryKind.target, 5.5 / 7),)
COLD = (PlannedEvent(0.5, 3, ColdKind.service, 5.5 / 7),)
CUT_EVACUATION = (PlannedEvent(0.5, 1, EvacuationKind.cut, 0.6),)
RESTART_EVACUATION = (PlannedEvent(0.5, 1, EvacuationKind.restart, 0.6),)
SLOW_READERS = make_plan(ReaderKind.stop, count=2, interval_s=0.1)
OUTAGE = make_plan(OutageKind.restart, count=1)
# Most bookings go to the fifth target.
SILENCE = (
    PlannedEvent(2.0, 2, SilenceKind.revocation, 0.1),
    PlannedEvent(3.0, 2, SilenceKind.removal, 4.5 / 7),
)
# One model target after the other, each for a while.
SPOILED = make_plan(StreamKind.spoil, count=4, duration_s=1.6, interval_s=1.8)
SWITCH = (PlannedEvent(0.5, 0.5, DemandKind.switch, 0),)
STOPS = (PlannedEvent(0.5, 0, StopKind.repeated, 0.1),)
CROWD = (PlannedEvent(0.5, 4, CrowdKind.bodies, 0.1),)
CROWDS = tuple(
    PlannedEvent(0.5 + 4 * number, 3, kind, 0.1)
    for number, kind in enumerate(CrowdKind)
)
RETRIES = (PlannedEvent(0, 4, RetryKind.at_once, 0.1),)


def delay_plan(plan, delay_s):
    """Return a plan that begins later."""
    return tuple(evolve(event, at_s=event.at_s + delay_s) for event in plan)


class TestGateway:
    @pytest.mark.parametrize('seed', [1, 2, *REGRESSIONS])
    def test_violates_no_invariant(self, tmp_path, seed):
        result = run_soak(SoakRequest(seed, 20, tmp_path))
        assert result.violations == []
        assert result.calls['whole'] > 100

    def test_violates_no_invariant_in_planned_work(self, tmp_path):
        """Guards against calls that end without an answer at a stop.

        Instances stop one after another while more long prompts wait than
        engines have room.
        """
        result = run_soak(SoakRequest(2, 9, tmp_path, is_planned_only=True))
        assert result.violations == []
        assert result.calls['whole'] > 100


class TestPlansOfVariants:
    """The gateway violates nothing in the plans in which variants do.

    Plans share a run where none of them keeps another from being checked:
    crashes by parts of prompts meet model targets only, limits and crashes by
    one request plain ones only. Others follow each other.
    """

    def test_limit_cut_watches_and_crashes_by_parts(self, tmp_path):
        plan = (*LIMIT, *CUT_WATCHES, *PART_CRASHES)
        observed = play(tmp_path, 108, plan, 13)
        assert len(observed.limits) == 1
        assert len(observed.leaving_since_s) == 1
        assert observed.crashing_traits[0].crashes_s

    def test_crashes_by_one_request_and_expiry_of_a_model_target(
        self, tmp_path
    ):
        plan = (*REQUEST_CRASHES, *MODEL_EXPIRY)
        observed = play(tmp_path, 113, plan, 13)
        assert observed.crashing_traits[0].crashes_s
        assert len(observed.returns) == 1

    def test_expiry_of_a_plain_target_and_cold_targets(self, tmp_path):
        plan = (*PLAIN_EXPIRY, *delay_plan(COLD, 12))
        observed = play(tmp_path, 124, plan, 18)
        assert len(observed.returns) == 1
        assert len(observed.colds) == 3

    def test_slow_readers_evacuations_and_a_restart_in_an_outage(
        self, tmp_path
    ):
        plan = (
            *SLOW_READERS,
            *delay_plan(CUT_EVACUATION, 10),
            *delay_plan(RESTART_EVACUATION, 17),
            *delay_plan(OUTAGE, 28),
        )
        observed = play(tmp_path, 120, plan, 30)
        slow = [call for call in observed.calls if call.is_long]
        assert len(slow) == 4
        assert len(observed.evacuations) == 2

    def test_crowds(self, tmp_path):
        """Guards against a process that takes more than its memory."""
        observed = play(tmp_path, 140, CROWDS, 14)
        assert [one.kind for one in observed.crowds] == list(CrowdKind)

    def test_stops_under_load(self, tmp_path):
        """Guards against calls that end without an answer at a stop.

        Several instances stop at a time, and are told so more than once.
        """
        observed = play(tmp_path, 141, STOPS, 9)
        assert {
            call.kind
            for call in observed.calls
            if call.may_outlast_stop and call.is_stopping
        } == set(CallKind)

    def test_short_silences_of_the_store(self, tmp_path):
        """Guards against changes that a lost answer hides."""
        observed = play(tmp_path, 142, SILENCE, 12)
        assert len(observed.silences) == 2
        assert len(observed.leaving_since_s) == 1

    def test_streams_whose_event_numbers_are_spoiled(self, tmp_path):
        """Guards against streams that look whole and lack or repeat a piece."""
        observed = play(tmp_path, 143, SPOILED, 9)
        whole = [
            call
            for call in observed.calls
            if call.request_id in observed.spoiled and call.is_complete
        ]
        assert len(whole) >= 5

    def test_switch_of_the_load(self, tmp_path):
        observed = play(tmp_path, 135, SWITCH, 9)
        assert len(observed.switches) == 1

    def test_callers_that_retry_at_once(self, tmp_path):
        observed = play(tmp_path, 137, RETRIES, 10.5, has_admission=True)
        assert len(observed.retries) == 1


class TestBrokenVariants:
    """The soak detects each broken variant."""

    def test_call_sent_twice(self, tmp_path):
        plan = make_plan(FaultKind.lose_answers, count=7, interval_s=1)
        assert is_found('TWICE', tmp_path, 101, plan, 'send_twice')

    def test_false_refusal(self, tmp_path):
        plan = make_plan(FaultKind.lose_answers, count=7, interval_s=1)
        assert is_found('FALSE_REFUSAL', tmp_path, 102, plan, 'refuse_falsely')

    def test_truncated_stream_ended_as_complete(self, tmp_path):
        plan = make_plan(FaultKind.tear_streams, count=7, interval_s=1)
        assert is_found('WRONG_ANSWER', tmp_path, 103, plan, 'join_torn')

    @pytest.mark.parametrize(
        'variant', ['count_events_when_read', 'believe_event_numbers']
    )
    def test_stream_gone_on_with_at_the_wrong_event(self, tmp_path, variant):
        assert is_found('WRONG_ANSWER', tmp_path, 144, SPOILED, variant)

    def test_unreleased_memory(self, tmp_path):
        assert is_found('MEMORY', tmp_path, 104, (), 'keep_memory')

    def test_ignored_change(self, tmp_path):
        plan = make_plan(MaintenanceKind.revoke_key, count=1)
        assert is_found('REVOKED', tmp_path, 105, plan, 'ignore_changes')

    def test_rate_that_each_instance_applies_alone(self, tmp_path):
        assert is_found('LIMIT', tmp_path, 107, LIMIT, 'apply_whole_rate', 12)

    def test_cold_targets_that_each_instance_counts_alone(self, tmp_path):
        assert is_found('COLD', tmp_path, 128, COLD, 'count_cold_alone', 7)

    @pytest.mark.parametrize(
        ('plan', 'seed'), [(CUT_EVACUATION, 130), (RESTART_EVACUATION, 132)]
    )
    def test_evacuation_that_only_the_store_tells(self, tmp_path, plan, seed):
        assert is_found(
            'EVACUATED', tmp_path, seed, plan, 'hear_no_evacuations', 8
        )

    def test_short_prompts_that_each_instance_places_alone(self, tmp_path):
        assert is_found('SWITCH', tmp_path, 134, SWITCH, 'place_alone', 9)

    def test_order_in_which_callers_that_retry_gain(self, tmp_path):
        assert is_found(
            'GAIN',
            tmp_path,
            136,
            RETRIES,
            'place_latest_first',
            10.5,
            has_admission=True,
        )

    @pytest.mark.parametrize(
        ('plan', 'seed'), [(PART_CRASHES, 110), (REQUEST_CRASHES, 112)]
    )
    def test_crashes_that_each_instance_counts_alone(
        self, tmp_path, plan, seed
    ):
        # Each instance learns from crashes of its own, so many learn late.
        assert is_found(
            'CRASH',
            tmp_path,
            seed,
            plan,
            'count_crashes_alone',
            13,
            instances=10,
        )

    def test_cut_watch_that_counts_as_an_outage(self, tmp_path):
        assert is_found(
            'LEAVING', tmp_path, 117, CUT_WATCHES, 'take_cuts_for_outages', 12
        )

    def test_lost_answer_that_is_waited_for(self, tmp_path):
        assert is_found(
            'LEAVING', tmp_path, 142, SILENCE, 'wait_for_lost_answers', 12
        )

    def test_stop_that_aborts_calls(self, tmp_path):
        plan = make_plan(MaintenanceKind.stop, count=4)
        assert is_found('CUT_AT_STOP', tmp_path, 106, plan, 'stop_at_once')

    def test_stop_that_drops_calls_that_wait(self, tmp_path):
        assert is_found(
            'CUT_AT_STOP', tmp_path, 140, STOPS, 'keep_unfinished_calls', 12
        )

    def test_stop_that_ends_before_slow_readers(self, tmp_path):
        assert is_found(
            'CUT_AT_STOP', tmp_path, 119, SLOW_READERS, 'exit_before_read'
        )

    @pytest.mark.parametrize(
        ('plan', 'seed'), [(MODEL_EXPIRY, 121), (PLAIN_EXPIRY, 123)]
    )
    def test_expired_target_that_never_returns(self, tmp_path, plan, seed):
        assert is_found('UNUSED', tmp_path, seed, plan, 'forget_for_good', 11)

    def test_reservations_named_after_calls(self, tmp_path):
        assert is_found('SHARED', tmp_path, 125, (), 'name_by_prefix')

    def test_start_that_needs_the_store(self, tmp_path):
        assert is_found('START', tmp_path, 126, OUTAGE, 'ask_only_the_store')

    def test_unbounded_crowds(self, tmp_path):
        assert is_found('CROWD', tmp_path, 141, CROWD, 'hold_everything', 6)
