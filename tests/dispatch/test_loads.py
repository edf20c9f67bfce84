"""Tests of the load of each target."""

from tests.dispatch.samples import ENGINE_PROFILE, make_loads, make_short
from trefoilhinge.dispatch import prefill_queue
from trefoilhinge.dispatch.loads import (
    END_REPORT_GRACE_S,
    LoadTable,
    Run,
    RunPart,
)


class TestLoadTable:
    def test_run_is_counted_until_it_ends(self):
        loads = make_loads({'t00': 2})
        loads.record_end(('me', 1), 1)
        assert loads.get('t00').running == 1

    def test_run_reported_twice_is_counted_once(self):
        loads = LoadTable()
        run = make_short(1, 't00')
        loads.record_start(run, 10, 0)
        loads.record_start(run, 10, 0)
        assert loads.get('t00').running == 1

    def test_end_reported_twice_changes_nothing(self):
        loads = make_loads({'t00': 2})
        loads.record_end(('me', 1), 1)
        loads.record_end(('me', 1), 1)
        assert loads.get('t00').running == 1
        assert loads.get('t00').memory_tokens == 6000

    def test_helper_has_no_slot(self):
        loads = LoadTable()
        part = RunPart('t01', 0.5, 0, has_slot=False)
        loads.record_start(Run('me', 1, (part,), 0, 0, 1, 0), 10, 0)
        assert loads.get('t01').running == 0
        assert loads.get('t01').estimate_backlog_s(0) == 0.5

    def test_cancelled_prefill_is_removed(self):
        loads = LoadTable()
        part = RunPart('t00', 2, 0, has_slot=True)
        loads.record_start(Run('me', 1, (part,), 0, 0, 1, 0), 10, 0)
        loads.record_end(('me', 1), 0.5)
        assert loads.get('t00').estimate_backlog_s(0.5) == 0

    def test_first_event_ends_the_backlog(self):
        loads = LoadTable()
        part = RunPart('t00', 2, 0, has_slot=True)
        loads.record_start(Run('me', 1, (part,), 0, 0, 1, 0), 10, 0)
        loads.record_first_event(('me', 1), 1)
        assert loads.get('t00').estimate_backlog_s(1) == 0

    def test_prefills_are_sequential(self):
        loads = LoadTable()
        part = RunPart('t00', 0.2, 0, has_slot=False)
        for number in range(3):
            loads.record_start(Run('me', number, (part,), 0, 0, 1, 0), 10, 0)
        assert round(loads.get('t00').estimate_backlog_s(0.25), 6) == 0.35

    def test_first_event_keeps_the_backlog_of_other_prompts(self):
        """A first event must not remove the prefills of other prompts."""
        loads = LoadTable()
        part = RunPart('t00', 1, 0, has_slot=True)
        loads.record_start(Run('me', 1, (part,), 0, 0, 1, 0), 10, 0)
        loads.record_start(Run('me', 2, (part,), 0, 0, 1, 0.1), 10, 0.1)
        loads.record_first_event(('me', 2), 0.5)
        assert loads.get('t00').estimate_backlog_s(0.5) == 0.5

    def test_runs_of_a_failed_instance_are_removed(self):
        loads = make_loads({'t00': 3})
        assert loads.remove_origin('me', 1) == 3
        assert loads.get('t00').running == 0

    def test_run_without_a_reported_end_is_removed(self):
        loads = make_loads({'t00': 1})
        assert loads.remove_overdue(10 + END_REPORT_GRACE_S + 1) == 1

    def test_streams_longer_than_expected_do_not_end_at_once(self):
        """Streams past their expected ends free a slot only some time later."""
        loads = make_loads({'t00': ENGINE_PROFILE.slots})
        wait_s = loads.get('t00').estimate_slot_wait_s(ENGINE_PROFILE, 5)
        assert wait_s > 0.08  # half of a stream's 1.4 s, over eight slots

    def test_full_target_makes_the_next_call_wait(self):
        loads = make_loads({'t00': 8})
        assert loads.get('t00').estimate_slot_wait_s(ENGINE_PROFILE, 0) > 0

    def test_target_with_a_free_slot_does_not(self):
        loads = make_loads({'t00': 7})
        assert loads.get('t00').estimate_slot_wait_s(ENGINE_PROFILE, 0) == 0


