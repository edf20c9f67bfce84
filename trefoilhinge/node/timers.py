"""Timers of a node: what is due, and whether the process was paused."""

import numpy as np
from attrs import define, field

from trefoilhinge.core.clocks import Instant

TICK_INTERVAL_S = 0.1
PAUSE_THRESHOLD_S = 2.0


@define
class Timer:
    """One task that is due again and again.

    :ivar interval_s: seconds between two runs.
    :ivar spread: share of the interval by which a run may come earlier, so
        that instances that started together do not stay in step.
    """

    interval_s: float
    jitter: float = 0
    _generator: np.random.Generator | None = field(default=None, repr=False)
    _due_s: float = 0

    def take_due(self, now: Instant) -> bool:
        """Return whether the task is due, and set its next time."""
        if now.monotonic_s < self._due_s:
            return False
        early: float = 0
        if self._generator is not None:
            early = self.jitter * float(self._generator.random())
        self._due_s = now.monotonic_s + self.interval_s * (1 - early)
        return True

    def force(self) -> None:
        """Make the task due at once."""
        self._due_s = 0


@define
class PauseDetector:
    """Notices that this process did not run for a while.

    Both clocks are compared: the monotonic clock of some machines stands
    still while the machine sleeps, and the wall clock may be set.
    """

    _last: Instant | None = field(default=None)

    def note(self, now: Instant) -> bool:
        """Take the present instant; return whether a pause lies before it."""
        last = self._last
        self._last = now
        if last is None:
            return False
        return (
            now.monotonic_s - last.monotonic_s > PAUSE_THRESHOLD_S
            or abs(now.wall_s - last.wall_s) > PAUSE_THRESHOLD_S
        )


def make_jittered_timer(interval_s: float, jitter: float, seed: int) -> Timer:
    """Return a timer whose intervals vary.

    :param spread: largest share of the interval that is left out.
    :param seed: seed of the jitter.
    """
    return Timer(interval_s, jitter, np.random.default_rng(seed))
