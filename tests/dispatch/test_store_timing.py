"""Tests of the waits of reads of the store."""

import pytest

from trefoilhinge.dispatch.store_timing import (
    ANSWER_S,
    APPLY_S,
    MAXIMUM_WAIT_S,
    OVERDUE_S,
    StoreTiming,
)


class TestWatchWait:
    @pytest.mark.parametrize('stable_s', [2.8, 3.0, 4.0, 6.0])
    def test_lost_watch_hides_no_change_until_machines_are_in_touch(
        self, stable_s
    ):
        """Guards against CONFIG: a change that is read too late.

        A watch that lost its answer in a short outage was given up later than
        changes had to be in force again.
        """
        wait_s = StoreTiming(stable_s).longest_wait_s
        assert wait_s + OVERDUE_S + ANSWER_S + APPLY_S <= stable_s + 1e-9

    def test_unknown_bound_allows_the_longest_wait(self):
        assert StoreTiming().longest_wait_s == MAXIMUM_WAIT_S
