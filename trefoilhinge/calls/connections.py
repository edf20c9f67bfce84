"""Connections of callers, each read and write of which is bounded in time."""

import _pyio
import contextlib
import json
import select
import socket
import ssl
import time
from typing import Any

from cheroot import errors
from cheroot.makefile import (
    BufferedWriter,
    MakeFile,
    StreamReader,
    StreamWriter,
)
from cheroot.server import HTTPConnection, HTTPRequest
from cheroot.wsgi import Gateway_10

from trefoilhinge.calls.answers import describe_refusal
from trefoilhinge.core.verdicts import (
    Refusal,
    RefusalCode,
    Verdict,
    refuse_not_run,
)

CONNECTION_KEY = 'trefoilhinge.connection'
REFUSAL_WRITE_S = 2.0
LINGER_S = 1.0
LINGER_BYTES = 1_048_576
MILLISECONDS = 1000
_READ_BYTES = 65536


class TimeLimit:
    """An instant past which a connection is neither read nor written.

    :ivar at_s: monotonic seconds.
    """

    def __init__(self) -> None:
        """Start with a limit that has passed."""
        self.at_s: float = 0

    def count_left(self) -> float:
        """Return the seconds that are left.

        :raises TimeoutError: none are.
        """
        left_s = self.at_s - time.monotonic()
        if left_s <= 0:
            raise TimeoutError('timed out')
        return left_s


class LimitedSocket(socket.SocketIO):
    """Raw I/O of a socket, bounded as a whole rather than for each call."""

    def __init__(self, sock: Any, mode: Any, limit: TimeLimit) -> None:
        """Take the socket and its limit."""
        super().__init__(sock, mode)
        self._limit = limit
        # With a timeout the library would poll before each transfer.
        sock.settimeout(0)

    def readinto(self, buffer: Any) -> int | None:
        """Read what comes before the limit."""
        count = None
        while count is None:
            left_s = self._limit.count_left()
            try:
                count = super().readinto(buffer)
            except (ssl.SSLWantReadError, ssl.SSLWantWriteError) as wanted:
                self._wait(left_s, wanted)
            else:
                self._wait_unless(count, left_s, select.POLLIN)
        return count

    def write(self, piece: Any) -> int | None:
        """Write what is taken before the limit."""
        count = None
        while count is None:
            left_s = self._limit.count_left()
            try:
                count = super().write(piece)
            except (ssl.SSLWantReadError, ssl.SSLWantWriteError) as wanted:
                self._wait(left_s, wanted)
            else:
                self._wait_unless(count, left_s, select.POLLOUT)
        return count

    def _wait(self, left_s: float, wanted: ssl.SSLError) -> None:
        reading = isinstance(wanted, ssl.SSLWantReadError)
        mask = select.POLLIN if reading else select.POLLOUT
        self._wait_unless(None, left_s, mask)

    def _wait_unless(
        self,
        count: int | None,
        left_s: float,
        mask: int,
    ) -> None:
        if count is None:
            poll = select.poll()
            poll.register(self.fileno(), mask)
            poll.poll(left_s * MILLISECONDS)


class LimitedReader(StreamReader):
    """Reader of a caller's connection."""

    def __init__(self, sock: Any, limit: TimeLimit, size: int) -> None:
        """Buffer the limited socket in place of the bare one."""
        raw = LimitedSocket(sock, 'rb', limit)
        _pyio.BufferedReader.__init__(self, raw, size)
        self.bytes_read = 0


class LimitedWriter(StreamWriter):
    """Writer of a caller's connection."""

    def __init__(self, sock: Any, limit: TimeLimit, size: int) -> None:
        """Write to the limited socket in place of the bare one."""
        raw = LimitedSocket(sock, 'wb', limit)
        BufferedWriter.__init__(self, raw, size)
        self.bytes_written = 0


class CallerRequest(HTTPRequest):
    """A request whose malformed forms are refused in JSON."""

    def read_request_headers(self) -> bool:
        """Read the headers and check how the body's length is told."""
        if not super().read_request_headers():
            return False
        length = self.inheaders.get(b'Content-Length')
        if length is not None and self.chunked_read:
            self.simple_response('400 Bad Request', 'Two lengths of the body.')
            return False
        if length is not None and not length.isdigit():
            self.simple_response('400 Bad Request', 'Malformed length.')
            return False
        if self.chunked_read:
            # What a refused request leaves unread must not be taken for the
            # next request.
            self.close_connection = True
        return True

    def simple_response(self, status: Any, msg: Any = '') -> None:
        """Refuse in JSON what the server itself cannot serve."""
        refusal = _choose_refusal(int(str(status)[:3]), str(msg))
        self.close_connection = True
        self.conn.bound_until(time.monotonic() + REFUSAL_WRITE_S)
        with contextlib.suppress(OSError, errors.FatalSSLAlert):
            self.conn.wfile.write(format_refusal(refusal))
        self.conn.finish_writing()


