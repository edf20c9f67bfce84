"""Tests of the cost of a routing decision."""

import pathlib

from trefoilhinge.measure import decision_cost


class TestDecisionCost:
    def test_every_size_is_measured(self, monkeypatch):
        monkeypatch.setattr(decision_cost, 'DECISIONS', 20)
        found = decision_cost.measure_decisions(
            pathlib.Path('examples/kandy.json')
        )
        assert [cost.targets for cost in found] == [25, 250, 1000, 4000]
        assert all(cost.decisions == 20 for cost in found)

    def test_number_of_estimates_is_bounded_at_any_size(self, monkeypatch):
        estimates = []
        from trefoilhinge.routing.estimates import Estimator

        original = Estimator.estimate
        monkeypatch.setattr(
            Estimator,
            'estimate',
            lambda self, state: (
                estimates.append(state) or original(self, state)
            ),
        )
        monkeypatch.setattr(decision_cost, 'DECISIONS', 50)
        monkeypatch.setattr(decision_cost, 'TARGET_COUNTS', (4000,))
        decision_cost.measure_decisions(pathlib.Path('examples/kandy.json'))
        assert len(estimates) / 50 < 70
