"""Tests of the bound on answers that a process holds."""

import pytest

from tests.targets.early_answers import PART
from tests.targets.test_control_requests import run_server
from trefoilhinge.dispatch.held_bytes import HeldBytes, HeldLimits
from trefoilhinge.targets.abortable_connections import AbortableConnection
from trefoilhinge.targets.exceptions import TargetBroke
from trefoilhinge.targets.held_answers import AnswerTable
from trefoilhinge.targets.http_requests import read_content, send_request

LIMIT_BYTES = 100


@pytest.fixture
def answers():
    return AnswerTable(HeldBytes(HeldLimits(LIMIT_BYTES)))


def make_connection(answers):
    connection = AbortableConnection()
    connection.bound(answers)
    return connection


class TestBound:
    def test_answer_that_holds_most_is_given_up(self, answers):
        small, large = make_connection(answers), make_connection(answers)
        small.hold(30)
        large.hold(60)
        small.hold(20)
        small.hold(0)
        assert large.closed
        with pytest.raises(TargetBroke):
            large.hold(0)

    def test_what_closed_connections_held_is_released(self, answers):
        """Guards against a count that grows until all answers are given up."""
        for _ in range(5):
            connection = make_connection(answers)
            connection.hold(LIMIT_BYTES)
            connection.close()
            connection.close()
        make_connection(answers).hold(LIMIT_BYTES)

    def test_answer_that_was_given_up_is_not_taken_for_whole(self, answers):
        """Guards against a part of an answer that a caller gets as the whole.

        The connection is shut down, which reads like the end of a body without
        a length.
        """

        def handle(connection):
            connection.recv(65_536)
            connection.sendall(b'HTTP/1.1 200 OK\r\n\r\n' + PART)
            connection.recv(1)

        with run_server(handle) as address:
            connection = make_connection(answers)
            response = send_request(
                'GET', address, '/', b'', {}, 5.0, connection
            )
            connection.hold(60)
            make_connection(answers).hold(50)
            assert connection.closed
            with pytest.raises(TargetBroke):
                read_content(
                    response, float('inf'), LIMIT_BYTES, connection.hold
                )
