"""Parsing of the requests that arrive on a connection."""

import re

import h11
from attrs import define, field

from trefoilhinge.chunked_bodies import ChunkedBody, ChunksMalformed

# Ends a head for h11, which accepts bare line feeds.
_HEAD_END = re.compile(b'\n\r?\n')
_HEAD_END_OVERLAP = 2  # bytes of it that an earlier piece may have ended with
_FIRST_PRINTABLE = 0x21
_LAST_CHUNK = b'0\r\n\r\n'


@define(eq=False)
class RequestInput:
    """What was received on a connection, and the requests in it.

    h11 is given one head, or body with a length, at a time. What follows is
    kept here, so that a body in chunks never reaches it.

    :ivar head_bytes: length of the head of the current request.
    :ivar body_bytes: length of its content so far.
    :ivar unread_bytes: what is left of its content, zero if it has no length.
    """

    _parser: h11.Connection
    _maximum_head_bytes: int
    head_bytes: int = 0
    body_bytes: int = 0
    unread_bytes: int = 0
    _received: bytearray = field(factory=bytearray)
    _searched_bytes: int = 0
    _chunked: ChunkedBody | None = None

    @property
    def waiting_bytes(self) -> int:
        """Return the number of bytes that were not parsed yet."""
        return len(self._received)

    def drop(self) -> None:
        """Drop what was received and not parsed."""
        self._received = bytearray()
        self._chunked = None

    def receive(self, data: bytes) -> None:
        """Take what was received; nothing if the connection ended."""
        self._received += data
        if not data:
            self._pass_on(len(self._received))
            self._parser.receive_data(b'')

    def next_event(self) -> object:
        """Return the next event of a request, as h11 does.

        :raises h11.RemoteProtocolError: the request is malformed.
        """
        if self._parser.their_state is h11.IDLE:
            return self._parse_head()
        if self._chunked is not None and not self._chunked.is_ended:
            return self._parse_chunks(self._chunked)
        if self.unread_bytes:
            count = min(self.unread_bytes, len(self._received))
            self.unread_bytes -= count
            self.body_bytes += count
            self._pass_on(count)
        return self._parser.next_event()

    def _parse_head(self) -> object:
        if self._has_head():
            self._searched_bytes = 0
        elif len(self._received) > self._maximum_head_bytes:
            self._pass_on(len(self._received))
        event = self._parser.next_event()
        if isinstance(event, h11.Request):
            self._begin_body(event)
        return event

    def _has_head(self) -> bool:
        """Return whether a head is complete, and give it to h11."""
        if self._received and self._received[0] < _FIRST_PRINTABLE:
            # No request begins so; h11 refuses it at once.
            self._pass_on(len(self._received))
            return True
        found = _HEAD_END.search(self._received, self._searched_bytes)
        if found is None:
            self._searched_bytes = max(
                0, len(self._received) - _HEAD_END_OVERLAP
            )
            return False
        self.head_bytes = found.end()
        self._pass_on(self.head_bytes)
        return True

    def _begin_body(self, request: h11.Request) -> None:
        self.body_bytes = 0
        self.unread_bytes = 0
        self._chunked = None
        for name, value in request.headers:
            if name == b'transfer-encoding':
                self._chunked = ChunkedBody(self._maximum_head_bytes)
            elif name == b'content-length':
                self.unread_bytes = int(value)

    def _parse_chunks(self, body: ChunkedBody) -> object:
        if not self._received:
            return self._parser.next_event()
        received = bytes(self._received)
        self._received.clear()
        try:
            content, rest = body.decode(received)
        except ChunksMalformed as problem:
            raise h11.RemoteProtocolError(
                str(problem),
                error_status_hint=431 if problem.is_too_long else 400,
            ) from None
        if body.is_ended:
            # h11 has seen nothing of the body, and is told of its end only.
            self._received += rest
            self._parser.receive_data(_LAST_CHUNK)
        self.body_bytes = body.content_bytes
        if content:
            return h11.Data(data=content)
        return self._parser.next_event()

    def _pass_on(self, count: int) -> None:
        """Give h11 the first bytes that were received."""
        if count:
            self._parser.receive_data(bytes(self._received[:count]))
            del self._received[:count]
