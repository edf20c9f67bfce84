"""Clock readings, passed to a core with each event."""

from typing import Protocol

from attrs import frozen


@frozen
class Instant:
    """A reading of the monotonic clock and the wall clock.

    :ivar monotonic_s: seconds of a clock that never goes backwards; its zero
        point is private to a process.
    :ivar wall_s: seconds since the epoch; may jump when the clock is set.
    """

    monotonic_s: float
    wall_s: float

    def shift(self, seconds: float) -> 'Instant':
        """Return the instant ``seconds`` later on both clocks."""
        return Instant(self.monotonic_s + seconds, self.wall_s + seconds)

    def has_passed(self, limit: 'Instant') -> bool:
        """Return whether either clock has reached its reading in ``limit``."""
        return (
            self.monotonic_s >= limit.monotonic_s or self.wall_s >= limit.wall_s
        )


class Clock(Protocol):
    """Clock that a shell reads."""

    def read(self) -> Instant:
        """Return the current instant."""
        ...
