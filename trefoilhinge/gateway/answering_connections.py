"""Answers to a caller on its HTTP/1.1 connection."""

import asyncio
import json
from collections.abc import Callable

import h11
from attrs import define, field

from trefoilhinge.dispatch.documents import CallerLimits
from trefoilhinge.exceptions import TrefoilhingeError
from trefoilhinge.gateway.held_memory import HeldMemory, ShedHolder
from trefoilhinge.gateway.refusals import Refusal
from trefoilhinge.gateway.tcp import (
    CALLER_USER_TIMEOUT_MS,
    CountingReader,
    reset_tcp_connection,
)
from trefoilhinge.platform.headers import encode_refusal_headers

# Of a stream reader, whose limit is half of it.
READ_AHEAD_BYTES = 131_072
# A caller that takes nothing of its answer for this long is given up.
UNREAD_TIMEOUT_S = CALLER_USER_TIMEOUT_MS / 1000

_VERSIONS_WITHOUT_CHUNKS = frozenset((b'1.0', b'0.9'))

_UNREAD_STATES = frozenset((h11.IDLE, h11.SEND_BODY))
_UNANSWERED_STATES = frozenset((h11.IDLE, h11.SEND_RESPONSE, h11.SEND_BODY))

RawHeaderList = list[tuple[bytes, bytes]]


class CallerGone(TrefoilhingeError):
    """The caller closed its connection."""


@define(eq=False)
class AnsweringConnection:
    """The side of a caller's connection that sends answers."""

    _reader: CountingReader
    _writer: asyncio.StreamWriter
    _limits: Callable[[], CallerLimits]
    _is_stopping: Callable[[], bool]
    _memory: HeldMemory = field(factory=HeldMemory)
    _parser: h11.Connection = field(init=False)
    _holder: ShedHolder = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the parser with the limits in force."""
        self._holder = ShedHolder(shed=self._shed)
        self._parser = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self._limits().header_bytes,
        )

    @property
    def is_shed(self) -> bool:
        """Return whether the caller has to release what is held for it."""
        return self._holder.is_shed

    @property
    def is_answered(self) -> bool:
        """Return whether a whole answer was sent to the request."""
        return self._parser.our_state not in _UNANSWERED_STATES

    def hold(self, count: int) -> None:
        """Count bytes that are held for the call until it ends.

        :param count: bytes; negative if they were released.
        """
        self._memory.add(self._holder, count)

    def set_organisation(self, name: str) -> None:
        """Count what is held for an organisation."""
        self._memory.set_organisation(self._holder, name)

    async def send_complete(
        self, status: int, headers: RawHeaderList, content: bytes
    ) -> None:
        """Send an answer whose content is complete.

        It is not awaited that the caller reads it: its target is done, and its
        deadline no longer matters. ``flush`` awaits that.
        """
        length = (b'Content-Length', b'%d' % len(content))
        self._send_head(status, [*headers, length])
        self._write(h11.Data(data=content))
        self._write(h11.EndOfMessage())

    async def refuse(self, refusal: Refusal, request_id: str) -> None:
        """Send a refusal as an answer with a JSON body."""
        await self.send_complete(
            refusal.status,
            encode_refusal_headers(request_id, refusal.retry_after_s),
            encode_refusal_body(refusal),
        )

    def start_answer(self, status: int, headers: RawHeaderList) -> None:
        """Send the head of an answer whose length is not known yet.

        A ``Content-Length`` of the target is dropped.
        """
        kept = [
            (name, value)
            for name, value in headers
            if name.lower() != b'content-length'
        ]
        self._send_head(status, kept)

    def write(self, content: bytes) -> None:
        """Write a chunk of the content, which counts as sent from then on."""
        self._write(h11.Data(data=content))

    async def drain(self) -> None:
        """Wait until the caller has taken most of what was written."""
        unread_bytes = self._writer.transport.get_write_buffer_size()
        if not unread_bytes:
            return
        # What the target sends meanwhile is read ahead up to a limit.
        unread_bytes += READ_AHEAD_BYTES
        self.hold(unread_bytes)
        await self._writer.drain()
        self.hold(-unread_bytes)

    async def finish(self) -> None:
        """End an answer that is complete, as ``send_complete`` does."""
        self._write(h11.EndOfMessage())

    async def flush(self) -> None:
        """Wait until the kernel has taken all that was sent.

        An exit of the process would discard the rest.

        :raises CallerGone: the caller took nothing for ``UNREAD_TIMEOUT_S``.
        """
        transport = self._writer.transport
        transport.set_write_buffer_limits(high=0)
        try:
            while not transport.is_closing():
                unsent_bytes = transport.get_write_buffer_size()
                if await self._drain_within(UNREAD_TIMEOUT_S):
                    return
                if transport.get_write_buffer_size() >= unsent_bytes:
                    transport.abort()
                    raise CallerGone
        finally:
            transport.set_write_buffer_limits()

    async def _drain_within(self, timeout_s: float) -> bool:
        """Return whether the write buffer fell below its limit in time."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._writer.drain()
        except TimeoutError:
            return False
        return True

    def abort(self) -> None:
        """Close the connection so that the caller sees a truncated answer.

        The answer to a caller without chunks ends with its connection, and
        only a reset shows that it is truncated.
        """
        if self._parser.their_http_version in _VERSIONS_WITHOUT_CHUNKS:
            reset_tcp_connection(self._writer.transport)
        else:
            self._writer.close()

    def _shed(self) -> None:
        """Release what is held for the caller."""
        raise NotImplementedError

    def _has_further_input(self) -> bool:
        """Return whether anything arrived after the request."""
        raise NotImplementedError

    def _send_head(self, status: int, headers: RawHeaderList) -> None:
        is_last = self._is_stopping() and not self._has_further_input()
        is_unread = self._parser.their_state in _UNREAD_STATES
        if is_last or is_unread:
            headers = [*headers, (b'Connection', b'close')]
        self._write(h11.Response(status_code=status, headers=headers))

    def _write(self, event: h11.Event) -> None:
        data = self._parser.send(event)
        if data:
            self._writer.write(data)


def encode_refusal_body(refusal: Refusal) -> bytes:
    """Return the JSON body of a refusal."""
    fields = {
        'code': refusal.code,
        'verdict': refusal.verdict,
        'detail': refusal.detail,
    }
    return json.dumps({'error': fields}).encode()
