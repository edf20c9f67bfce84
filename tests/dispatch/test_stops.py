"""Tests of the times of a planned stop."""

import pytest

from trefoilhinge.dispatch.stops import CallPlan, StopSchedule

ORDERED_S = 100.0
GRACE_S = 12.0  # calls end at 111, and are planned to end by 110
FAR_S = 1000.0


def can_finish(now_s, **fields):
    """Return whether a call is taken; it has just come by default."""
    plan = {
        'received_s': ORDERED_S + now_s,
        'deadline_s': FAR_S,
        'expected_s': 1,
        'maximum_s': 2,
        **fields,
    }
    return StopSchedule(ORDERED_S, GRACE_S).can_finish(
        CallPlan(**plan), ORDERED_S + now_s
    )


class TestStopSchedule:
    @pytest.mark.parametrize(
        ('now_s', 'fields', 'is_taken'),
        [
            (0, {'expected_s': 9.9, 'maximum_s': 50}, True),
            (0, {'expected_s': 10.1}, False),
            (2.4, {'expected_s': 7.5, 'maximum_s': 50}, True),
            (2.6, {'expected_s': 1, 'maximum_s': 8.3}, True),
            (2.6, {'expected_s': 1, 'maximum_s': 8.5}, False),
            (2.6, {'expected_s': 8.5, 'maximum_s': 1}, False),
        ],
    )
    def test_call_is_taken_if_it_ends_in_time(self, now_s, fields, is_taken):
        assert can_finish(now_s, **fields) is is_taken

    @pytest.mark.parametrize(
        ('wait_s', 'is_taken'), [(8.9, True), (9.1, False)]
    )
    def test_wait_delays_the_end(self, wait_s, is_taken):
        """Guards against LOST: calls that wait for longer than the instance."""
        earliest_s = ORDERED_S + wait_s
        assert can_finish(0, earliest_send_s=earliest_s) is is_taken

    def test_time_that_passes_delays_the_end(self):
        received_s = ORDERED_S - 1
        assert can_finish(8.9, received_s=received_s)
        assert not can_finish(9.1, received_s=received_s)

    def test_call_that_its_deadline_ends_is_taken(self):
        deadline_s = ORDERED_S + 10.9
        assert can_finish(9, deadline_s=deadline_s, maximum_s=50)

    def test_call_that_waits_past_its_deadline_is_not_taken(self):
        assert not can_finish(
            0, deadline_s=ORDERED_S + 5, earliest_send_s=ORDERED_S + 6
        )

    def test_no_call_is_taken_at_the_exit(self):
        stop = StopSchedule(ORDERED_S, GRACE_S, is_closing=True)
        assert not stop.can_finish(
            CallPlan(ORDERED_S, ORDERED_S + 1, 0, 0), ORDERED_S
        )

    @pytest.mark.parametrize(
        ('grace_s', 'exit_s'), [(12, 11), (24, 22), (3, 2.5)]
    )
    def test_answers_at_the_exit_have_a_part_of_the_grace(
        self, grace_s, exit_s
    ):
        assert StopSchedule(0, grace_s).exit_s == pytest.approx(exit_s)
