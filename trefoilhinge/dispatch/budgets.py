"""Share of an instance in the repeats that a service may be sent."""

from collections import deque

from attrs import define, field

RATIO_BUDGET_SHARE = 0.8  # of the fleet's ratio; the rest covers restarts
SLACK_BUDGET_SHARE = 0.7  # of the fleet's slack, split between its instances


@define
class RetryBudget:
    """Repeats to one service within a sliding window.

    Each instance keeps to its own requests' share of the ratio and to an even
    share of the slack, so that the sum holds without a common counter.

    :ivar ratio: repeats for each request, over all instances.
    :ivar slack: repeats allowed on top, over all instances.
    :ivar window_s: length of the window, seconds.
    """

    ratio: float
    slack: float
    window_s: float
    _first_attempts: deque[float] = field(factory=deque)
    _retries: deque[float] = field(factory=deque)

    def record_first_attempt(self, now_s: float) -> None:
        """Take a call that is sent for the first time."""
        self._first_attempts.append(now_s)

    def allows_retry(self, instances: int, now_s: float) -> bool:
        """Return whether one more repeat is within the share.

        :param instances: instances that the slack is split between.
        """
        self._forget(now_s)
        allowed = self.ratio * RATIO_BUDGET_SHARE * len(
            self._first_attempts
        ) + self.slack * SLACK_BUDGET_SHARE / max(1, instances)
        return len(self._retries) + 1 <= allowed

    def count_attempts(self, now_s: float) -> tuple[int, int]:
        """Return the first sendings and the repeats within the window."""
        self._forget(now_s)
        return len(self._first_attempts), len(self._retries)

    def record_retry(self, now_s: float) -> None:
        """Take a repeat."""
        self._retries.append(now_s)

    def _forget(self, now_s: float) -> None:
        for times in (self._first_attempts, self._retries):
            while times and times[0] <= now_s - self.window_s:
                times.popleft()