def make_group_run(number, send_delay_s=0):
    """Return a run that two targets prefill for one second each."""
    parts = (
        RunPart('t00', 1.0, 0, has_slot=True),
        RunPart('t01', 1.0, 0, has_slot=False),
    )
    return Run('me', number, parts, 0, 0, 1, 0, send_delay_s)


class TestSendTimes:
    def test_first_run_is_sent_at_once(self):
        loads = LoadTable()
        run = make_group_run(1)
        loads.record_start(run, 10, 0)
        assert loads.find_send_time_s(run, 0) == 0

    def test_run_waits_for_the_one_ahead(self):
        loads = LoadTable()
        loads.record_start(make_group_run(1), 10, 0)
        run = make_group_run(2, send_delay_s=1)
        loads.record_start(run, 10, 0)
        assert (
            loads.find_send_time_s(run, 0.5)
            == 1 + prefill_queue.OVERDUE_GRACE_S
        )

    def test_first_event_of_the_one_ahead_ends_the_wait(self):
        loads = LoadTable()
        loads.record_start(make_group_run(1), 10, 0)
        run = make_group_run(2, send_delay_s=1)
        loads.record_start(run, 10, 0)
        loads.record_first_event(('me', 1), 0.5)
        assert loads.find_send_time_s(run, 0.5) == 0.5

    def test_expired_run_ahead_delays_nothing(self):
        loads = LoadTable()
        loads.record_start(make_group_run(1), 10, 0)
        run = make_group_run(2, send_delay_s=1)
        loads.record_start(run, 10, 0)
        late_s = 1.1 + prefill_queue.OVERDUE_GRACE_S
        assert loads.find_send_time_s(run, late_s) == late_s

    def test_run_behind_delays_nothing(self):
        loads = LoadTable()
        run = make_group_run(1)
        loads.record_start(run, 10, 0)
        loads.record_start(make_group_run(2, send_delay_s=1), 10, 0)
        assert loads.find_send_time_s(run, 0.5) == 0.5

    def test_short_stream_ahead_delays_nothing(self):
        loads = make_loads({'t00': 3})
        run = make_group_run(100)
        loads.record_start(run, 10, 0)
        assert loads.find_send_time_s(run, 0) == 0

    def test_delayed_prefills_add_up(self):
        loads = LoadTable()
        loads.record_start(make_group_run(1), 10, 0)
        loads.record_start(make_group_run(2, send_delay_s=1), 10, 0)
        assert loads.get('t00').estimate_backlog_s(0.5) == 1.5

    def test_late_sending_moves_the_end_of_the_wait(self):
        """A run that is sent late must still delay the run behind it."""
        loads = LoadTable()
        loads.record_start(make_group_run(1, send_delay_s=0.5), 10, 0)
        run = make_group_run(2, send_delay_s=1.5)
        loads.record_start(run, 10, 0)
        loads.record_sent(('me', 1), 1.4)
        assert (
            loads.find_send_time_s(run, 1.9)
            == 2.4 + prefill_queue.OVERDUE_GRACE_S
        )

    def test_prompt_that_is_never_sent_expires(self):
        loads = LoadTable()
        loads.record_start(make_group_run(1, send_delay_s=0.5), 10, 0)
        run = make_group_run(2, send_delay_s=1.5)
        loads.record_start(run, 10, 0)
        late_s = (
            1.6 + prefill_queue.OVERDUE_GRACE_S + prefill_queue.UNSENT_GRACE_S
        )
        assert loads.find_send_time_s(run, late_s) == late_s
