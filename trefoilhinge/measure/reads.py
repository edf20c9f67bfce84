"""What it costs an instance to read the load of a target."""

import socket
import threading
import time

from attrs import define, field, frozen

from trefoilhinge.core.effects import ReadLoad
from trefoilhinge.core.identifiers import TargetName
from trefoilhinge.targets.engine_client import make_http_engine_client

READ_COUNTS = (50, 200, 800)
BACKLOG = 16
RECEIVED_BYTES = 65536
_BODY = (
    b'{"queued_tokens": 123456, "running": 12, "free_tokens": 234567, '
    b'"age_s": 0.2, "leaving": false, "incarnation": 1}'
)
_HEAD = (
    b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
    b'Content-Length: %d\r\n\r\n'
)


@frozen
class ReadCost:
    """Cost of reading load reports.

    :ivar reads: reports that were read.
    :ivar read_us: microseconds of processor time of the reading thread.
    :ivar bytes_a_read: bytes of one question and its answer.
    """

    reads: int
    read_us: float
    bytes_a_read: float


@define
class _CountingTarget:
    """Answers every question alike and counts the bytes."""

    _listener: socket.socket
    carried: int = 0
    _answer: bytes = field(default=_HEAD % len(_BODY) + _BODY)

    @property
    def address(self) -> str:
        """Return ``host:port`` that it listens at."""
        host, port = self._listener.getsockname()
        return f'{host}:{port}'

    def serve(self) -> None:
        """Answer until the listener is closed."""
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            with connection:
                self._serve_connection(connection)

    def _serve_connection(self, connection: socket.socket) -> None:
        # A question without a body comes in one piece on loopback.
        while question := connection.recv(RECEIVED_BYTES):
            connection.sendall(self._answer)
            self.carried += len(question) + len(self._answer)


def measure_reads() -> tuple[ReadCost, ...]:
    """Return the cost at each number of reads."""
    return tuple(_measure_count(count) for count in READ_COUNTS)


def _measure_count(count: int) -> ReadCost:
    with socket.create_server(('127.0.0.1', 0), backlog=BACKLOG) as listener:
        target = _CountingTarget(listener)
        threading.Thread(target=target.serve, daemon=True).start()
        client = make_http_engine_client('')
        read = ReadLoad(TargetName('engine-0'), target.address, 0)
        began_s = time.thread_time()
        answered = sum(
            client.read_load(read).report is not None for _ in range(count)
        )
        took_s = time.thread_time() - began_s
    if answered != count:
        raise OSError(f'{count - answered} of {count} reads got no report')
    return ReadCost(
        count,
        round(took_s / count * 1_000_000, 1),
        round(target.carried / count, 1),
    )
