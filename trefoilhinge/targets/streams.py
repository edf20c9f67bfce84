"""Streams of engines, read without a thread of their own."""

import http.client

import urllib3
from attrs import define

from trefoilhinge.core.sse import StreamEvent, parse_event
from trefoilhinge.targets.abortable_connections import Link
from trefoilhinge.targets.exceptions import TargetBroke
from trefoilhinge.targets.http_requests import BROKEN

READ_BYTES = 65536
MAXIMUM_EVENT_BYTES = 4_194_304
CUT = (*BROKEN, http.client.HTTPException)
_SEPARATOR = b'\n\n'


@define(eq=False)
class ResponseBytes:
    """Bytes of an answer, as they come, without waiting for more.

    :ivar ended: whether the answer was read to its end.
    """

    _response: urllib3.BaseHTTPResponse
    _link: Link
    ended: bool = False

    def __attrs_post_init__(self) -> None:
        """Wait for this answer together with all else from now on."""
        self._link.stop_blocking()

    def fileno(self) -> int:
        """Return the descriptor to wait on."""
        return self._link.fileno()

    def close(self) -> None:
        """Break the connection and drop what it still holds."""
        self._link.close()
        self._response.close()

    def read_ready(self, signalled: bool) -> bytes:
        """Return what has arrived.

        :param signalled: whether the descriptor was seen to be readable.
        :raises TargetBroke: the answer was cut.
        """
        pieces: list[bytes] = []
        try:
            while signalled or self._has_ready():
                signalled = False
                pieces.append(self._read_piece())
        except CUT as error:
            raise TargetBroke(str(error)) from error
        return b''.join(pieces)

    def _read_piece(self) -> bytes:
        piece = self._response.read1(READ_BYTES)
        answer = self._link.answer
        self.ended = not piece or answer is None or answer.isclosed()
        return piece

    def _has_ready(self) -> bool:
        answer = self._link.answer
        if self.ended or answer is None:
            return False
        return answer.has_ready()


@define(eq=False)
class EngineStream:
    """Events of one engine's stream on one connection."""

    _bytes: ResponseBytes
    _pending: bytes = b''

    def fileno(self) -> int:
        """Return the descriptor to wait on."""
        return self._bytes.fileno()

    def close(self) -> None:
        """Break the connection."""
        self._bytes.close()

    def read_ready(self, signalled: bool) -> tuple[StreamEvent, ...]:
        """Return the events that have arrived.

        :param signalled: whether the descriptor was seen to be readable.
        :raises TargetBroke: the stream was cut or has ended.
        """
        piece = self._bytes.read_ready(signalled)
        if self._bytes.ended and not piece:
            raise TargetBroke('the stream ended')
        blocks = (self._pending + piece).split(_SEPARATOR)
        self._pending = blocks.pop()
        if len(self._pending) > MAXIMUM_EVENT_BYTES:
            raise TargetBroke('an event is longer than is taken')
        events = (parse_event(block) for block in blocks)
        return tuple(event for event in events if event is not None)
