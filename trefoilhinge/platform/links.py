"""Connections to targets that any thread may break, read without blocking."""

import contextlib
import http.client
import socket
import ssl
import threading
from typing import Any

from attrs import define, field

from trefoilhinge.platform.failures import TargetBroke

_LINE_END = b'\r\n'


@define(eq=False)
class Link:
    """One connection to a target, which any thread may break.

    Shutting the socket down wakes a thread that is blocked on it at any byte:
    while it sends, waits for headers or reads.

    :ivar answer: the answer that is read from the connection, once it came.
    """

    answer: 'LinkedAnswer | None' = None
    _sock: socket.socket | None = None
    _closed: bool = False
    _lock: threading.Lock = field(factory=threading.Lock)

    @property
    def closed(self) -> bool:
        """Return whether the connection was given up."""
        return self._closed

    def attach(self, sock: socket.socket) -> None:
        """Take the socket as soon as it is connected."""
        with self._lock:
            self._sock = sock
            closed = self._closed
        if closed:
            _shut(sock)

    def fileno(self) -> int:
        """Return the descriptor of the socket.

        :raises TargetBroke: there is no open socket.
        """
        number = -1 if self._sock is None else self._sock.fileno()
        if number < 0:
            raise TargetBroke('the connection is closed')
        return number

    def set_timeout(self, timeout_s: float) -> None:
        """Bound each wait on the socket from now on."""
        if self._sock is not None:
            self._sock.settimeout(timeout_s)

    def count_pending(self) -> int:
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
            _shut(sock)


class LinkedAnswer(http.client.HTTPResponse):
    """An answer that its link knows, so that reads need not block."""

    def __init__(self, link: Link, *arguments: Any, **options: Any) -> None:
        """Take the link."""
        super().__init__(*arguments, **options)
        self._link = link
        link.answer = self

    def has_ready(self) -> bool:
        """Return whether a read would return at once; the socket must not wait.

        What is left of a chunk is ready with any byte; a new chunk only once
        the line with its size is whole.
        """
        try:
            ahead = self.fp.peek()
        except ssl.SSLWantReadError:
            return False
        if self._link.count_pending():
            return True
        if self.chunked and not self.chunk_left:
            # The end of the chunk before it comes first, if there was one.
            start = 0 if self.chunk_left is None else len(_LINE_END)
            return _LINE_END in ahead[start:]
        return bool(ahead)


def _shut(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        # A TLS socket's own method would pull the state from under a reader.
        socket.socket.shutdown(sock, socket.SHUT_RDWR)