class BoundedConnection(HTTPConnection):
    """A connection of a caller or a peer."""

    RequestHandlerClass = CallerRequest

    def __init__(self, server: Any, sock: Any, makefile: Any = MakeFile):
        """Bound both directions of the socket."""
        super().__init__(server, sock, makefile)
        self.request: CallerRequest | None = None
        self._limit = TimeLimit()
        self._lingers = False
        self.rfile = LimitedReader(sock, self._limit, self.rbufsize)
        self.wfile = LimitedWriter(sock, self._limit, self.wbufsize)

    def fileno(self) -> int:
        """Return the descriptor, on which a departure shows."""
        return int(self.socket.fileno())

    def bound_until(self, limit_s: float) -> None:
        """Bound reads and writes by an instant, in monotonic seconds."""
        self._limit.at_s = limit_s

    def communicate(self) -> bool:
        """Serve one request; the whole of it must arrive in time."""
        self.bound_until(time.monotonic() + self.server.slow_sender_s)
        self.request = None
        self._lingers = False
        try:
            stays_open = bool(super().communicate())
        finally:
            self.server.note_served()
        if self._lingers:
            self.finish_writing()
        return stays_open

    def has_departed(self) -> bool:
        """Return whether the caller closed the connection while it was idle."""
        if self.last_used is None or self.rfile.has_data():
            return False
        flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
        try:
            return not socket.socket.recv(self.socket, 1, flags)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def leave_rest(self) -> None:
        """Take no more of the request; the connection ends with the answer.

        The library would read the rest of a body before it answers.
        """
        request = self.request
        if request is None:
            return
        unread = getattr(request.rfile, 'remaining', 0) > 0
        if unread or request.chunked_read:
            request.close_connection = True
            self._lingers = True

    def finish_writing(self) -> None:
        """End the answer, and read on a little so that it is not lost.

        A socket that is closed with unread bytes resets the connection, and
        the caller may then never see the answer.
        """
        plain = socket.socket.recv
        until_s = time.monotonic() + LINGER_S
        left = LINGER_BYTES
        with contextlib.suppress(OSError):
            socket.socket.shutdown(self.socket, socket.SHUT_WR)
            while left > 0 and time.monotonic() < until_s:
                self.socket.settimeout(LINGER_S)
                piece = plain(self.socket, _READ_BYTES)
                left = left - len(piece) if piece else 0


class ConnectionGateway(Gateway_10):
    """Tells the application which connection a request came on."""

    def respond(self) -> None:
        """Serve the request."""
        self.env[CONNECTION_KEY] = self.req.conn
        self.req.conn.request = self.req
        super().respond()


def format_refusal(refusal: Refusal) -> bytes:
    """Return a refusal as a whole HTTP answer that ends the connection."""
    body = json.dumps(describe_refusal(refusal, '')).encode()
    lines = [
        f'HTTP/1.1 {refusal.status} Refused',
        'Content-Type: application/json',
        f'Content-Length: {len(body)}',
        f'X-Verdict: {refusal.verdict.value}',
        'X-Should-Retry: false',
        'Connection: close',
    ]
    if refusal.retry_after_s is not None:
        lines.append(f'Retry-After: {int(refusal.retry_after_s + 1)}')
    return '\r\n'.join([*lines, '', '']).encode() + body


def _choose_refusal(status: int, problem: str) -> Refusal:
    if status >= 500 and status not in {501, 505}:
        return Refusal(
            RefusalCode.ANSWER_INCOMPLETE,
            Verdict.MAY_HAVE_RUN,
            'This instance failed while it served the request.',
        )
    if status in {413, 414}:
        return refuse_not_run(
            RefusalCode.TOO_LARGE,
            'The headers or the body are longer than this instance takes.',
            limit='maximum_header_bytes, maximum_body_bytes',
        )
    if status == 408:
        return refuse_not_run(
            RefusalCode.SLOW_SENDER,
            'The request did not arrive in full in the time for it.',
            limit='slow_sender_s',
        )
    return refuse_not_run(
        RefusalCode.BAD_REQUEST,
        f'The request is malformed: {problem or "see the HTTP standard"}',
    )
