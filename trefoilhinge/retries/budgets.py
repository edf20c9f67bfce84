"""Budgets that keep retries a small part of the load."""

from collections import OrderedDict

from attrs import define, field

from trefoilhinge.core.clocks import Instant

EARNED_A_CALL = 0.1
FLOOR_PER_S = 0.2
FULL = 20.0
START = 3.0
MAXIMUM_BUDGETS = 8192


@define
class _Budget:
    filled_s: float
    level: float = START


@define
class RetryBudgets:
    """One bucket of retries for each name, the least used dropped first.

    First attempts earn retries, and a small steady rate lets a name that is
    seldom called retry at all.
    """

    _budgets: OrderedDict[str, _Budget] = field(factory=OrderedDict)

    def earn(self, name: str, now: Instant) -> None:
        """Take that a call was sent for the first time."""
        budget = self._fill(name, now)
        budget.level = min(FULL, budget.level + EARNED_A_CALL)

    def has(self, name: str, now: Instant) -> bool:
        """Return whether a retry is left."""
        return self._fill(name, now).level >= 1

    def spend(self, name: str, now: Instant) -> None:
        """Take one retry."""
        self._fill(name, now).level -= 1

    def _fill(self, name: str, now: Instant) -> _Budget:
        budget = self._budgets.get(name)
        if budget is None:
            budget = _Budget(now.monotonic_s)
            self._budgets[name] = budget
            if len(self._budgets) > MAXIMUM_BUDGETS:
                self._budgets.popitem(last=False)
        self._budgets.move_to_end(name)
        elapsed_s = max(0, now.monotonic_s - budget.filled_s)
        budget.level = min(FULL, budget.level + elapsed_s * FLOOR_PER_S)
        budget.filled_s = now.monotonic_s
        return budget
