"""Tests of the waits of reads of the store."""

import pytest

from trefoilhinge.dispatch.outages import (
    EXPIRY_CHECK_S,
    REREGISTRATION_GRACE_S,
)
from trefoilhinge.dispatch.store_timing import (
    ANSWER_S,
    APPLY_S,
    MAXIMUM_WAIT_S,
    OVERDUE_S,
    StoreTiming,
)

STABLE_S = 3.0
INTERVAL_S = 1.2
BOUNDS = [(3.0, 1.2), (4.0, 1.2), (3.0, 3.0), (2.8, 0.4), (6.0, 0.2)]


class TestWatchWait:
    @pytest.mark.parametrize(('stable_s', 'interval_s'), BOUNDS)
    def test_lost_watch_hides_no_change_until_machines_are_in_touch(
        self, stable_s, interval_s
    ):
        """Guards against CONFIG: a change that is read too late.

        A watch that lost its answer in a short outage was given up later than
        changes had to be in force again.
        """
        wait_s = StoreTiming(stable_s, interval_s).longest_wait_s
        assert wait_s + OVERDUE_S + ANSWER_S + APPLY_S <= stable_s + 1e-9

    @pytest.mark.parametrize('unanswered_s', [0, 0.6, 1.2, 2.3])
    @pytest.mark.parametrize(('stable_s', 'interval_s'), BOUNDS)
    def test_lost_watch_does_not_prolong_the_use_of_removed_targets(
        self, stable_s, interval_s, unanswered_s
    ):
        """Guards against DRAIN: the instance's own silence taken for an outage.

        It was longer than an outage in which entries expire, so that the grace
        period for missing entries followed it.
        """
        timing = StoreTiming(stable_s, interval_s)
        wait_s = timing.find_watch_wait_s(unanswered_s)
        answered_s = wait_s + OVERDUE_S + ANSWER_S
        is_harmless = unanswered_s + answered_s <= 2 * interval_s + 1e-9
        used_s = answered_s + REREGISTRATION_GRACE_S + EXPIRY_CHECK_S
        assert is_harmless or used_s <= stable_s + 1e-9 or wait_s == 0.1

    def test_idle_store_is_not_read_more_often_than_needed(self):
        """Guards against the price of reads."""
        timing = StoreTiming(STABLE_S, INTERVAL_S)
        assert timing.find_watch_wait_s(0) == pytest.approx(1.8)
        assert timing.find_watch_wait_s(0.6) == pytest.approx(1.2)

    def test_unknown_bounds_allow_the_longest_wait(self):
        assert StoreTiming().find_watch_wait_s(0) == MAXIMUM_WAIT_S


class TestRetry:
    @pytest.mark.parametrize('stable_s', [2.5, 3.0, 4.0, 10.0])
    def test_missing_entry_is_not_used_after_machines_are_in_touch(
        self, stable_s
    ):
        """Guards against DRAIN: a grace period that begins too late.

        It begins with the first answer, which follows the store's return by
        the time between two reads.
        """
        retry_s = StoreTiming(stable_s, INTERVAL_S).retry_s
        grace_ends_s = retry_s + ANSWER_S + REREGISTRATION_GRACE_S
        assert grace_ends_s + EXPIRY_CHECK_S <= stable_s + 1e-9

    def test_unknown_bound_allows_the_longest_time(self):
        assert StoreTiming().retry_s == 0.5
