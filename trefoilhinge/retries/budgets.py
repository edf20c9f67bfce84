"""Budgets that keep retries a small part of the load."""

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
    refilled_s: float
    retries: float = INITIAL_RETRIES


@define
class RetryBudgets:
    """One bucket of retries for each name, the least used dropped first.

    First attempts earn retries, and a small steady rate lets a name that is
    seldom called retry at all.
    """

    _budgets: OrderedDict[str, _Budget] = field(factory=OrderedDict)

    def deposit(self, name: str, now: Instant) -> None:
        """Take that a call was sent for the first time."""
        budget = self._refill(name, now)
        budget.retries = min(
            MAXIMUM_SAVED_RETRIES, budget.retries + RETRIES_EARNED_PER_CALL
        )

    def has_retry(self, name: str, now: Instant) -> bool:
        """Return whether a retry is left."""
        return self._refill(name, now).retries >= 1

    def withdraw(self, name: str, now: Instant) -> None:
        """Take one retry."""
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
