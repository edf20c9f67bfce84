"""Connections that any thread can abort, with non-blocking reads."""

import contextlib
import io
import select
import socket
import ssl
import threading
from typing import Any

from attrs import define, field

from trefoilhinge.targets.checked_responses import CheckedResponse, LineReader
from trefoilhinge.targets.exceptions import TargetBroke
from trefoilhinge.targets.held_answers import AnswerTable, HeldAnswer

# A target that stalls inside a chunk for this long counts as broken; the state
# of its stream is then queried on a new connection.
STALL_TIMEOUT_S = 1.0
MILLISECONDS_PER_SECOND = 1000
_LINE_END = b'\r\n'


@define(eq=False)
class AbortableConnection:
    """Connection to a target that any thread can abort.

    Shutting down the socket wakes a thread that is blocked on it at any byte:
    while it sends, waits for headers or reads.

    :ivar response: response on the connection, ``None`` before it begins.
    """

    response: 'NonBlockingResponse | None' = None
    _sock: socket.socket | None = None
    _closed: bool = False
    _lock: threading.Lock = field(factory=threading.Lock)
    _answers: AnswerTable | None = None
    _held: HeldAnswer | None = None

    def bound(self, answers: AnswerTable) -> None:
        """Count what is held of the answer among those of the process."""
        self._answers = answers
        self._held = HeldAnswer(abort=self._abort)

    def hold(self, count: int) -> None:
        """Count bytes of the answer that are held until the connection closes.

        :param count: bytes; negative if they were released, and zero to see
            whether the answer was given up.
        :raises TargetBroke: it was, in favour of others. The aborted connection
            may have ended like a complete one.
        """
        if self._answers is None or self._held is None:
            return
        if count:
            self._answers.add(self._held, count)
        if self._held.is_shed:
            raise TargetBroke('the process holds too much of answers')

    @property
    def closed(self) -> bool:
        """Return whether the connection was closed by ``close``."""
        return self._closed

    def attach_socket(self, sock: socket.socket) -> None:
        """Attach the connected socket; shut it down if ``close`` was called."""
        with self._lock:
            self._sock = sock
            closed = self._closed
        if closed:
            _shut_down(sock)

    def fileno(self) -> int:
        """Return the file descriptor of the socket.

        :raises TargetBroke: there is no open socket.
        """
        number = -1 if self._sock is None else self._sock.fileno()
        if number < 0:
            raise TargetBroke('the connection is closed')
        return number

    def set_non_blocking(self) -> None:
        """Make the socket non-blocking; only ``NonBlockingReader`` waits."""
        if self._sock is not None:
            self._sock.settimeout(0)

    def count_decrypted_bytes(self) -> int:
        """Return the number of unread bytes that TLS has decrypted.

        Polling the file descriptor does not report them.
        """
        sock = self._sock
        return sock.pending() if isinstance(sock, ssl.SSLSocket) else 0

    def close(self) -> None:
        """Abort the connection; repeated calls have no effect."""
        if self._answers is not None and self._held is not None:
            self._answers.release(self._held)
        self._abort()

    def _abort(self) -> None:
        with self._lock:
            self._closed = True
            sock = self._sock
        if sock is not None:
            _shut_down(sock)


class NonBlockingReader(io.RawIOBase):
    """Raw reader of a non-blocking socket that waits only inside a chunk.

    A read follows a poll that reported the socket as readable, so it takes one
    system call; with a time-out set, the ``socket`` module would make three.

    :ivar buffer_only: whether a read returns nothing instead of reading from
        the socket.
    """

    def __init__(self, raw: Any) -> None:
        """Wrap the raw reader of the socket."""
        super().__init__()
        self.buffer_only = False
        self._raw = raw

    def readable(self) -> bool:
        """Return true, as required of a raw reader."""
        return True

    def readinto(self, buffer: Any) -> int | None:
        """Read the available bytes.

        :raises TimeoutError: the target stalled inside a chunk.
        """
        if self.buffer_only:
            return None
        count = self._try_read(buffer)
        # A record of TLS that is not complete wakes the poll, and reads as
        # nothing.
        while count is None:
            ready = select.poll()
            ready.register(self._raw.fileno(), select.POLLIN)
            if not ready.poll(STALL_TIMEOUT_S * MILLISECONDS_PER_SECOND):
                raise TimeoutError(
                    f'the target stalled in a chunk for {STALL_TIMEOUT_S} s',
                )
            count = self._try_read(buffer)
        return count

    def close(self) -> None:
        """Close the socket."""
        self._raw.close()
        super().close()

    def _try_read(self, buffer: Any) -> int | None:
        try:
            count: int | None = self._raw.readinto(buffer)
        except ssl.SSLWantReadError:
            return None
        return count


class NonBlockingResponse(CheckedResponse):
    """Response that can be read without blocking."""

    def __init__(
        self, connection: AbortableConnection, *arguments: Any, **options: Any
    ) -> None:
        """Register the response with its connection."""
        super().__init__(*arguments, **options)
        self._abortable_connection = connection
        self._reader = NonBlockingReader(self.fp.detach())
        self.fp = LineReader(self._reader)
        connection.response = self

    def has_available(self) -> bool:
        """Return whether a read would return at once, without a system call.

        The rest of a chunk can be read once any byte of it has arrived; a new
        chunk only once the line with its size is complete.
        """
        self._reader.buffer_only = True
        buffered = self.fp.peek()
        self._reader.buffer_only = False
        if self._abortable_connection.count_decrypted_bytes():
            return True
        if self.chunked and not self.chunk_left:
            # The line end of the previous chunk, if any, precedes the size.
            start = 0 if self.chunk_left is None else len(_LINE_END)
            return _LINE_END in buffered[start:]
        return bool(buffered)


def _shut_down(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        # ``SSLSocket.shutdown`` would drop the TLS state that a concurrent
        # reader still uses.
        socket.socket.shutdown(sock, socket.SHUT_RDWR)
