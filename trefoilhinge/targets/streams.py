"""Non-blocking readers of response bodies and of event streams."""

import http.client

import urllib3
from attrs import define, field

from trefoilhinge.core.sse import StreamEvent, parse_event
from trefoilhinge.targets.abortable_connections import AbortableConnection
from trefoilhinge.targets.exceptions import TargetBroke
from trefoilhinge.targets.http_requests import CONNECTION_ERRORS

READ_SIZE_BYTES = 65536
MAXIMUM_EVENT_BYTES = 4_194_304
READ_ERRORS = (*CONNECTION_ERRORS, http.client.HTTPException)
_SEPARATOR = b'\n\n'


@define(eq=False)
class ResponseBody:
    """Body of a response, read without waiting for bytes yet to arrive.

    :ivar ended: whether the body was read to its end.
    """

    _response: urllib3.BaseHTTPResponse
    _abortable_connection: AbortableConnection
    ended: bool = False

    def __attrs_post_init__(self) -> None:
        """Make the connection non-blocking, so that it can be polled."""
        self._abortable_connection.set_non_blocking()

    def fileno(self) -> int:
        """Return the file descriptor to poll."""
        return self._abortable_connection.fileno()

    def close(self) -> None:
        """Close the connection and discard unread bytes."""
        self._abortable_connection.close()
        self._response.close()

    def hold(self, count: int) -> None:
        """Count bytes that are held of the answer.

        :raises TargetBroke: it was given up in favour of others.
        """
        self._abortable_connection.hold(count)

    def read_available(self, is_readable: bool) -> bytes:
        """Return the bytes received so far.

        :param is_readable: whether polling reported the file descriptor as
            readable.
        :raises TargetBroke: the connection broke.
        """
        chunks: list[bytes] = []
        try:
            while is_readable or self._has_available():
                is_readable = False
                chunks.append(self._read_chunk())
        except READ_ERRORS as error:
            raise TargetBroke(str(error)) from error
        return b''.join(chunks)

    def _read_chunk(self) -> bytes:
        chunk = self._response.read1(READ_SIZE_BYTES)
        response = self._abortable_connection.response
        self.ended = not chunk or response is None or response.isclosed()
        return chunk

    def _has_available(self) -> bool:
        response = self._abortable_connection.response
        if self.ended or response is None:
            return False
        return response.has_available()


@define(eq=False)
class EngineStream:
    """Stream of an engine's events on one connection."""

    _body: ResponseBody
    _incomplete: bytearray = field(factory=bytearray)

    def fileno(self) -> int:
        """Return the file descriptor to poll."""
        return self._body.fileno()

    def close(self) -> None:
        """Close the connection."""
        self._body.close()

    def read_available(self, is_readable: bool) -> tuple[StreamEvent, ...]:
        """Return the events received so far.

        :param is_readable: whether polling reported the file descriptor as
            readable.
        :raises TargetBroke: the connection broke, the stream has ended, an
            event exceeds ``MAXIMUM_EVENT_BYTES``, or the stream was given up in
            favour of others.
        """
        chunk = self._body.read_available(is_readable)
        if self._body.ended and not chunk:
            raise TargetBroke('the stream ended')
        blocks = self._take_blocks(chunk)
        if len(self._incomplete) > MAXIMUM_EVENT_BYTES:
            raise TargetBroke(
                f'an event of at least {len(self._incomplete)} bytes exceeds '
                f'the maximum of {MAXIMUM_EVENT_BYTES} bytes',
            )
        events = (parse_event(block) for block in blocks)
        return tuple(event for event in events if event is not None)

    def _take_blocks(self, chunk: bytes) -> list[bytes]:
        """Return the blocks that received bytes complete.

        The rest grows in place, as copies of a long event would take more
        memory than is counted.
        """
        # A separator may have begun with the last byte of before.
        searched = max(0, len(self._incomplete) - 1)
        self._incomplete += chunk
        self._body.hold(len(chunk))
        end = self._incomplete.rfind(_SEPARATOR, searched)
        if end < 0:
            return []
        blocks = bytes(self._incomplete[:end]).split(_SEPARATOR)
        end += len(_SEPARATOR)
        del self._incomplete[:end]  # noqa: WPS420
        self._body.hold(-end)
        return blocks
