"""Outlier ejection: targets to avoid because of failed attempts."""

import enum

from attrs import define, field

# Weight of the latest outcome in the moving average of failures.
FAILURE_EWMA_WEIGHT = 0.25
EJECTION_FAILURE_RATE = 0.45  # moving average at which a target is ejected
INITIAL_EJECTION_S = 1.5  # doubles with each ejection, up to the maximum
MAXIMUM_EJECTION_S = 6.0  # a target is tried again at least this often
# If a smaller share of the reachable targets is healthy, failing targets are
# used as well.
MINIMUM_HEALTHY_SHARE = 0.5
# A target that failed within this time is not the first choice for a call that
# failed elsewhere: targets that fail together do so for seconds.
RECENT_FAILURE_S = 2.0


class Outcome(enum.Enum):
    """How an attempt at a target ended."""

    # The answer was complete and its status below 500.
    served = 'served'
    # The target stated that it did not run the call, which is not a failure.
    rejected = 'rejected'
    # The answer was a server error or was lost before its end.
    failed = 'failed'
    # No connection to the target could be opened.
    unreachable = 'unreachable'


@define
class _TargetHealth:
    failure_rate: float = 0
    ejection_s: float = INITIAL_EJECTION_S
    failing_until_s: float = float('-inf')
    unreachable_until_s: float = float('-inf')
    failed_s: float = float('-inf')


@define
class HealthTable:
    """Failure rates and ejections of all targets.

    An unreachable target is not used while any other target is reachable. A
    target that fails calls is not used while enough others are healthy.
    """

    _targets: dict[str, _TargetHealth] = field(factory=dict)

    def record_outcome(
        self, target: str, outcome: Outcome, now_s: float
    ) -> bool:
        """Record an outcome; return whether it ejected the target."""
        health = self._targets.setdefault(target, _TargetHealth())
        if outcome is Outcome.served:
            health.failure_rate *= 1 - FAILURE_EWMA_WEIGHT
            health.ejection_s = INITIAL_EJECTION_S
            return False
        if outcome is Outcome.rejected:
            return False
        health.failed_s = now_s
        health.failure_rate += FAILURE_EWMA_WEIGHT * (1 - health.failure_rate)
        until_s = now_s + health.ejection_s
        if outcome is Outcome.unreachable:
            is_new = health.unreachable_until_s <= now_s
            health.unreachable_until_s = max(
                health.unreachable_until_s, until_s
            )
        else:
            is_new = (
                health.failure_rate >= EJECTION_FAILURE_RATE
                and health.failing_until_s <= now_s
            )
            if is_new:
                health.failing_until_s = until_s
        if is_new:
            health.ejection_s = min(MAXIMUM_EJECTION_S, health.ejection_s * 2)
        return is_new

    def eject(self, target: str, duration_s: float, now_s: float) -> None:
        """Eject a target that was reported to be unreachable."""
        health = self._targets.setdefault(target, _TargetHealth())
        until_s = now_s + min(duration_s, MAXIMUM_EJECTION_S)
        health.unreachable_until_s = max(health.unreachable_until_s, until_s)

    def forget(self, target: str) -> None:
        """Forget what is known of a target that has started again."""
        self._targets.pop(target, None)

    def list_unfailed(self, targets: list[str], now_s: float) -> list[str]:
        """Return the targets that neither failed lately nor are ejected."""
        known = self._targets
        return [
            name
            for name in targets
            if name not in known
            or (
                known[name].failed_s + RECENT_FAILURE_S <= now_s
                and known[name].failing_until_s <= now_s
                and known[name].unreachable_until_s <= now_s
            )
        ]

    def list_usable(self, targets: list[str], now_s: float) -> list[str]:
        """Return the targets that may be used.

        The list is empty only if no targets are given.
        """
        known = self._targets
        reachable = [
            name
            for name in targets
            if name not in known or known[name].unreachable_until_s <= now_s
        ]
        if not reachable:
            return targets
        usable = [
            name
            for name in reachable
            if name not in known or known[name].failing_until_s <= now_s
        ]
        if len(usable) < len(reachable) * MINIMUM_HEALTHY_SHARE:
            return reachable
        return usable
