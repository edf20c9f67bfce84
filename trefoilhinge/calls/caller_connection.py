"""Interface of a caller's connection for the thread that serves it."""

import select
from typing import Protocol


class CallerConnection(Protocol):
    """Connection to one caller."""

    def fileno(self) -> int:
        """Return the file descriptor; polling it reports a disconnection."""
        ...

    def set_io_deadline(self, deadline_s: float) -> None:
        """Set the deadline of all reads and writes.

        :param deadline_s: monotonic seconds.
        """
        ...

    def skip_unread_body(self) -> None:
        """Leave the rest of the body unread and close after the response."""
        ...


# Poll events of a connection that the caller closed or that broke.
CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
