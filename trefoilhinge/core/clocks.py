"""Time as cores see it: handed in with each event."""

from typing import Protocol

from attrs import frozen


@frozen
class Instant:
    """One reading of both clocks.

    :ivar monotonic_s: seconds that never run backwards, local to a process.
    :ivar wall_s: seconds since the epoch, which may jump.
    """

    monotonic_s: float
    wall_s: float

    def shift(self, seconds: float) -> 'Instant':
        """Return the instant that lies ``seconds`` later on both clocks."""
        return Instant(self.monotonic_s + seconds, self.wall_s + seconds)

    def has_passed(self, limit: 'Instant') -> bool:
        """Return whether, by either clock, a limit has been reached."""
        return (
            self.monotonic_s >= limit.monotonic_s or self.wall_s >= limit.wall_s
        )


class Clock(Protocol):
    """Source of time for a shell."""

    def read(self) -> Instant:
        """Return the present instant."""
        ...
