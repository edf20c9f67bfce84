"""The clocks of the machine."""

import time

from attrs import frozen

from trefoilhinge.core.clocks import Instant


@frozen
class SystemClock:
    """Reads the machine's clocks."""

    def read(self) -> Instant:
        """Return the present instant."""
        return Instant(time.monotonic(), time.time())
