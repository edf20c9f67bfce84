import socket
import threading

import pytest

from trefoilhinge.targets.abortable_connections import AbortableConnection
from trefoilhinge.targets.exceptions import TargetBroke, TargetNotReached
from trefoilhinge.targets.http_requests import send_request
from trefoilhinge.targets.streams import ResponseBody

TIMEOUT_S = 20
RESPONSE_HEADERS = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'


class Target:
    """Server that accepts one connection and sends what the test sets."""

    def __init__(self):
        self.listener = socket.create_server(('127.0.0.1', 0))
        self.listener.settimeout(TIMEOUT_S)
        self.address = f'127.0.0.1:{self.listener.getsockname()[1]}'
        self.client_socket = None

    def accept(self):
        self.client_socket, _ = self.listener.accept()
        self.client_socket.settimeout(TIMEOUT_S)
        return self.client_socket

    def close(self):
        if self.client_socket is not None:
            self.client_socket.close()
        self.listener.close()


@pytest.fixture
def target():
    target_server = Target()
    yield target_server
    target_server.close()


def open_response(target, connection, body=b'x', remaining_s=TIMEOUT_S):
    return send_request(
        'POST',
        target.address,
        '/v1/completions',
        body,
        {},
        remaining_s,
        connection,
    )


class TestAbortableConnection:
    def check_close_wakes_thread(self, target, connection, body):
        failures = []

        def wait():
            try:
                open_response(target, connection, body, remaining_s=600)
            except TargetBroke as failure:
                failures.append(failure)

        thread = threading.Thread(target=wait, daemon=True)
        thread.start()
        target.accept()
        connection.close()
        thread.join(TIMEOUT_S)
        assert not thread.is_alive()
        assert len(failures) == 1

    def test_close_wakes_a_thread_that_waits_for_headers(self, target):
        self.check_close_wakes_thread(target, AbortableConnection(), b'x')

    def test_close_wakes_a_thread_that_sends_a_body(self, target):
        self.check_close_wakes_thread(
            target, AbortableConnection(), b'x' * 50_000_000
        )

    def test_that_was_closed_sends_nothing(self, target):
        connection = AbortableConnection()
        connection.close()
        with pytest.raises(TargetNotReached):
            open_response(target, connection)

    def test_to_a_port_without_listener_sends_nothing(self, target):
        target.listener.close()
        with pytest.raises(TargetNotReached):
            open_response(target, AbortableConnection())


class TestResponseBody:
    def open(self, target, first=b''):
        connection = AbortableConnection()
        responses = []
        thread = threading.Thread(
            target=lambda: responses.append(open_response(target, connection)),
        )
        thread.start()
        target.accept().sendall(RESPONSE_HEADERS + first)
        thread.join(TIMEOUT_S)
        return ResponseBody(responses[0], connection)

    def test_reads_what_came_with_the_headers(self, target):
        body = self.open(target, b'3\r\nabc\r\n2\r\nde\r\n')
        assert body.read_available(is_readable=False) == b'abcde'
        assert not body.ended

    def test_does_not_wait_for_a_chunk_that_has_not_come(self, target):
        body = self.open(target, b'3\r\nabc\r\n')
        assert body.read_available(is_readable=False) == b'abc'
        assert body.read_available(is_readable=False) == b''

    def test_does_not_wait_for_an_incomplete_chunk_size(self, target):
        body = self.open(target, b'3\r\nabc\r\n1')
        assert body.read_available(is_readable=False) == b'abc'

    def test_ends_at_the_last_chunk(self, target):
        body = self.open(target, b'3\r\nabc\r\n0\r\n\r\n')
        assert body.read_available(is_readable=False) == b'abc'
        assert body.ended

    def test_that_is_cut_inside_a_chunk_is_broken(self, target):
        body = self.open(target, b'9\r\nabc')
        target.client_socket.close()
        with pytest.raises(TargetBroke):
            while True:
                body.read_available(is_readable=True)

    def test_that_stalls_inside_a_chunk_is_broken(self, target):
        body = self.open(target, b'9\r\nabc')
        assert body.read_available(is_readable=False) == b'abc'
        with pytest.raises(TargetBroke):
            body.read_available(is_readable=True)
