"""Tests of which targets are avoided."""

from trefoilhinge.dispatch.health import (
    INITIAL_EJECTION_S,
    MAXIMUM_EJECTION_S,
    Outcome,
    HealthTable,
)

NAMES = ['t01', 't02', 't03', 't04']


class TestHealthTable:
    def test_unreachable_target_is_avoided_at_once(self):
        health = HealthTable()
        assert health.record_outcome('t01', Outcome.unreachable, 0)
        assert 't01' not in health.list_usable(NAMES, 0.1)

    def test_it_is_asked_again_later(self):
        health = HealthTable()
        health.record_outcome('t01', Outcome.unreachable, 0)
        assert 't01' in health.list_usable(NAMES, INITIAL_EJECTION_S + 0.1)

    def test_single_failure_is_borne(self):
        health = HealthTable()
        health.record_outcome('t01', Outcome.failed, 0)
        assert 't01' in health.list_usable(NAMES, 0.1)

    def test_grey_target_is_avoided(self):
        health = HealthTable()
        for _ in range(4):
            health.record_outcome('t01', Outcome.failed, 0)
        assert 't01' not in health.list_usable(NAMES, 0.1)

    def test_target_that_serves_is_not(self):
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

    def test_never_avoids_most_targets_for_failures(self):
        health = HealthTable()
        for name in NAMES[:3]:
            for _ in range(9):
                health.record_outcome(name, Outcome.failed, 0)
        assert health.list_usable(NAMES, 0.1) == NAMES

    def test_only_target_in_reach_is_asked_alone(self):
        """Two of three booking services down: the dead looked least used."""
        health = HealthTable()
        for name in NAMES[:3]:
            health.record_outcome(name, Outcome.unreachable, 0)
        assert health.list_usable(NAMES, 0.1) == ['t04']

    def test_all_are_asked_if_none_is_in_reach(self):
        health = HealthTable()
        for name in NAMES:
            health.record_outcome(name, Outcome.unreachable, 0)
        assert health.list_usable(NAMES, 0.1) == NAMES

    def test_accusation_lasts_a_bounded_time(self):
        health = HealthTable()
        health.eject('t01', 1e9, 0)
        assert 't01' in health.list_usable(NAMES, MAXIMUM_EJECTION_S + 0.1)
