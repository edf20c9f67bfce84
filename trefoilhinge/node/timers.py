"""Periodic timers of a node and detection of process pauses."""

import numpy as np
from attrs import define, field

from trefoilhinge.core.clocks import Instant

TICK_INTERVAL_S = 0.1
PAUSE_THRESHOLD_S = 2.0


@define
class Timer:
    """Timer of one periodic task.

    :ivar interval_s: seconds between two runs, before jitter.
    :ivar jitter: fraction of the interval by which a run may be early, so
        that instances started together do not stay synchronised.
    """

    interval_s: float
    jitter: float = 0
    _generator: np.random.Generator | None = field(default=None, repr=False)
    _due_s: float = 0

    def take_due(self, now: Instant) -> bool:
        """Return whether the task is due; if so, schedule its next run."""
        if now.monotonic_s < self._due_s:
            return False
        early: float = 0
        if self._generator is not None:
            early = self.jitter * float(self._generator.random())
        self._due_s = now.monotonic_s + self.interval_s * (1 - early)
        return True

    def force(self) -> None:
        """Make the task due now."""
        self._due_s = 0


@define
class PauseDetector:
    """Detects that this process was suspended.

    Both clocks are compared: the monotonic clock of some machines stops while
    the machine sleeps, and the wall clock may be adjusted.
    """

    _last: Instant | None = field(default=None)

    def note(self, now: Instant) -> bool:
        """Record the current instant; return whether a pause preceded it."""
        last = self._last
        self._last = now
        if last is None:
            return False
        return (
            now.monotonic_s - last.monotonic_s > PAUSE_THRESHOLD_S
            or abs(now.wall_s - last.wall_s) > PAUSE_THRESHOLD_S
        )


def make_jittered_timer(interval_s: float, jitter: float, seed: int) -> Timer:
    """Return a timer with randomised intervals.

    :param interval_s: seconds between two runs, before jitter.
    :param jitter: largest fraction by which an interval is shortened.
    :param seed: seed of the random generator.
    """
    return Timer(interval_s, jitter, np.random.default_rng(seed))
