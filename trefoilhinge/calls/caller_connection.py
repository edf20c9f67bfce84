"""The caller's connection, as the thread that serves it sees it."""

import select
from typing import Protocol


class CallerConnection(Protocol):
    """Connection of one caller."""

    def fileno(self) -> int:
        """Return the descriptor, on which a departure shows."""
        ...

    def bound_until(self, limit_s: float) -> None:
        """Bound reads and writes by an instant, in monotonic seconds."""
        ...

    def leave_rest(self) -> None:
        """Take no more of the request; the connection ends with the answer."""
        ...


# The caller closed its side, or the connection broke.
DEPARTED = select.POLLRDHUP | select.POLLHUP | select.POLLERR
