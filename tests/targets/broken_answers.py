"""A server on a socket whose answers break off after a number of bytes."""

import contextlib
import socket
import struct

from attrs import define

from tests.targets.test_control_requests import run_server

RECEIVE_BYTES = 65_536
_RESET = struct.pack('ii', 1, 0)  # lingers for no time: closes with a reset


def close(connection):
    """Close a connection."""
    connection.close()


def half_close(connection):
    """Close a connection in one direction, until the client closes it."""
    connection.shutdown(socket.SHUT_WR)
    fall_silent(connection)


def reset(connection):
    """Reset a connection."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    connection.close()


def fall_silent(connection):
    """Keep a connection until the client closes it."""
    while connection.recv(RECEIVE_BYTES):
        pass


@define
class BrokenAnswers:
    """Answers each request with a part of the same bytes, then ends.

    :ivar content: the whole answer.
    :ivar cut: number of bytes that are sent of it.
    :ivar end: what is done with the connection after them.
    :ivar first: whole answer to the first request on each connection; empty
        if the first one is broken.
    """

    content: bytes
    end: object
    cut: int = 0
    first: bytes = b''

    def handle(self, connection):
        """Answer the requests on one connection."""
        if self.first:
            _receive_request(connection)
            connection.sendall(self.first)
        _receive_request(connection)
        connection.sendall(self.content[: self.cut])
        self.end(connection)


@contextlib.contextmanager
def serve_broken(content, end=close, first=b''):
    """Serve broken answers; yield them and the address."""
    answers = BrokenAnswers(content, end, first=first)
    with run_server(answers.handle) as address:
        yield answers, address


def _receive_request(connection):
    received = b''
    while b'\r\n\r\n' not in received:
        data = connection.recv(RECEIVE_BYTES)
        if not data:
            raise ConnectionResetError('the client closed the connection')
        received += data
    head, _, body = received.partition(b'\r\n\r\n')
    length = 0
    for line in head.lower().split(b'\r\n'):
        if line.startswith(b'content-length:'):
            length = int(line.partition(b':')[2])
    while len(body) < length:
        body += connection.recv(RECEIVE_BYTES)
