"""Connections of callers with a deadline for all reads and writes."""

import contextlib
import json
import socket
import time
from typing import Any

from cheroot import errors
from cheroot.makefile import MakeFile
from cheroot.server import HTTPConnection, HTTPRequest
from cheroot.wsgi import Gateway_10

from trefoilhinge.calls.answers import describe_refusal
from trefoilhinge.calls.deadlines import (
    DeadlineReader,
    DeadlineWriter,
    IoDeadline,
)
from trefoilhinge.calls.exceptions import RequestRefused
from trefoilhinge.calls.receipts import Receipt
from trefoilhinge.core.verdicts import (
    Refusal,
    RefusalCode,
    Verdict,
    refuse_not_run,
    refuse_stopping,
)

CONNECTION_KEY = 'trefoilhinge.connection'
REFUSAL_WRITE_TIMEOUT_S = 2.0
DRAIN_TIMEOUT_S = 1.0
MAXIMUM_DRAIN_BYTES = 1_048_576
_READ_SIZE_BYTES = 65536


def refuse_overloaded(
    limit: str = 'memory_mb', limit_value: int | None = None
) -> Refusal:
    """Return the refusal of a request for which there is no capacity."""
    return refuse_not_run(
        RefusalCode.OVERLOADED,
        'This instance has no free capacity for the request; try again.',
        limit=limit,
        limit_value=limit_value,
        retry_after_s=1,
    )


class CallerRequest(HTTPRequest):
    """HTTP request that is refused in JSON if it is malformed."""

    def read_request_headers(self) -> bool:
        """Read the headers and check those that declare the body's length."""
        if not super().read_request_headers():
            return False
        length = self.inheaders.get(b'Content-Length')
        if length is not None and self.chunked_read:
            self.simple_response(
                '400 Bad Request',
                'Content-Length and Transfer-Encoding exclude each other.',
            )
            return False
        if length is not None and not length.isdigit():
            self.simple_response('400 Bad Request', 'Invalid Content-Length.')
            return False
        if self.chunked_read:
            # The unread body of a refused request must not be parsed as the
            # next request.
            self.close_connection = True
        return True

    def send_headers(self) -> None:
        """Send the headers; the rest of a body is dropped, not read whole."""
        self.conn.skip_unread_body()
        super().send_headers()

    def simple_response(self, status: Any, msg: Any = '') -> None:
        """Respond to an error that Cheroot detected with a refusal in JSON."""
        refusal = _make_refusal(int(str(status)[:3]), str(msg))
        if self.conn.is_shed:
            refusal = refuse_overloaded()
        if self.conn.was_interrupted:
            refusal = refuse_stopping()
        self.close_connection = True
        self.conn.set_io_deadline(time.monotonic() + REFUSAL_WRITE_TIMEOUT_S)
        with contextlib.suppress(OSError, errors.FatalSSLAlert):
            self.conn.wfile.write(format_refusal_response(refusal))
        self.conn.shut_down_and_drain()


