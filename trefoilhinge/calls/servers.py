"""HTTP servers that refuse requests when all of their threads are in use."""

import contextlib
import os
import ssl
import threading
import time
from collections.abc import Callable
from typing import Any

import logbook
from attrs import frozen
from cheroot import errors, wsgi
from cheroot.ssl.builtin import BuiltinSSLAdapter

from trefoilhinge.calls.connections import (
    DRAIN_TIMEOUT_S,
    BoundedConnection,
    ConnectionGateway,
    format_refusal_response,
    refuse_overloaded,
)
from trefoilhinge.calls.receipts import ReceiptTable, make_receipt_table

MAXIMUM_CONCURRENT_REFUSALS = 4
MAXIMUM_PENDING_REFUSALS = 64
OVERLOAD_WRITE_TIMEOUT_S = 1.0
# One refusal takes at most the time limits of its write and of its drain.
STOP_REFUSALS_TIMEOUT_S = OVERLOAD_WRITE_TIMEOUT_S + DRAIN_TIMEOUT_S
# Interval at which Cheroot checks for expired connections.
EXPIRATION_INTERVAL_S = 0.2
LISTEN_BACKLOG = 512
_logger = logbook.Logger('trefoilhinge')


@frozen
class ServerLimits:
    """Limits of one listener.

    :ivar thread_count: maximum number of concurrent requests; each has its own
        thread.
    :ivar slow_sender_s: seconds within which a request must be received in
        full.
    """

    thread_count: int
    slow_sender_s: float
    maximum_header_bytes: int
    maximum_body_bytes: int


class DeferredHandshakeAdapter(BuiltinSSLAdapter):
    """TLS adapter that defers the handshake to the serving thread.

    In the accepting thread, a caller that does not complete the handshake
    would block all others.
    """

    def wrap(self, sock: Any) -> tuple[ssl.SSLSocket, dict[str, Any]]:
        """Wrap a socket, which performs the handshake on its first read."""
        wrapped = self.context.wrap_socket(
            sock,
            do_handshake_on_connect=False,
            server_side=True,
        )
        return wrapped, {}


