"""Connections to targets that any thread may break, read without blocking."""

import contextlib
import http.client
import io
import select
import socket
import ssl
import threading
from typing import Any

from attrs import define, field

from trefoilhinge.targets.exceptions import TargetBroke

# A target that stops inside a piece of its answer counts as broken after
# this; what stands is then asked for on a new connection.
STALL_TIMEOUT_S = 1.0
MILLISECONDS_PER_SECOND = 1000
_LINE_END = b'\r\n'


@define(eq=False)
class AbortableConnection:
    """One connection to a target, which any thread may break.

    Shutting the socket down wakes a thread that is blocked on it at any byte:
    while it sends, waits for headers or reads.

    :ivar answer: the answer that is read from the connection, once it came.
    """

    response: 'NonBlockingResponse | None' = None
    _sock: socket.socket | None = None
    _closed: bool = False
    _lock: threading.Lock = field(factory=threading.Lock)

    @property
    def closed(self) -> bool:
        """Return whether the connection was given up."""
        return self._closed

    def attach_socket(self, sock: socket.socket) -> None:
        """Take the socket as soon as it is connected."""
        with self._lock:
            self._sock = sock
            closed = self._closed
        if closed:
            _shut_down(sock)

    def fileno(self) -> int:
        """Return the descriptor of the socket.

        :raises TargetBroke: there is no open socket.
        """
        number = -1 if self._sock is None else self._sock.fileno()
        if number < 0:
            raise TargetBroke('the connection is closed')
        return number

    def set_non_blocking(self) -> None:
        """Let reads return at once; the reader itself waits where it must."""
        if self._sock is not None:
            self._sock.settimeout(0)

    def count_decrypted_bytes(self) -> int:
        """Return bytes that TLS has decrypted and nobody has read.

        They do not show on the descriptor.
        """
        sock = self._sock
        return sock.pending() if isinstance(sock, ssl.SSLSocket) else 0

    def close(self) -> None:
        """Break the connection; harmless when repeated."""
        with self._lock:
            self._closed = True
            sock = self._sock
        if sock is not None:
            _shut_down(sock)


class NonBlockingReader(io.RawIOBase):
    """Reads a socket that does not block, waiting only inside a piece.

    The socket was seen to be readable before, so that one system call does;
    the library would make three with a timeout.

    :ivar dry: whether a read returns nothing in place of asking the socket.
    """

    def __init__(self, raw: Any) -> None:
        """Take the raw reader of the socket."""
        super().__init__()
        self.buffer_only = False
        self._raw = raw

    def readable(self) -> bool:
        """Return that it can be read."""
        return True

    def readinto(self, buffer: Any) -> int | None:
        """Read what is there.

        :raises TimeoutError: the target stopped inside a piece.
        """
        if self.buffer_only:
            return None
        count = self._try_read(buffer)
        if count is None:
            ready = select.poll()
            ready.register(self._raw.fileno(), select.POLLIN)
            if not ready.poll(STALL_TIMEOUT_S * MILLISECONDS_PER_SECOND):
                raise TimeoutError('the target stopped inside a piece')
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


class NonBlockingResponse(http.client.HTTPResponse):
    """An answer that its link knows, so that reads need not block."""

    def __init__(
        self, connection: AbortableConnection, *arguments: Any, **options: Any
    ) -> None:
        """Take the link."""
        super().__init__(*arguments, **options)
        self._abortable_connection = connection
        self._reader = NonBlockingReader(self.fp.detach())
        self.fp = io.BufferedReader(self._reader)
        connection.response = self

    def has_available(self) -> bool:
        """Return whether a read would return at once, without a system call.

        What is left of a chunk is ready with any byte; a new chunk only once
        the line with its size is whole.
        """
        self._reader.buffer_only = True
        buffered = self.fp.peek()
        self._reader.buffer_only = False
        if self._abortable_connection.count_decrypted_bytes():
            return True
        if self.chunked and not self.chunk_left:
            # The end of the chunk before it comes first, if there was one.
            start = 0 if self.chunk_left is None else len(_LINE_END)
            return _LINE_END in buffered[start:]
        return bool(buffered)


def _shut_down(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        # A TLS socket's own method would pull the state from under a reader.
        socket.socket.shutdown(sock, socket.SHUT_RDWR)
