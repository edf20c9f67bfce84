"""Tests of the retry budget."""

from trefoilhinge.dispatch.budgets import RetryBudget

INSTANCES = 8


def make_budget():
    """Return a budget with typical limits."""
    return RetryBudget(ratio=0.2, slack=104, window_s=10)


class TestRetryBudget:
    def test_shares_of_all_instances_stay_within_the_slack(self):
        total = 0
        for _ in range(INSTANCES):
            budget = make_budget()
            while budget.allows_retry(INSTANCES, 0):
                budget.record_retry(0)
                total += 1
        assert 0 < total <= 104

    def test_first_attempts_allow_retries(self):
        budget = make_budget()
        for _ in range(1000):
            budget.record_first_attempt(0)
        count = 0
        while budget.allows_retry(INSTANCES, 0):
            budget.record_retry(0)
            count += 1
        assert 100 < count <= 200 + 104 / INSTANCES

    def test_window_slides(self):
        budget = make_budget()
        while budget.allows_retry(INSTANCES, 0):
            budget.record_retry(0)
        assert not budget.allows_retry(INSTANCES, 9.9)
        assert budget.allows_retry(INSTANCES, 10.1)
