"""Retry budgets of the calls to a service."""

from collections import deque

from attrs import define, field

# Share of the fleet's ratio that is used; the rest covers restarts of
# instances.
RATIO_BUDGET_SHARE = 0.8
# Share of the fleet's slack that is split between the instances.
SLACK_BUDGET_SHARE = 0.7


@define
class RetryBudget:
    """Limit the retries to one service within a sliding window.

    The limit is set for the whole fleet. Each instance may use the ratio of
    its own requests and an equal part of the slack, so the fleet stays within
    the limit without a shared counter.

    :ivar ratio: retries per request, over all instances.
    :ivar slack: retries allowed on top of the ratio, over all instances.
    :ivar window_s: length of the window, seconds.
    """

    ratio: float
    slack: float
    window_s: float
    _first_attempts: deque[float] = field(factory=deque)
    _retries: deque[float] = field(factory=deque)

    def record_first_attempt(self, now_s: float) -> None:
        """Record the first attempt at a call."""
        self._first_attempts.append(now_s)

    def allows_retry(self, instances: int, now_s: float) -> bool:
        """Return whether this instance's share allows another retry.

        :param instances: number of instances that share the slack.
        """
        self._discard_expired(now_s)
        allowed = self.ratio * RATIO_BUDGET_SHARE * len(
            self._first_attempts
        ) + self.slack * SLACK_BUDGET_SHARE / max(1, instances)
        return len(self._retries) + 1 <= allowed

    def count_attempts(self, now_s: float) -> tuple[int, int]:
        """Return the numbers of first attempts and retries in the window."""
        self._discard_expired(now_s)
        return len(self._first_attempts), len(self._retries)

    def record_retry(self, now_s: float) -> None:
        """Record a retry."""
        self._retries.append(now_s)

    def _discard_expired(self, now_s: float) -> None:
        for times in (self._first_attempts, self._retries):
            while times and times[0] <= now_s - self.window_s:
                times.popleft()
