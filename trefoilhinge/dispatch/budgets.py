"""Share of an instance in the repeats that a service may be sent."""

from collections import deque

from attrs import define, field

RATIO_SHARE = 0.8  # of the fleet's ratio; the rest covers restarts
SLACK_SHARE = 0.7  # of the fleet's slack, split between its instances


@define
class RepeatBudget:
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
    _firsts: deque[float] = field(factory=deque)
    _repeats: deque[float] = field(factory=deque)

    def note_first(self, now_s: float) -> None:
        """Take a call that is sent for the first time."""
        self._firsts.append(now_s)

    def has_left(self, instances: int, now_s: float) -> bool:
        """Return whether one more repeat is within the share.

        :param instances: instances that the slack is split between.
        """
        self._forget(now_s)
        allowed = self.ratio * RATIO_SHARE * len(
            self._firsts
        ) + self.slack * SLACK_SHARE / max(1, instances)
        return len(self._repeats) + 1 <= allowed

    def count(self, now_s: float) -> tuple[int, int]:
        """Return the first sendings and the repeats within the window."""
        self._forget(now_s)
        return len(self._firsts), len(self._repeats)

    def note_repeat(self, now_s: float) -> None:
        """Take a repeat."""
        self._repeats.append(now_s)

    def _forget(self, now_s: float) -> None:
        for times in (self._firsts, self._repeats):
            while times and times[0] <= now_s - self.window_s:
                times.popleft()
