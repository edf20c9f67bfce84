"""This instance's share of the loads that a weight store bears."""

from attrs import define

from trefoilhinge.core.clocks import Instant

S_PER_MINUTE = 60


@define
class LoadShare:
    """A bucket of one load, empty at the start.

    It starts empty because an earlier life of this instance may have just
    used its share.
    """

    _level: float = 0
    _filled_s: float | None = None

    def fill(self, loads_per_minute: float, now: Instant) -> None:
        """Earn loads for the time since the last filling.

        :param loads_per_minute: this instance's share of the rate.
        """
        if self._filled_s is not None:
            elapsed_s = max(0, now.monotonic_s - self._filled_s)
            earned = elapsed_s * loads_per_minute / S_PER_MINUTE
            self._level = min(1, self._level + earned)
        self._filled_s = now.monotonic_s

    @property
    def is_ready(self) -> bool:
        """Return whether one load may begin."""
        return self._level >= 1

    def take(self) -> None:
        """Use one load."""
        self._level -= 1
