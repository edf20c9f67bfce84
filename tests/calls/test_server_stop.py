"""Tests of the stop of a listener while callers use it."""

import select
import socket
import threading
import time

import pytest

from tests.calls import support
from trefoilhinge.calls.answers import encode_refusal, make_refusal_headers
from trefoilhinge.calls.caller_connection import CLOSED_EVENTS
from trefoilhinge.calls.connections import CONNECTION_KEY
from trefoilhinge.calls.exceptions import RequestRefused
from trefoilhinge.calls.requests import read_body
from trefoilhinge.calls.servers import BoundedServer, ServerLimits, start_server

TIMEOUT_S = 20
SLOW_SENDER_S = 15.0
STREAM_PART = b'x' * 16_000_000  # more than the buffers of a connection hold
FORCED_CLOSE_S = 5  # after which Cheroot shuts down a busy connection
HEAD = b'POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n'


def answer(environ, start_response):
    """Answer ``done`` to a body, or stream to a caller that reads slowly."""
    connection = environ[CONNECTION_KEY]
    try:
        read_body(environ, 100)
    except RequestRefused as refused:
        connection.skip_unread_body()
        body = encode_refusal(refused.refusal, 'r1')
        headers = make_refusal_headers(refused.refusal, len(body))
        start_response(f'{refused.refusal.status} Refused', headers)
        return [body]
    connection.set_io_deadline(time.monotonic() + TIMEOUT_S)
    if environ['PATH_INFO'] == '/stream':
        start_response('200 OK', [])
        return stream(connection)
    start_response('200 OK', [('Content-Length', '4')])
    return [b'done']


def stream(connection):
    yield STREAM_PART
    poll = select.poll()
    poll.register(connection.fileno(), select.POLLRDHUP)
    seems_closed = any(flags & CLOSED_EVENTS for _, flags in poll.poll(0))
    yield b'CLOSED' if seems_closed else b'FINISH'


@pytest.fixture
def server():
    limits = ServerLimits(4, SLOW_SENDER_S, 4096, 1000)
    one = BoundedServer('127.0.0.1:0', answer, limits)
    start_server(one)
    yield one
    one.stop()


def connect(server, data=b''):
    sock = socket.create_connection(server.bind_addr, timeout=TIMEOUT_S)
    sock.sendall(data)
    return sock


def read_answer(sock):
    data = b''
    while not data.endswith(b'done'):
        piece = sock.recv(1000)
        assert piece, data
        data += piece


def stop_in_background(server):
    thread = threading.Thread(target=server.stop, daemon=True)
    thread.start()
    return thread


class TestStop:
    @pytest.mark.parametrize('sent', [HEAD % b'/', HEAD[:40] % b'/'])
    def test_request_that_still_arrives_is_refused_as_stopping(
        self, server, sent
    ):
        """Guards against a wrong cause, and a late one, at the exit."""
        with connect(server, sent) as sock:
            support.wait_until(lambda: server.count_active_requests() == 1)
            stopped_s = time.monotonic()
            stop_in_background(server)
            data = support.read_all(sock)
        assert time.monotonic() - stopped_s < FORCED_CLOSE_S - 1
        assert data.startswith(b'HTTP/1.1 503'), data
        error = support.read_error(data)
        assert error['code'] == 'stopping'
        assert error['verdict'] == 'not_run'
        assert error['retry_after_s'] == 1

    def test_slow_reader_gets_its_whole_answer(self, server):
        """Guards against an answer that is cut, or logged as departed."""
        with connect(server, (HEAD % b'/stream') + b'body') as sock:
            head = sock.recv(100)
            assert head.startswith(b'HTTP/1.1 200')
            thread = stop_in_background(server)
            time.sleep(FORCED_CLOSE_S + 1)
            data = head + support.read_all(sock)
        thread.join(TIMEOUT_S)
        assert data.count(b'x') == len(STREAM_PART)
        assert data.endswith(b'6\r\nFINISH\r\n0\r\n\r\n')

    @pytest.mark.parametrize('is_kept', [True, False])
    def test_request_just_before_the_close_is_answered(
        self, server, monkeypatch, is_kept
    ):
        """Guards against requests that the closing listener leaves unread."""
        sock = connect(server)
        if is_kept:
            sock.sendall((HEAD % b'/') + b'body')
            read_answer(sock)
            support.wait_until(lambda: server.count_active_requests() == 0)
        else:
            sock.close()
        end_selector = server._connections.stop
        late = []

        def send_after_the_last_poll():
            end_selector()
            one = sock if is_kept else connect(server)
            one.sendall((HEAD % b'/') + b'body')
            late.append(one)

        monkeypatch.setattr(
            server._connections, 'stop', send_after_the_last_poll
        )
        thread = stop_in_background(server)
        support.wait_until(lambda: late)
        with late[0]:
            data = support.read_all(late[0])
        thread.join(TIMEOUT_S)
        assert data.startswith(b'HTTP/1.1 200') and data.endswith(b'done')
        assert b'Connection: close' in data

    def test_stop_does_not_spin(self, server, monkeypatch):
        """Guards against a busy loop that slows the last answers down."""
        run = server._connections.run
        runs = []

        def count(interval):
            runs.append(interval)
            run(interval)

        monkeypatch.setattr(server._connections, 'run', count)
        server.stop()
        assert len(runs) <= 1

    def test_stop_waits_for_refusals(self, server):
        """Guards against refusals of an overload that the exit cuts."""
        server._refuse(DelayedConnection())
        server.stop()
        assert DelayedConnection.written

    def test_stop_request_ends_kept_connections_at_an_answer(self, server):
        """Guards against a next request on a connection cut by the exit."""
        with connect(server, (HEAD % b'/') + b'body') as sock:
            read_answer(sock)
            support.wait_until(lambda: server.count_active_requests() == 0)
            server.begin_closing()
            sock.sendall((HEAD % b'/') + b'body')
            data = support.read_all(sock)
        assert b'Connection: close' in data


class DelayedConnection:
    """Connection whose writes take a while."""

    written = False

    def __init__(self):
        self.wfile = self

    def set_io_deadline(self, deadline_s):
        pass

    def write(self, data):
        time.sleep(0.5)
        DelayedConnection.written = True

    def shut_down_and_drain(self):
        pass

    def close(self):
        pass
