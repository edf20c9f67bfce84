"""Tests of control requests to engines whose answers are late or endless."""

import contextlib
import socket
import threading
import time

import pytest

from trefoilhinge.core.effects import QueryStream, ReadLoad
from trefoilhinge.core.identifiers import (
    AttemptId,
    RequestId,
    StreamId,
    TargetName,
)
from trefoilhinge.core.reports import StreamState
from trefoilhinge.targets import http_requests
from trefoilhinge.targets.engine_client import make_http_engine_client

TARGET = TargetName('writer-0')
RUNNING = b'{"state": "running", "offset": 7}'
GONE = b'{"state": "never_started", "offset": 0}'


def make_answer(content):
    return (
        b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
        b'Content-Length: %d\r\n\r\n%s' % (len(content), content)
    )


@contextlib.contextmanager
def run_server(handle):
    """Serve each connection in a thread; yield the address."""
    listener = socket.create_server(('127.0.0.1', 0))
    listener.settimeout(0.2)
    stopped = threading.Event()

    def accept():
        while not stopped.is_set():
            with contextlib.suppress(TimeoutError):
                connection, _ = listener.accept()
                threading.Thread(
                    target=serve, args=(connection,), daemon=True
                ).start()

    def serve(connection):
        with contextlib.suppress(OSError), connection:
            handle(connection)

    thread = threading.Thread(target=accept, daemon=True)
    thread.start()
    try:
        host, port = listener.getsockname()
        yield f'{host}:{port}'
    finally:
        stopped.set()
        thread.join()
        listener.close()


def make_query(address, number):
    attempt = AttemptId(RequestId(f'r-{number}'), 1)
    return QueryStream(attempt, TARGET, address, StreamId(f's-{number}'))


class TestLateCopies:
    def test_answer_of_an_earlier_query_is_not_taken_for_this_one(self):
        """Guards against a running stream that is taken for one that never started.

        The engine sends a second copy of its last answer on a connection that
        is in use again.
        """
        answers = [GONE, RUNNING]
        lock = threading.Lock()

        def handle(connection):
            last = b''
            while connection.recv(65_536):
                connection.sendall(last)
                with lock:
                    last = make_answer(answers.pop(0) if answers else RUNNING)
                connection.sendall(last)

        with run_server(handle) as address:
            client = make_http_engine_client('')
            first = client.query_stream(make_query(address, 1))
            second = client.query_stream(make_query(address, 2))
        assert first.state is StreamState.NEVER_STARTED
        assert second.state is StreamState.RUNNING


class TestEndlessAnswers:
    @pytest.mark.parametrize(
        'begin',
        [
            b'HTTP/1.1 200 OK\r\n\r\n',
            b'HTTP/1.1 200 OK\r\nContent-Length: 9999999999\r\n\r\n',
        ],
    )
    def test_report_without_end_is_given_up(self, monkeypatch, begin):
        """Guards against memory that is used up by one malformed report."""
        monkeypatch.setattr(http_requests, 'MAXIMUM_JSON_BYTES', 1_000_000)
        sent = []

        def handle(connection):
            connection.recv(65_536)
            connection.sendall(begin)
            while sum(sent) < 50_000_000:
                connection.sendall(b'x' * 65_536)
                sent.append(65_536)

        with run_server(handle) as address:
            client = make_http_engine_client('')
            report = client.read_load(ReadLoad(TARGET, address, 0)).report
        assert report is None
        assert sum(sent) < 20_000_000

    def test_report_that_trickles_in_is_given_up(self, monkeypatch):
        """Guards against a thread that a stalled engine holds for hours."""

        def handle(connection):
            connection.recv(65_536)
            connection.sendall(b'HTTP/1.1 200 OK\r\n\r\n')
            for _ in range(100):
                connection.sendall(b'x')
                time.sleep(0.1)

        with run_server(handle) as address:
            client = make_http_engine_client('')
            begin_s = time.monotonic()
            report = client.read_load(ReadLoad(TARGET, address, 0)).report
        assert report is None
        assert time.monotonic() - begin_s < 4
