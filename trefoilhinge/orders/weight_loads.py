"""This instance's share of the loads that a weight store bears."""

from attrs import define

from trefoilhinge.core.clocks import Instant

S_PER_MINUTE = 60


@define
class WeightLoadLimiter:
    """A bucket of one load, empty at the start.

    It starts empty because an earlier life of this instance may have just
    used its share.
    """

    _available: float = 0
    _refilled_s: float | None = None

    def refill(self, loads_per_minute: float, now: Instant) -> None:
        """Earn loads for the time since the last filling.

        :param loads_per_minute: this instance's share of the rate.
        """
        if self._refilled_s is not None:
            elapsed_s = max(0, now.monotonic_s - self._refilled_s)
            earned = elapsed_s * loads_per_minute / S_PER_MINUTE
            self._available = min(1, self._available + earned)
        self._refilled_s = now.monotonic_s

    @property
    def is_ready(self) -> bool:
        """Return whether one load may begin."""
        return self._available >= 1

    def take(self) -> None:
        """Use one load."""
        self._available -= 1
