"""HTTP connections to targets, one for each attempt of a call."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

import h11
from attrs import define, field

from trefoilhinge.dispatch.calls import AnswerHead, Attempt, Call
from trefoilhinge.dispatch.settings import Address, parse_address
from trefoilhinge.exceptions import TrefoilhingeError
from trefoilhinge.gateway.tcp import READ_BYTES, open_tcp_connection
from trefoilhinge.platform.headers import encode_request_headers
from trefoilhinge.platform.responses import decode_response_head

MINIMUM_PROGRESS_BYTES = 1_024  # of an event or a body that is not complete
MAXIMUM_BODY_BYTES = 8_388_608  # of an answer that is kept until it is whole
MAXIMUM_INTERIM_RESPONSES = 16  # before the head of an answer
MAXIMUM_WRITE_BYTES = 65_536  # of a request, at once
CONNECT_TIMEOUT_S = 0.3  # a reachable target accepts in a few milliseconds


class TargetUnreachable(TrefoilhingeError):
    """No connection could be opened, so nothing was sent."""


class AnswerBroken(TrefoilhingeError):
    """The answer is incomplete or invalid; the call may have run."""


def _ignore(count: int) -> None:
    """Count nothing."""


@define
class TargetConnection:
    """A connection that carries a single call.

    Connections are not pooled: a new one cannot deliver a late answer to an
    earlier call and has not become unresponsive. So a call that may run only
    once is never in doubt because of an earlier use of its connection.

    :ivar address: ``host:port`` of the target.
    :ivar silence_timeout_s: seconds without data, beyond the prefill backlog,
        after which the target is probed.
    :ivar sent_s: monotonic seconds at which the call was sent.
    :ivar last_progress_s: monotonic seconds at which the answer last made
        progress, or at which the call was sent.
    :ivar waits_for_caller: whether nothing is read because the caller has not
        taken what was read before.
    :ivar find_backlog_s: returns seconds in which the target prefills earlier
        prompts and sends nothing.
    :ivar is_paced: whether a long body is sent only as the target takes it.
    :ivar hold: called with the number of bytes of a content that are kept.
    """

    address: str
    _reader: asyncio.StreamReader
    _writer: asyncio.StreamWriter
    silence_timeout_s: float = 0
    sent_s: float = 0
    last_progress_s: float = 0
    waits_for_caller: bool = False
    find_backlog_s: Callable[[], float] = float
    hold: Callable[[int], None] = _ignore
    is_paced: bool = False
    _parser: h11.Connection = field(factory=lambda: h11.Connection(h11.CLIENT))
    _pending_bytes: int = 0
    _feeding: asyncio.Task[None] | None = None

    def send(self, call: Call, attempt: Attempt) -> None:
        """Send the request, head and body."""
        request = h11.Request(
            method=call.head.method,
            target=call.head.target,
            headers=encode_request_headers(call, attempt),
        )
        head = self._parser.send(request) or b''
        self.send_body(call.body, head)

    async def offer(
        self, target: str, headers: list[tuple[bytes, bytes]]
    ) -> None:
        """Send the head of a POST and wait until its body is asked for.

        :param headers: headers that include the length of the body.
        :raises AnswerBroken: the body is not wanted.
        """
        expect = (b'Expect', b'100-continue')
        request = h11.Request(
            method=b'POST', target=target, headers=[*headers, expect]
        )
        self._writer.write(self._parser.send(request) or b'')
        event = await self._read_event()
        if not isinstance(event, h11.InformationalResponse):
            raise AnswerBroken('body was refused')

    def send_body(self, body: bytes, head: bytes = b'') -> None:
        """Send the body of the request.

        :param head: bytes that are sent before it.
        """
        self.sent_s = asyncio.get_running_loop().time()
        self.last_progress_s = self.sent_s
        if self.is_paced and len(body) > MAXIMUM_WRITE_BYTES:
            self._writer.write(head)
            self._feeding = asyncio.ensure_future(self._feed(body))
            return
        parts = [head]
        if body:
            parts.append(self._parser.send(h11.Data(data=body)) or b'')
        parts.append(self._parser.send(h11.EndOfMessage()) or b'')
        self._writer.write(b''.join(parts))

    def record_progress(self) -> None:
        """Record that a part of the answer is complete.

        A few bytes alone are no progress: a target that has stalled may send
        one now and then.
        """
        self.last_progress_s = asyncio.get_running_loop().time()
        self._pending_bytes = 0

    async def read_head(self, request_id: str) -> AnswerHead:
        """Read the head of the answer.

        :param request_id: identifier that the answer must repeat, if any.
        :raises AnswerBroken: there is none, or it belongs to another call.
        """
        event = await self._read_event()
        interim_responses = 0
        while isinstance(event, h11.InformationalResponse):
            interim_responses += 1
            if interim_responses > MAXIMUM_INTERIM_RESPONSES:
                raise AnswerBroken(
                    f'over {MAXIMUM_INTERIM_RESPONSES} interim responses'
                )
            event = await self._read_event()
        if not isinstance(event, h11.Response):
            raise AnswerBroken('answer has no response head')
        self.record_progress()
        head = decode_response_head(
            event.status_code, event.headers.raw_items()
        )
        if head.request_id and head.request_id != request_id:
            raise AnswerBroken(
                'answer has the request identifier of another call'
            )
        return head

    async def read_content(self) -> AsyncIterator[bytes]:
        """Yield the content as it arrives, to its end.

        :raises AnswerBroken: the connection ended before the content did.
        """
        while True:
            event = await self._read_event()
            if isinstance(event, h11.EndOfMessage):
                return
            if isinstance(event, h11.Data):
                yield bytes(event.data)

    async def read_body(self) -> bytes:
        """Read the complete content.

        :raises AnswerBroken: the connection ended before the content did, or
            the content is longer than ``MAXIMUM_BODY_BYTES``.
        """
        content = bytearray()
        async for chunk in self.read_content():
            content += chunk
            self.hold(len(chunk))
            if len(content) > MAXIMUM_BODY_BYTES:
                raise AnswerBroken(
                    f'content is longer than {MAXIMUM_BODY_BYTES} bytes'
                )
        return bytes(content)

    async def _feed(self, body: bytes) -> None:
        """Send a long body in parts, as the target takes them.

        All of it in the buffer of the connection would be a second copy. The
        loss of the connection is noticed where the answer is read.
        """
        parts = memoryview(body)
        with contextlib.suppress(OSError, h11.LocalProtocolError):
            for begin in range(0, len(body), MAXIMUM_WRITE_BYTES):
                part = bytes(parts[begin : begin + MAXIMUM_WRITE_BYTES])
                self._writer.write(
                    self._parser.send(h11.Data(data=part)) or b''
                )
                await self._writer.drain()
            self._writer.write(self._parser.send(h11.EndOfMessage()) or b'')

    def close(self) -> None:
        """Abort the connection, so that the target drops the call."""
        if self._feeding is not None:
            self._feeding.cancel()
        self._writer.transport.abort()

    async def _read_event(self) -> object:
        try:
            event = self._parser.next_event()
            while event is h11.NEED_DATA:
                data = await self._reader.read(READ_BYTES)
                self._parser.receive_data(data)
                self._pending_bytes += len(data)
                if self._pending_bytes >= MINIMUM_PROGRESS_BYTES:
                    self.record_progress()
                event = self._parser.next_event()
        except (OSError, h11.RemoteProtocolError) as problem:
            kind = type(problem).__name__
            raise AnswerBroken(f'{kind}: {problem}') from problem
        if isinstance(event, h11.ConnectionClosed):
            raise AnswerBroken('connection closed before the end of the answer')
        return event


async def open_target_connection(
    address: str, source: Address | None = None
) -> TargetConnection:
    """Open a connection to a target, or to a peer that asks it.

    :param address: ``host:port``.
    :param source: local address that it is to see; none for any.
    :raises TargetUnreachable: it could not be opened within the timeout.
    """
    try:
        reader, writer = await open_tcp_connection(
            parse_address(address), CONNECT_TIMEOUT_S, source
        )
    except OSError as problem:
        kind = type(problem).__name__
        raise TargetUnreachable(f'{kind}: {problem}') from problem
    return TargetConnection(address, reader, writer)
