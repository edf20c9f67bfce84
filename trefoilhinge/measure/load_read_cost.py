"""Cost of reading a target's load report."""

import socket
import threading
import time

from attrs import define, field, frozen

from trefoilhinge.core.effects import ReadLoad
from trefoilhinge.core.identifiers import TargetName
from trefoilhinge.targets.engine_client import make_http_engine_client

READ_COUNTS = (50, 200, 800)
BACKLOG = 16
RECEIVE_BUFFER_BYTES = 65536
_RESPONSE_BODY = (
    b'{"queued_tokens": 123456, "running": 12, "free_tokens": 234567, '
    b'"age_s": 0.2, "leaving": false, "incarnation": 1}'
)
_RESPONSE_HEAD = (
    b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
    b'Content-Length: %d\r\n\r\n'
)


@frozen
class ReadCost:
    """Cost of reading load reports.

    :ivar reads: number of reports read.
    :ivar read_us: CPU time of the reading thread per read, microseconds.
    :ivar bytes_a_read: bytes of one request and its response.
    """

    reads: int
    read_us: float
    bytes_a_read: float


@define
class _ByteCountingTarget:
    """Server that sends one fixed response and counts transferred bytes."""

    _listener: socket.socket
    transferred_bytes: int = 0
    _response: bytes = field(
        default=_RESPONSE_HEAD % len(_RESPONSE_BODY) + _RESPONSE_BODY
    )

    @property
    def address(self) -> str:
        """Return the ``host:port`` of the listener."""
        host, port = self._listener.getsockname()
        return f'{host}:{port}'

    def serve(self) -> None:
        """Serve connections until the listener is closed."""
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            with connection:
                self._serve_connection(connection)

    def _serve_connection(self, connection: socket.socket) -> None:
        # A request without a body arrives in one piece on loopback.
        while request := connection.recv(RECEIVE_BUFFER_BYTES):
            connection.sendall(self._response)
            self.transferred_bytes += len(request) + len(self._response)


def measure_load_reads() -> tuple[ReadCost, ...]:
    """Measure each number of reads."""
    return tuple(_measure_count(count) for count in READ_COUNTS)


def _measure_count(count: int) -> ReadCost:
    with socket.create_server(('127.0.0.1', 0), backlog=BACKLOG) as listener:
        target = _ByteCountingTarget(listener)
        threading.Thread(target=target.serve, daemon=True).start()
        client = make_http_engine_client('')
        read = ReadLoad(TargetName('engine-0'), target.address, 0)
        started_s = time.thread_time()
        report_count = sum(
            client.read_load(read).report is not None for _ in range(count)
        )
        cpu_s = time.thread_time() - started_s
    if report_count != count:
        raise OSError(
            f'{count - report_count} of {count} load reads returned no report'
        )
    return ReadCost(
        count,
        round(cpu_s / count * 1_000_000, 1),
        round(target.transferred_bytes / count, 1),
    )
