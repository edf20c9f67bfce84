"""The caller's connection, as the thread that serves it sees it."""

import select
from typing import Protocol


class CallerConnection(Protocol):
    """Connection of one caller."""

    def fileno(self) -> int:
        """Return the descriptor, on which a departure shows."""
        ...

    def set_io_deadline(self, deadline_s: float) -> None:
        """Bound reads and writes by an instant, in monotonic seconds."""
        ...

    def skip_unread_body(self) -> None:
        """Take no more of the request; the connection ends with the answer."""
        ...


# The caller closed its side, or the connection broke.
CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
