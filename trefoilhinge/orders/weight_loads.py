"""Rate limit of weight loads, to protect the weight store."""

from attrs import define

from trefoilhinge.core.clocks import Instant

S_PER_MINUTE = 60


@define
class WeightLoadLimiter:
    """Token bucket of this instance's share of the loads, of capacity one.

    It starts empty because a previous incarnation of this instance may have
    just used its share.
    """

    _available: float = 0
    _refilled_s: float | None = None

    def refill(self, loads_per_minute: float, now: Instant) -> None:
        """Add the loads earned since the last refill.

        :param loads_per_minute: this instance's share of the rate.
        """
        if self._refilled_s is not None:
            elapsed_s = max(0, now.monotonic_s - self._refilled_s)
            earned = elapsed_s * loads_per_minute / S_PER_MINUTE
            self._available = min(1, self._available + earned)
        self._refilled_s = now.monotonic_s

    @property
    def is_ready(self) -> bool:
        """Return whether a load may start."""
        return self._available >= 1

    def take(self) -> None:
        """Consume one load."""
        self._available -= 1
