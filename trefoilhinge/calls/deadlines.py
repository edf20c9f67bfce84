"""Socket I/O of connections with a deadline for all reads and writes."""

import _pyio
import select
import socket
import ssl
import time
from typing import Any

from cheroot.makefile import BufferedWriter, StreamReader, StreamWriter

MILLISECONDS_PER_SECOND = 1000
# Cheroot recognises a time-out by this text.
TIMED_OUT = 'timed out'


class ReceiveInterrupted(TimeoutError):
    """The server stopped while the rest of a request was awaited."""


class IoDeadline:
    """Deadline of the reads and writes of a connection.

    :ivar monotonic_s: point in time of the deadline, in monotonic seconds.
    :ivar interrupted: whether a read was ended by the stop of the server.
    """

    def __init__(self, interrupt_fd: int) -> None:
        """Start with an expired deadline.

        :param interrupt_fd: descriptor that is readable once no input is to be
            waited for any more.
        """
        self.monotonic_s: float = 0
        self.interrupted = False
        self._interrupt_fd = interrupt_fd

    def compute_remaining_s(self) -> float:
        """Return the seconds until the deadline.

        :raises TimeoutError: the deadline has passed.
        """
        remaining_s = self.monotonic_s - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError(TIMED_OUT)
        return remaining_s

    def wait_for_input(self, fd: int, remaining_s: float) -> None:
        """Wait until a descriptor is readable or the deadline.

        :raises ReceiveInterrupted: the server stops and there is no input.
        """
        poll = select.poll()
        poll.register(fd, select.POLLIN)
        poll.register(self._interrupt_fd, select.POLLIN)
        ready = poll.poll(remaining_s * MILLISECONDS_PER_SECOND)
        if ready and all(one == self._interrupt_fd for one, _ in ready):
            self.interrupted = True
            raise ReceiveInterrupted(TIMED_OUT)


class DeadlineSocket(socket.SocketIO):
    """Raw socket I/O with one deadline instead of a time-out per operation."""

    def __init__(self, sock: Any, mode: Any, deadline: IoDeadline) -> None:
        """Make the socket non-blocking."""
        super().__init__(sock, mode)
        self._deadline = deadline
        # With a time-out set, the ``socket`` module would poll before each
        # transfer.
        sock.settimeout(0)

    def readinto(self, buffer: Any) -> int | None:
        """Read available bytes, waiting for them until the deadline."""
        count = None
        while count is None:
            remaining_s = self._deadline.compute_remaining_s()
            try:
                count = super().readinto(buffer)
            except (ssl.SSLWantReadError, ssl.SSLWantWriteError) as error:
                self._wait_for_tls(remaining_s, error)
            else:
                self._wait_if_blocked(count, remaining_s, select.POLLIN)
        return count

    def write(self, data: Any) -> int | None:
        """Write as many bytes as the socket accepts before the deadline."""
        count = None
        while count is None:
            remaining_s = self._deadline.compute_remaining_s()
            try:
                count = super().write(data)
            except (ssl.SSLWantReadError, ssl.SSLWantWriteError) as error:
                self._wait_for_tls(remaining_s, error)
            else:
                self._wait_if_blocked(count, remaining_s, select.POLLOUT)
        return count

    def _wait_for_tls(self, remaining_s: float, error: ssl.SSLError) -> None:
        reading = isinstance(error, ssl.SSLWantReadError)
        events = select.POLLIN if reading else select.POLLOUT
        self._wait_if_blocked(None, remaining_s, events)

    def _wait_if_blocked(
        self,
        count: int | None,
        remaining_s: float,
        events: int,
    ) -> None:
        if count is not None:
            return
        if self.readable() and events == select.POLLIN:
            self._deadline.wait_for_input(self.fileno(), remaining_s)
            return
        poll = select.poll()
        poll.register(self.fileno(), events)
        poll.poll(remaining_s * MILLISECONDS_PER_SECOND)


class DeadlineReader(StreamReader):
    """Buffered reader of a caller's connection."""

    def __init__(self, sock: Any, deadline: IoDeadline, size: int) -> None:
        """Buffer a ``DeadlineSocket``."""
        # The constructor of the parent class would create a plain ``SocketIO``.
        raw = DeadlineSocket(sock, 'rb', deadline)
        _pyio.BufferedReader.__init__(self, raw, size)
        self.bytes_read = 0


class DeadlineWriter(StreamWriter):
    """Buffered writer of a caller's connection."""

    def __init__(self, sock: Any, deadline: IoDeadline, size: int) -> None:
        """Buffer a ``DeadlineSocket``."""
        # The constructor of the parent class would create a plain ``SocketIO``.
        raw = DeadlineSocket(sock, 'wb', deadline)
        BufferedWriter.__init__(self, raw, size)
        self.bytes_written = 0