class BoundedConnection(HTTPConnection):
    """Connection of a caller or a peer, whose I/O has a deadline."""

    RequestHandlerClass = CallerRequest

    def __init__(self, server: Any, sock: Any, makefile: Any = MakeFile):
        """Apply the deadline to both directions of the socket."""
        super().__init__(server, sock, makefile)
        self.request: CallerRequest | None = None
        self._deadline = IoDeadline(server.interrupt_fd)
        self._needs_drain = False
        self.receipt: Receipt | None = None
        self.rfile = DeadlineReader(sock, self._deadline, self.rbufsize)
        self.wfile = DeadlineWriter(sock, self._deadline, self.wbufsize)

    def fileno(self) -> int:
        """Return the file descriptor; polling it reports a disconnection."""
        return int(self.socket.fileno())

    @property
    def was_interrupted(self) -> bool:
        """Return whether the stop of the server ended the wait for input."""
        return self._deadline.interrupted

    def set_io_deadline(self, deadline_s: float) -> None:
        """Set the deadline of all reads and writes.

        :param deadline_s: monotonic seconds.
        """
        self._deadline.monotonic_s = deadline_s

    def communicate(self) -> bool:
        """Serve one request, which must be received within the time limit."""
        self.set_io_deadline(time.monotonic() + self.server.slow_sender_s)
        self.request = None
        self._needs_drain = False
        receipt = self.server.receipts.begin(self)
        self.receipt = receipt
        try:
            keeps_open = bool(super().communicate())
        finally:
            self.receipt = None
            self.server.receipts.release(receipt)
            self.server.release_thread()
            if self.was_interrupted:
                self.server.note_interrupted()
        if self._needs_drain:
            self.shut_down_and_drain()
        return keeps_open

    @property
    def is_shed(self) -> bool:
        """Return whether the request was ended in favour of others."""
        return self.receipt is not None and self.receipt.is_shed

    def hold(self, count: int) -> None:
        """Count bytes of the body of the request.

        :raises RequestRefused: it was ended in favour of others.
        """
        if self.receipt is not None:
            self.server.receipts.add(self.receipt, count)
        if self.is_shed:
            raise RequestRefused(refuse_overloaded())

    def complete_receipt(self) -> None:
        """Record that the request has arrived."""
        if self.receipt is not None:
            self.server.receipts.complete(self.receipt)

    def end_receipt(self) -> None:
        """Wake the thread that waits for the rest of the request."""
        with contextlib.suppress(OSError):
            socket.socket.shutdown(self.socket, socket.SHUT_RD)

    def was_closed_by_caller(self) -> bool:
        """Return whether the caller closed the connection while it was idle."""
        if self.last_used is None or self.rfile.has_data():
            return False
        return self._peek() == b''

    def has_unread_input(self) -> bool:
        """Return whether a part of a request has arrived."""
        return self.rfile.has_data() or bool(self._peek())

    def _peek(self) -> bytes | None:
        """Return the next byte, or ``None`` if none has arrived.

        :return: empty if the connection was closed.
        """
        flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
        try:
            return socket.socket.recv(self.socket, 1, flags)
        except BlockingIOError:
            return None
        except OSError:
            return b''

    def skip_unread_body(self) -> None:
        """Leave the rest of the body unread and close after the response.

        Otherwise Cheroot would read the whole body before responding.
        """
        request = self.request
        if request is None:
            return
        unread = getattr(request.rfile, 'remaining', 0) > 0
        if unread or request.chunked_read:
            request.close_connection = True
            self._needs_drain = True

    def shut_down_and_drain(self) -> None:
        """Shut down writing and discard a bounded amount of input.

        Closing a socket with unread bytes resets the connection, so that the
        caller may never receive the response.
        """
        receive = socket.socket.recv
        end_s = time.monotonic() + DRAIN_TIMEOUT_S
        remaining_bytes = MAXIMUM_DRAIN_BYTES
        with contextlib.suppress(OSError):
            socket.socket.shutdown(self.socket, socket.SHUT_WR)
            while remaining_bytes > 0 and time.monotonic() < end_s:
                self.socket.settimeout(DRAIN_TIMEOUT_S)
                data = receive(self.socket, _READ_SIZE_BYTES)
                remaining_bytes = remaining_bytes - len(data) if data else 0


class ConnectionGateway(Gateway_10):
    """WSGI gateway that adds the connection to the WSGI environment."""

    def respond(self) -> None:
        """Serve the request."""
        self.env[CONNECTION_KEY] = self.req.conn
        self.req.conn.request = self.req
        if not getattr(self.req.rfile, 'remaining', self.req.chunked_read):
            self.req.conn.complete_receipt()
        super().respond()


def format_refusal_response(refusal: Refusal) -> bytes:
    """Return a refusal as a full HTTP response that closes the connection."""
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


def _make_refusal(status: int, problem: str) -> Refusal:
    # Cheroot responds with 501 and 505 to a transfer encoding or HTTP version
    # that it does not support, before the request is served.
    if status >= 500 and status not in {501, 505}:
        return Refusal(
            RefusalCode.ANSWER_INCOMPLETE,
            Verdict.MAY_HAVE_RUN,
            'This instance failed while serving the request.',
        )
    if status in {413, 414}:
        return refuse_not_run(
            RefusalCode.TOO_LARGE,
            'The request headers or body exceed the maximum size.',
            limit='maximum_header_bytes, maximum_body_bytes',
        )
    if status == 408:
        return refuse_not_run(
            RefusalCode.SLOW_SENDER,
            'The request was not received in full within the time limit.',
            limit='slow_sender_s',
        )
    return refuse_not_run(
        RefusalCode.BAD_REQUEST,
        f'The request is malformed: {problem or "see the HTTP standard"}',
    )
