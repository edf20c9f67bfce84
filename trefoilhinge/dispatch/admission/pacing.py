"""Rate at which waiting calls are considered."""

from attrs import define

# The order is computed at most this often in any second: each time takes
# processor time, of which an instance may have half a core.
MAXIMUM_PASSES_PER_S = 50
# Passes that may follow each other at once, so that a call waits no longer
# than necessary while few come.
BURST_PASSES = 10


@define
class PassPacer:
    """Bounds the passes of an instance in any second."""

    _passes: float = BURST_PASSES
    _updated_s: float = float('-inf')

    def find_time_s(self, now_s: float) -> float:
        """Return monotonic seconds at which the next pass may begin."""
        self._advance(now_s)
        return now_s + max(0, 1 - self._passes) / self._rate_per_s

    def record(self, now_s: float) -> None:
        """Record that a pass begins."""
        self._advance(now_s)
        self._passes = max(0, self._passes - 1)

    @property
    def _rate_per_s(self) -> int:
        return MAXIMUM_PASSES_PER_S - BURST_PASSES

    def _advance(self, now_s: float) -> None:
        elapsed_s = max(0, now_s - self._updated_s)
        self._updated_s = max(now_s, self._updated_s)
        self._passes = min(
            BURST_PASSES, self._passes + elapsed_s * self._rate_per_s
        )
