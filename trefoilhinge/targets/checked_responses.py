"""Responses whose head, chunk sizes and trailers must be complete.

The standard library takes the end of a connection for the end of any of them.
"""

import http.client
import io
from http import HTTPStatus
from typing import Any

import urllib3

MAXIMUM_INTERIM_RESPONSES = 16  # before the head of a response


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

        The standard library skips no interim response but 100.

        :raises http.client.HTTPException: there are more of them than
            ``MAXIMUM_INTERIM_RESPONSES``.
        """
        super().begin()
        interim_responses = 0
        while self.status < HTTPStatus.OK:
            interim_responses += 1
            if interim_responses > MAXIMUM_INTERIM_RESPONSES:
                raise http.client.HTTPException(
                    f'over {MAXIMUM_INTERIM_RESPONSES} interim responses'
                )
            # With headers, ``begin`` takes the head for read.
            self.headers = None  # type: ignore[assignment]
            super().begin()


class CheckedHttpConnection(urllib3.connection.HTTPConnection):
    """HTTP connection with checked responses."""

    response_class = CheckedResponse


class CheckedHttpsConnection(urllib3.connection.HTTPSConnection):
    """HTTPS connection with checked responses."""

    response_class = CheckedResponse


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
