"""Responses whose head, chunk sizes and trailers must be complete.

The standard library takes the end of a connection for the end of any of them.
"""

import email.errors
import email.message
import http.client
import io
import re
from http import HTTPStatus
from typing import Any

import urllib3

MAXIMUM_STATUS = 599
MAXIMUM_INTERIM_RESPONSES = 16  # before the head of a response
_LENGTH_PATTERN = re.compile('[0-9]+(?:[ \t]*,[ \t]*[0-9]+)*')
# Of lines that are no headers, after which no further ones may be read.
_LINE_DEFECTS = (
    email.errors.FirstHeaderLineIsContinuationDefect,
    email.errors.MisplacedEnvelopeHeaderDefect,
    email.errors.MissingHeaderBodySeparatorDefect,
)


class LineReader(io.BufferedReader):
    """Reader of which each line is complete."""

    def readline(self, size: int | None = -1, /) -> bytes:
        """Read a line.

        :param size: maximum length, after which the line may go on.
        :raises http.client.RemoteDisconnected: the connection ended before
            the line did.
        """
        line = super().readline(size)
        is_limited = size is not None and len(line) == size
        if not line.endswith(b'\n') and not is_limited:
            raise http.client.RemoteDisconnected(
                f'connection closed {len(line)} bytes into a line'
            )
        return line


class CheckedResponse(http.client.HTTPResponse):
    """Response that fails if it ends within its head or its framing."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        """Read through a ``LineReader``."""
        super().__init__(*arguments, **options)
        self.fp = LineReader(self.fp.detach())

    def begin(self) -> None:
        """Read the head, and the interim responses before it.

        The standard library skips no interim response but 100, and leaves a
        length that it cannot read to the end of the connection.

        :raises http.client.HTTPException: there are more interim responses
            than ``MAXIMUM_INTERIM_RESPONSES``, or the head cannot be read.
        """
        super().begin()
        interim_responses = 0
        self._check_status()
        while self.status < HTTPStatus.OK:
            interim_responses += 1
            if interim_responses > MAXIMUM_INTERIM_RESPONSES:
                raise http.client.HTTPException(
                    f'over {MAXIMUM_INTERIM_RESPONSES} interim responses'
                )
            # With headers, ``begin`` takes the head for read.
            self.headers = None  # type: ignore[assignment]
            super().begin()
            self._check_status()
        _check_head(self.headers)

    def _check_status(self) -> None:
        if self.status > MAXIMUM_STATUS:
            raise http.client.HTTPException(f'unknown status {self.status}')


class CheckedHttpConnection(urllib3.connection.HTTPConnection):
    """HTTP connection with checked responses.

    urllib3 reads the response if the server ends the connection while the
    request is sent. The error of a reset is reported to that send, and a body
    that ends with the connection then reads as complete wherever it was cut.
    """

    response_class = CheckedResponse

    def __init__(self, *arguments: Any, **options: Any) -> None:
        """Create a connection on which nothing was sent."""
        super().__init__(*arguments, **options)
        self._is_send_broken = False

    def putrequest(self, *arguments: Any, **options: Any) -> None:
        """Begin a request."""
        self._is_send_broken = False
        super().putrequest(*arguments, **options)

    def send(self, data: Any) -> None:
        """Send a part of a request."""
        try:
            super().send(data)
        except OSError:
            self._is_send_broken = True
            raise

    def getresponse(self) -> urllib3.HTTPResponse:  # type: ignore[override]
        """Return the response.

        :raises http.client.HTTPException: its body ends with the connection,
            which broke while the request was sent.
        """
        response = super().getresponse()
        has_end = response.chunked or response.length_remaining is not None
        if self._is_send_broken and not has_end:
            response.close()
            raise http.client.HTTPException(
                'response without a length to a request that was not sent whole'
            )
        return response


class CheckedHttpsConnection(
    CheckedHttpConnection, urllib3.connection.HTTPSConnection
):
    """HTTPS connection with checked responses."""


class CheckedHttpPool(urllib3.HTTPConnectionPool):
    """Pool of HTTP connections with checked responses."""

    ConnectionCls = CheckedHttpConnection


class CheckedHttpsPool(urllib3.HTTPSConnectionPool):
    """Pool of HTTPS connections with checked responses."""

    ConnectionCls = CheckedHttpsConnection


class CheckedPoolManager(urllib3.PoolManager):
    """Pools of connections with checked responses, by host."""

    def __init__(self, **options: Any) -> None:
        """Use the pools of this module."""
        super().__init__(**options)
        self.pool_classes_by_scheme = {
            'http': CheckedHttpPool,
            'https': CheckedHttpsPool,
        }


def _check_head(headers: email.message.Message) -> None:
    """Check that each line is a header, and that the length can be read."""
    for defect in headers.defects:
        if isinstance(defect, _LINE_DEFECTS):
            raise http.client.HTTPException(
                f'head has a line that is no header: {defect!r}'
            )
    for length in headers.get_all('Content-Length', ()):
        if not _LENGTH_PATTERN.fullmatch(length.strip()):
            raise http.client.HTTPException(f'invalid length: {length!r}')
    for coding in headers.get_all('Transfer-Encoding', ()):
        if coding.strip().lower() != 'chunked':
            raise http.client.HTTPException(
                f'unknown transfer coding: {coding!r}'
            )
