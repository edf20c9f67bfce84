"""Clock that reads the monotonic and the wall clock of the system."""

import time

from attrs import frozen

from trefoilhinge.core.clocks import Instant


@frozen
class SystemClock:
    """Clock of the operating system."""

    def read(self) -> Instant:
        """Return the current instant."""
        return Instant(time.monotonic(), time.time())
