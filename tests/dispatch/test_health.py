"""Tests of outlier ejection."""

from trefoilhinge.dispatch.health import (
    INITIAL_EJECTION_S,
    MAXIMUM_EJECTION_S,
    HealthTable,
    Outcome,
)

NAMES = ['t01', 't02', 't03', 't04']


class TestHealthTable:
    def test_unreachable_target_is_ejected_at_once(self):
        health = HealthTable()
        assert health.record_outcome('t01', Outcome.unreachable, 0)
        assert 't01' not in health.list_usable(NAMES, 0.1)

    def test_ejected_target_is_tried_again(self):
        health = HealthTable()
        health.record_outcome('t01', Outcome.unreachable, 0)
        assert 't01' in health.list_usable(NAMES, INITIAL_EJECTION_S + 0.1)

    def test_single_failure_does_not_eject(self):
        health = HealthTable()
        health.record_outcome('t01', Outcome.failed, 0)
        assert 't01' in health.list_usable(NAMES, 0.1)

    def test_partially_failing_target_is_ejected(self):
        health = HealthTable()
        for _ in range(4):
            health.record_outcome('t01', Outcome.failed, 0)
        assert 't01' not in health.list_usable(NAMES, 0.1)

    def test_mostly_serving_target_is_not_ejected(self):
        health = HealthTable()
        for _ in range(30):
            for outcome in (Outcome.failed, Outcome.served, Outcome.served):
                health.record_outcome('t01', outcome, 0)
        assert 't01' in health.list_usable(NAMES, 0.1)

    def test_rejections_do_not_count(self):
        health = HealthTable()
        for _ in range(9):
            health.record_outcome('t01', Outcome.rejected, 0)
        assert 't01' in health.list_usable(NAMES, 0.1)

    def test_failures_never_eject_most_targets(self):
        health = HealthTable()
        for name in NAMES[:3]:
            for _ in range(9):
                health.record_outcome(name, Outcome.failed, 0)
        assert health.list_usable(NAMES, 0.1) == NAMES

    def test_only_reachable_target_is_used_alone(self):
        """Failed targets have few calls and must not look the least loaded.

        This happened when two of three booking services were down.
        """
        health = HealthTable()
        for name in NAMES[:3]:
            health.record_outcome(name, Outcome.unreachable, 0)
        assert health.list_usable(NAMES, 0.1) == ['t04']

    def test_all_are_used_if_none_is_reachable(self):
        health = HealthTable()
        for name in NAMES:
            health.record_outcome(name, Outcome.unreachable, 0)
        assert health.list_usable(NAMES, 0.1) == NAMES

    def test_reported_ejection_has_a_maximum(self):
        health = HealthTable()
        health.eject('t01', 1e9, 0)
        assert 't01' in health.list_usable(NAMES, MAXIMUM_EJECTION_S + 0.1)
