"""Tests of what is counted at each target."""

from tests.dispatch.samples import FIGURES, make_loads, make_short
from trefoilhinge.dispatch import prefill_queue
from trefoilhinge.dispatch.loads import (
    END_REPORT_GRACE_S,
    LoadTable,
    Run,
    RunPart,
)


class TestLoadView:
    def test_run_is_counted_until_it_ends(self):
        loads = make_loads({'t00': 2})
        loads.record_end(('me', 1), 1)
        assert loads.get('t00').running == 1

    def test_run_told_twice_is_counted_once(self):
        loads = LoadTable()
        run = make_short(1, 't00')
        loads.record_start(run, 10, 0)
        loads.record_start(run, 10, 0)
        assert loads.get('t00').running == 1

    def test_end_told_twice_changes_nothing(self):
        loads = make_loads({'t00': 2})
        loads.record_end(('me', 1), 1)
        loads.record_end(('me', 1), 1)
        assert loads.get('t00').running == 1
        assert loads.get('t00').memory_tokens == 6000

    def test_helper_has_no_place(self):
        loads = LoadTable()
        part = RunPart('t01', 0.5, 0, has_slot=False)
        loads.record_start(Run('me', 1, (part,), 0, 0, 1, 0), 10, 0)
        assert loads.get('t01').running == 0
        assert loads.get('t01').estimate_backlog_s(0) == 0.5

    def test_reading_that_was_given_up_is_taken_off(self):
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

    def test_readings_follow_one_another(self):
        loads = LoadTable()
        part = RunPart('t00', 0.2, 0, has_slot=False)
        for number in range(3):
            loads.record_start(Run('me', number, (part,), 0, 0, 1, 0), 10, 0)
        assert round(loads.get('t00').estimate_backlog_s(0.25), 6) == 0.35

    def test_first_event_keeps_the_backlog_of_other_prompts(self):
        """Seen on scale-1: one prompt's first event erased all the others."""
        loads = LoadTable()
        part = RunPart('t00', 1, 0, has_slot=True)
        loads.record_start(Run('me', 1, (part,), 0, 0, 1, 0), 10, 0)
        loads.record_start(Run('me', 2, (part,), 0, 0, 1, 0.1), 10, 0.1)
        loads.record_first_event(('me', 2), 0.5)
        assert loads.get('t00').estimate_backlog_s(0.5) == 0.5

    def test_runs_of_a_dead_instance_are_forgotten(self):
        loads = make_loads({'t00': 3})
        assert loads.remove_origin('me', 1) == 3
        assert loads.get('t00').running == 0

    def test_run_whose_end_was_never_told_is_forgotten(self):
        loads = make_loads({'t00': 1})
        assert loads.remove_overdue(10 + END_REPORT_GRACE_S + 1) == 1

    def test_full_target_makes_the_next_call_wait(self):
        loads = make_loads({'t00': 8})
        assert loads.get('t00').estimate_slot_wait_s(FIGURES, 0) > 0

    def test_target_with_a_place_does_not(self):
        loads = make_loads({'t00': 7})
        assert loads.get('t00').estimate_slot_wait_s(FIGURES, 0) == 0


def make_joint(number, send_delay_s=0):
    """Return a run that two targets read for a second."""
    parts = (
        RunPart('t00', 1.0, 0, has_slot=True),
        RunPart('t01', 1.0, 0, has_slot=False),
    )
    return Run('me', number, parts, 0, 0, 1, 0, send_delay_s)


class TestTurns:
    def test_first_run_has_its_turn_at_once(self):
        loads = LoadTable()
        run = make_joint(1)
        loads.record_start(run, 10, 0)
        assert loads.find_send_time_s(run, 0) == 0

    def test_run_waits_for_the_one_ahead(self):
        loads = LoadTable()
        loads.record_start(make_joint(1), 10, 0)
        run = make_joint(2, send_delay_s=1)
        loads.record_start(run, 10, 0)
        assert (
            loads.find_send_time_s(run, 0.5)
            == 1 + prefill_queue.OVERDUE_GRACE_S
        )

    def test_first_event_of_the_one_ahead_ends_the_wait(self):
        loads = LoadTable()
        loads.record_start(make_joint(1), 10, 0)
        run = make_joint(2, send_delay_s=1)
        loads.record_start(run, 10, 0)
        loads.record_first_event(('me', 1), 0.5)
        assert loads.find_send_time_s(run, 0.5) == 0.5

    def test_run_ahead_that_is_overdue_holds_up_nothing(self):
        loads = LoadTable()
        loads.record_start(make_joint(1), 10, 0)
        run = make_joint(2, send_delay_s=1)
        loads.record_start(run, 10, 0)
        late_s = 1.1 + prefill_queue.OVERDUE_GRACE_S
        assert loads.find_send_time_s(run, late_s) == late_s

    def test_run_after_it_holds_up_nothing(self):
        loads = LoadTable()
        run = make_joint(1)
        loads.record_start(run, 10, 0)
        loads.record_start(make_joint(2, send_delay_s=1), 10, 0)
        assert loads.find_send_time_s(run, 0.5) == 0.5

    def test_short_stream_ahead_holds_up_nothing(self):
        loads = make_loads({'t00': 3})
        run = make_joint(100)
        loads.record_start(run, 10, 0)
        assert loads.find_send_time_s(run, 0) == 0

    def test_coming_prompts_add_up(self):
        loads = LoadTable()
        loads.record_start(make_joint(1), 10, 0)
        loads.record_start(make_joint(2, send_delay_s=1), 10, 0)
        assert loads.get('t00').estimate_backlog_s(0.5) == 1.5

    def test_late_sending_moves_the_end_of_the_wait(self):
        """Seen on trouble-3: one that was sent late was overtaken at once."""
        loads = LoadTable()
        loads.record_start(make_joint(1, send_delay_s=0.5), 10, 0)
        run = make_joint(2, send_delay_s=1.5)
        loads.record_start(run, 10, 0)
        loads.record_sent(('me', 1), 1.4)
        assert (
            loads.find_send_time_s(run, 1.9)
            == 2.4 + prefill_queue.OVERDUE_GRACE_S
        )

    def test_prompt_that_is_never_sent_holds_up_nothing_for_long(self):
        loads = LoadTable()
        loads.record_start(make_joint(1, send_delay_s=0.5), 10, 0)
        run = make_joint(2, send_delay_s=1.5)
        loads.record_start(run, 10, 0)
        late_s = (
            1.6 + prefill_queue.OVERDUE_GRACE_S + prefill_queue.UNSENT_GRACE_S
        )
        assert loads.find_send_time_s(run, late_s) == late_s
