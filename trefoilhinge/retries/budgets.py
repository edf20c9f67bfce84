"""Retry budgets, which limit retries to a small share of the load."""

from collections import OrderedDict

from attrs import define, field

from trefoilhinge.core.clocks import Instant

RETRIES_EARNED_PER_CALL = 0.1
MINIMUM_RETRIES_PER_S = 0.2
MAXIMUM_SAVED_RETRIES = 20.0
INITIAL_RETRIES = 3.0
MAXIMUM_BUDGETS = 8192


@define
class _Budget:
    """Bucket of one name.

    :ivar refilled_s: monotonic seconds of the last refill.
    :ivar retries: retries that are available, possibly a fraction.
    """

    refilled_s: float
    retries: float = INITIAL_RETRIES


@define
class RetryBudgets:
    """Token buckets of retries, by name of an organisation or a target.

    First attempts refill a bucket in proportion to the load. A low constant
    rate refills it as well, so that names with few calls can retry at all.
    The least recently used bucket is evicted above ``MAXIMUM_BUDGETS``.
    """

    _budgets: OrderedDict[str, _Budget] = field(factory=OrderedDict)

    def deposit(self, name: str, now: Instant) -> None:
        """Add the share of a retry that a first attempt earns."""
        budget = self._refill(name, now)
        budget.retries = min(
            MAXIMUM_SAVED_RETRIES, budget.retries + RETRIES_EARNED_PER_CALL
        )

    def has_retry(self, name: str, now: Instant) -> bool:
        """Return whether the budget allows a retry."""
        return self._refill(name, now).retries >= 1

    def withdraw(self, name: str, now: Instant) -> None:
        """Withdraw one retry."""
        self._refill(name, now).retries -= 1

    def _refill(self, name: str, now: Instant) -> _Budget:
        budget = self._budgets.get(name)
        if budget is None:
            budget = _Budget(now.monotonic_s)
            self._budgets[name] = budget
            if len(self._budgets) > MAXIMUM_BUDGETS:
                self._budgets.popitem(last=False)
        self._budgets.move_to_end(name)
        elapsed_s = max(0, now.monotonic_s - budget.refilled_s)
        budget.retries = min(
            MAXIMUM_SAVED_RETRIES,
            budget.retries + elapsed_s * MINIMUM_RETRIES_PER_S,
        )
        budget.refilled_s = now.monotonic_s
        return budget
