"""Tests of what is assumed of the patience of callers."""

import pytest

from trefoilhinge.dispatch.costs import (
    LATE_LOSS_SHARE,
    DecodeState,
    estimate_interference_loss,
)
from trefoilhinge.dispatch.patience import compute_patience_s


class TestPatience:
    @pytest.mark.parametrize(
        ('slo_s', 'gap_slo_s', 'expected_s'),
        [(0.3, 0.25, 2), (1.5, 0.6, 6), (4, 1, 16), (0.3, 1, 8)],
    )
    def test_is_the_longest_of_three(self, slo_s, gap_slo_s, expected_s):
        assert compute_patience_s(slo_s, gap_slo_s) == pytest.approx(expected_s)


class TestGaps:
    def estimate_loss(self, gap_s, gap_slo_s):
        """Return the loss of a stream of weight 1 that has a longer gap."""
        state = DecodeState(0.05, 0, 1.0, ((gap_slo_s, 1.0),))
        return estimate_interference_loss(state, gap_s - state.iteration_s)

    def test_gap_beyond_the_patience_loses_the_stream(self):
        assert self.estimate_loss(1.9, 0.25) == 1
        assert self.estimate_loss(5, 0.6) == 1

    def test_late_gap_within_the_patience_loses_the_lateness(self):
        """Guards against a second, shorter limit for gaps.

        A stream with a gap SLO of 0.6 s is kept for 4.8 s of silence; it was
        taken for lost after 2.4 s.
        """
        assert self.estimate_loss(3, 0.6) == LATE_LOSS_SHARE
