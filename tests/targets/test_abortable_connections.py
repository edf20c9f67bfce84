import socket
import threading

import pytest

from trefoilhinge.targets.abortable_connections import Link
from trefoilhinge.targets.exceptions import TargetBroke, TargetNotReached
from trefoilhinge.targets.http_requests import open_request
from trefoilhinge.targets.streams import ResponseBytes

PATIENCE_S = 20
HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'


class Target:
    """Accepts one connection and sends what the test says."""

    def __init__(self):
        self.listener = socket.create_server(('127.0.0.1', 0))
        self.listener.settimeout(PATIENCE_S)
        self.address = f'127.0.0.1:{self.listener.getsockname()[1]}'
        self.conn = None

    def accept(self):
        self.conn, _ = self.listener.accept()
        self.conn.settimeout(PATIENCE_S)
        return self.conn

    def close(self):
        if self.conn is not None:
            self.conn.close()
        self.listener.close()


@pytest.fixture
def target():
    one = Target()
    yield one
    one.close()


def open_answer(target, link, body=b'x', remaining_s=PATIENCE_S):
    return open_request(
        'POST', target.address, '/v1/completions', body, {}, remaining_s, link
    )


class TestLink:
    def check_wakes(self, target, link, body):
        failures = []

        def wait():
            try:
                open_answer(target, link, body, remaining_s=600)
            except TargetBroke as failure:
                failures.append(failure)

        thread = threading.Thread(target=wait, daemon=True)
        thread.start()
        target.accept()
        link.close()
        thread.join(PATIENCE_S)
        assert not thread.is_alive()
        assert len(failures) == 1

    def test_wakes_a_thread_that_waits_for_headers(self, target):
        self.check_wakes(target, Link(), b'x')

    def test_wakes_a_thread_whose_body_is_not_read(self, target):
        self.check_wakes(target, Link(), b'x' * 50_000_000)

    def test_that_was_closed_sends_nothing(self, target):
        link = Link()
        link.close()
        with pytest.raises(TargetNotReached):
            open_answer(target, link)

    def test_of_a_port_without_listener_sent_nothing(self, target):
        target.listener.close()
        with pytest.raises(TargetNotReached):
            open_answer(target, Link())


class TestResponseBytes:
    def open(self, target, first=b''):
        link = Link()
        answers = []
        thread = threading.Thread(
            target=lambda: answers.append(open_answer(target, link)),
        )
        thread.start()
        target.accept().sendall(HEAD + first)
        thread.join(PATIENCE_S)
        return ResponseBytes(answers[0], link)

    def test_reads_what_came_with_the_headers(self, target):
        body = self.open(target, b'3\r\nabc\r\n2\r\nde\r\n')
        assert body.read_ready(signalled=False) == b'abcde'
        assert not body.ended

    def test_does_not_wait_for_a_chunk_that_has_not_come(self, target):
        body = self.open(target, b'3\r\nabc\r\n')
        assert body.read_ready(signalled=False) == b'abc'
        assert body.read_ready(signalled=False) == b''

    def test_does_not_wait_for_half_a_size(self, target):
        body = self.open(target, b'3\r\nabc\r\n1')
        assert body.read_ready(signalled=False) == b'abc'

    def test_ends_at_the_last_chunk(self, target):
        body = self.open(target, b'3\r\nabc\r\n0\r\n\r\n')
        assert body.read_ready(signalled=False) == b'abc'
        assert body.ended

    def test_that_is_cut_inside_a_chunk_is_broken(self, target):
        body = self.open(target, b'9\r\nabc')
        target.conn.close()
        with pytest.raises(TargetBroke):
            while True:
                body.read_ready(signalled=True)

    def test_that_stops_inside_a_chunk_is_broken(self, target):
        body = self.open(target, b'9\r\nabc')
        assert body.read_ready(signalled=False) == b'abc'
        with pytest.raises(TargetBroke):
            body.read_ready(signalled=True)