class BoundedServer(wsgi.Server):
    """Serve one request per thread and refuse requests beyond that."""

    ConnectionClass = BoundedConnection
    expiration_interval = EXPIRATION_INTERVAL_S
    shutdown_timeout: Any
    _connections: Any

    def __init__(
        self,
        address: str,
        application: Callable[..., Any],
        limits: ServerLimits,
        receipts: ReceiptTable | None = None,
    ) -> None:
        """Configure the server without opening the listener.

        :param address: ``host:port``.
        :param receipts: requests that arrive at the process; none for a table
            of its own, within the memory of the machine.
        """
        host, _, port = address.rpartition(':')
        super().__init__(
            (host.strip('[]'), int(port)),
            application,
            numthreads=limits.thread_count,
            max=limits.thread_count,
            request_queue_size=LISTEN_BACKLOG,
        )
        # After a time-out, Cheroot would shut down the reading side of busy
        # connections, which looks as if their callers had gone. Each thread
        # ends by the deadline of its connection.
        self.shutdown_timeout = None
        self.gateway = ConnectionGateway
        self.max_request_header_size = limits.maximum_header_bytes
        self.max_request_body_size = limits.maximum_body_bytes
        self.slow_sender_s = limits.slow_sender_s
        self.interrupt_fd = os.eventfd(0, os.EFD_NONBLOCK)
        self.receipts = receipts or make_receipt_table(0)
        self.refusal_count = 0
        self.interrupted_count = 0
        self._thread_count = limits.thread_count
        self._active_requests = 0
        self._closing = False
        self._pending_refusals = 0
        self._lock = threading.Lock()
        self._refusals_ended = threading.Condition(self._lock)
        self._stop_lock = threading.Lock()
        self._refusal_slots = threading.Semaphore(MAXIMUM_CONCURRENT_REFUSALS)

    def error_log(
        self,
        msg: str = '',
        level: int = 20,
        traceback: bool = False,
    ) -> None:
        """Log a connection error as one line."""
        problem = msg.replace('"', "'").replace('\n', ' ')
        _logger.info('event=connection_failed problem="{}"', problem)

    @property
    def can_add_keepalive_connection(self) -> bool:
        """Return whether a connection may be kept after its answer."""
        return not self._closing and super().can_add_keepalive_connection

    def begin_closing(self) -> None:
        """Close each connection after its next answer.

        A connection that is kept until the exit could be closed while its
        next request is on the way.
        """
        self._closing = True

    def process_conn(self, conn: Any) -> None:
        """Serve a connection with a request, or refuse it.

        Cheroot would instead queue it, unmonitored, until a thread is free.
        """
        if conn.was_closed_by_caller():
            # A closed idle connection must not occupy a thread.
            conn.close()
            return
        if conn.last_used is None and not conn.has_unread_input():
            # It must not occupy a thread before it has sent anything.
            self._await_request(conn)
            return
        with self._lock:
            has_free_thread = self._active_requests < self._thread_count
        if has_free_thread or self.receipts.end_oldest():
            # The thread of a request that was ended is free in a moment.
            with self._lock:
                self._active_requests += 1
            self.requests.put(conn)
        else:
            self._refuse(conn)

    def _await_request(self, conn: Any) -> None:
        """Wait for the request of a connection, without a thread.

        Beyond the limit, the connection that has waited longest is closed.
        """
        selector = self._connections._selector
        waiting = [
            (one.last_used, fd, one)
            for fd, one in tuple(selector.connections)
            if one is not self
        ]
        if len(waiting) >= self._thread_count:
            _, fd, oldest = min(waiting, key=lambda one: one[:2])
            selector.unregister(fd)
            oldest.close()
        self._connections.put(conn)

    def stop(self) -> None:
        """Refuse requests that still arrive, finish answers and close."""
        with self._stop_lock:
            if self.ready:
                self.begin_closing()
                os.eventfd_write(self.interrupt_fd, 1)
                # Cheroot's loop over the selector ends only once it is not
                # ready, and its own stop does nothing then.
                self.ready = False
                self._connections.stop()
                self._serve_arrived()
                self.ready = True
            super().stop()
            with self._refusals_ended:
                self._refusals_ended.wait_for(
                    lambda: not self._pending_refusals,
                    STOP_REFUSALS_TIMEOUT_S,
                )

    def release_thread(self) -> None:
        """Record that a thread is free again."""
        with self._lock:
            self._active_requests -= 1

    def note_interrupted(self) -> None:
        """Count a connection whose request had not arrived at the stop."""
        with self._lock:
            self.interrupted_count += 1

    def count_active_requests(self) -> int:
        """Return the number of requests that are being served."""
        return self._active_requests

    def _serve_arrived(self) -> None:
        """Serve the requests that arrived since the last poll of the selector.

        Closing a connection with an unread request resets it.
        """
        selector = self._connections._selector
        for _, conn in tuple(selector.connections):
            if conn is not self and conn.has_unread_input():
                selector.unregister(conn.fileno())
                self.process_conn(conn)
        self.socket.settimeout(0)
        for _ in range(LISTEN_BACKLOG):
            conn = self._connections._from_server_socket(self.socket)
            if conn is None:
                break
            self.process_conn(conn)

    def _refuse(self, conn: Any) -> None:
        with self._lock:
            self.refusal_count += 1
            is_full = self._pending_refusals >= MAXIMUM_PENDING_REFUSALS
            self._pending_refusals += not is_full
        if is_full:
            conn.close()
            return
        threading.Thread(
            target=self._write_refusal,
            args=(conn,),
            daemon=True,
        ).start()

    def _write_refusal(self, conn: Any) -> None:
        refusal = refuse_overloaded('maximum_connections', self._thread_count)
        suppressed = (OSError, errors.FatalSSLAlert, errors.NoSSLError)
        with self._refusal_slots, contextlib.suppress(*suppressed):
            conn.set_io_deadline(time.monotonic() + OVERLOAD_WRITE_TIMEOUT_S)
            conn.wfile.write(format_refusal_response(refusal))
            conn.shut_down_and_drain()
        conn.close()
        with self._refusals_ended:
            self._pending_refusals -= 1
            self._refusals_ended.notify_all()


def start_server(server: BoundedServer) -> None:
    """Open the listener and serve in daemon threads.

    :raises OSError: the listener cannot be opened at the address.
    """
    failures: list[OSError] = []
    ready = threading.Event()

    def serve() -> None:
        # The threads of the pool inherit the daemon flag of this one.
        try:
            server.prepare()
        except OSError as error:
            failures.append(error)
        finally:
            ready.set()
        if not failures:
            server.serve()

    threading.Thread(target=serve, daemon=True).start()
    ready.wait()
    if failures:
        raise failures[0]


def enable_tls(server: BoundedServer, certificate: str, key: str) -> None:
    """Enable TLS on a server.

    :param certificate: path of the certificate chain in PEM format.
    :param key: path of the private key in PEM format.
    """
    server.ssl_adapter = DeferredHandshakeAdapter(certificate, key)
