"""A server that answers while the request is being sent, and then ends."""

import contextlib
import time

from tests.targets.broken_answers import RECEIVE_BYTES, reset
from tests.targets.test_control_requests import run_server

TYPE = b'Content-Type: application/json\r\n'
PART = b'{"state": "running"}'  # looks whole
UNFRAMED = b'HTTP/1.1 200 OK\r\n' + TYPE + b'\r\n' + PART
WHOLE = (
    b'HTTP/1.1 413 Too Long\r\n'
    + TYPE
    + b'Content-Length: %d\r\n\r\n' % len(PART)
    + PART
)


@contextlib.contextmanager
def serve_early(content, delay_s=0.0):
    """Answer at once, and reset the connection during the upload.

    :param delay_s: seconds between the answer and the reset.
    :return: the address of the server.
    """

    def handle(connection):
        connection.recv(RECEIVE_BYTES)
        connection.sendall(content)
        time.sleep(delay_s)
        reset(connection)

    with run_server(handle) as address:
        yield address
