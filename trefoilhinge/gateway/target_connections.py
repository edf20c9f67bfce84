"""HTTP connections to targets, which carry one call at a time."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

import h11
from attrs import define, field

from trefoilhinge.dispatch.calls import AnswerHead, Attempt, Call
from trefoilhinge.dispatch.connections.fitness import Exchange
from trefoilhinge.dispatch.settings import Address, parse_address
from trefoilhinge.exceptions import TrefoilhingeError
from trefoilhinge.gateway.response_framing import (
    MAXIMUM_FRAMING_BYTES,
    ResponseFraming,
)
from trefoilhinge.gateway.tcp import (
    READ_BYTES,
    USER_TIMEOUT_MS,
    CountingReader,
    has_input,
    open_tcp_connection,
    set_user_timeout,
)
from trefoilhinge.platform.headers import encode_request_headers
from trefoilhinge.platform.responses import decode_response_head

MINIMUM_PROGRESS_BYTES = 1_024  # of an event or a body that is not complete
MAXIMUM_BODY_BYTES = 8_388_608  # of an answer that is kept until it is whole
READ_AHEAD_BYTES = 32_768  # of an answer, whose target may send without end
MAXIMUM_INTERIM_RESPONSES = 16  # before the head of an answer
MAXIMUM_STATUS = 599
MAXIMUM_WRITE_BYTES = 65_536  # of a request, at once
CONNECT_TIMEOUT_S = 0.3  # a reachable target accepts in a few milliseconds
# For a request on a connection that was kept to be acknowledged.
REUSE_TIMEOUT_MS = 300
_CLOSE_HEADER = (b'Connection', b'close')


class TargetUnreachable(TrefoilhingeError):
    """No connection could be opened, so nothing was sent."""


class AnswerBroken(TrefoilhingeError):
    """The answer is incomplete or invalid; the call may have run."""


def _ignore(count: int) -> None:
    """Count nothing."""


class ConnectionStale(AnswerBroken):
    """A connection that was kept ended before any byte of the answer.

    The target may have closed it while it was idle, or a device on the way
    may have forgotten it.

    :ivar is_unacknowledged: whether nothing came back at all, not even the
        acknowledgement of the request.
    """

    def __init__(self, problem: object) -> None:
        """Take the error or the end that was met."""
        super().__init__(f'{type(problem).__name__}: {problem}')
        self.is_unacknowledged = isinstance(problem, TimeoutError)


@define(eq=False)
class TargetConnection:
    """A connection that carries one call at a time.

    :ivar address: ``host:port`` of the target.
    :ivar is_kept_open: whether the target may keep it open after the answer.
    :ivar exchanges: number of calls that it carried before this one.
    :ivar keep_alive: value of the ``Keep-Alive`` header of the answer, if any.
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
    _reader: CountingReader
    _writer: asyncio.StreamWriter
    is_kept_open: bool = False
    exchanges: int = 0
    keep_alive: bytes | None = None
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
    _read_bytes: int = 0
    _begin_bytes: int = 0  # read before this call
    _framing: ResponseFraming = field(factory=ResponseFraming)
    _head: AnswerHead | None = None
    _has_interim: bool = False

    def send(self, call: Call, attempt: Attempt) -> None:
        """Send the request, head and body."""
        headers = encode_request_headers(call, attempt)
        if not self.is_kept_open:
            headers.append(_CLOSE_HEADER)
        request = h11.Request(
            method=call.head.method, target=call.head.target, headers=headers
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

    @property
    def is_ended(self) -> bool:
        """Return whether the connection ended, and all was read before."""
        return self._reader.is_ended

    def watch(self, on_input: Callable[[], None]) -> None:
        """Report anything that arrives while the connection is idle."""
        self._reader.on_input = on_input

    def reuse(self) -> bool:
        """Prepare the connection for another call.

        :return: whether it may carry one; not if anything has arrived.
        """
        self._reader.on_input = None
        if has_input(self._writer.transport):
            return False
        self._parser.start_next_cycle()
        self.exchanges += 1
        self._head = None
        self.keep_alive = None
        self._begin_bytes = self._read_bytes
        self._pending_bytes = 0
        self.waits_for_caller = False
        set_user_timeout(self._writer.transport, REUSE_TIMEOUT_MS)
        return True

    def describe_exchange(self) -> Exchange | None:
        """Return what was seen up to the end of the answer, if it has ended."""
        if self._head is None:
            return None
        parser = self._parser
        unread_bytes = self._reader.received_bytes - self._read_bytes
        return Exchange(
            head=self._head,
            is_whole=(
                parser.states == {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}
                and not self._writer.transport.get_write_buffer_size()
            ),
            has_interim=self._has_interim,
            unread_bytes=unread_bytes + len(parser.trailing_data[0]),
            is_ended=self.is_ended,
            number=self.exchanges + 1,
        )

    async def read_head(self, request_id: str) -> AnswerHead:
        """Read the head of the answer.

        :param request_id: identifier that the answer must repeat, if any. On
            a connection that was kept it must do so.
        :raises AnswerBroken: there is none, or it belongs to another call.
        """
        event = await self._read_event()
        interim_responses = 0
        while isinstance(event, h11.InformationalResponse):
            interim_responses += 1
            self._has_interim = True
            if interim_responses > MAXIMUM_INTERIM_RESPONSES:
                raise AnswerBroken(
                    f'over {MAXIMUM_INTERIM_RESPONSES} interim responses'
                )
            event = await self._read_event()
        if not isinstance(event, h11.Response):
            raise AnswerBroken('answer has no response head')
        if event.status_code > MAXIMUM_STATUS:
            raise AnswerBroken(f'unknown status {event.status_code}')
        self.record_progress()
        raw_headers = event.headers.raw_items()
        head = decode_response_head(event.status_code, raw_headers)
        if head.request_id and head.request_id != request_id:
            raise AnswerBroken(
                'answer has the request identifier of another call'
            )
        if self.exchanges:
            if not head.request_id:
                raise AnswerBroken(
                    'answer on a kept connection has no request identifier'
                )
            set_user_timeout(self._writer.transport, USER_TIMEOUT_MS)
        self.keep_alive = dict(event.headers).get(b'keep-alive')
        self._head = head
        self._framing = ResponseFraming()
        return head

    async def read_content(self) -> AsyncIterator[bytes]:
        """Yield the content as it arrives, to its end.

        :raises AnswerBroken: the connection ended before the content did, or
            its framing is longer than ``MAXIMUM_FRAMING_BYTES``.
        """
        while True:
            read_bytes = self._read_bytes
            event = await self._read_event()
            read_bytes = self._read_bytes - read_bytes
            if self._framing.is_exceeded(event, read_bytes):
                raise AnswerBroken(
                    f'framing is longer than {MAXIMUM_FRAMING_BYTES} bytes'
                )
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
        self._reader.on_input = None
        self._writer.transport.abort()

    async def _read_event(self) -> object:
        try:
            event = self._parser.next_event()
            while event is h11.NEED_DATA:
                data = await self._reader.read(READ_BYTES)
                self._parser.receive_data(data)
                self._read_bytes += len(data)
                self._pending_bytes += len(data)
                if self._pending_bytes >= MINIMUM_PROGRESS_BYTES:
                    self.record_progress()
                event = self._parser.next_event()
        except (OSError, h11.RemoteProtocolError) as problem:
            if self._is_unanswered():
                raise ConnectionStale(problem) from problem
            kind = type(problem).__name__
            raise AnswerBroken(f'{kind}: {problem}') from problem
        if isinstance(event, h11.ConnectionClosed):
            raise AnswerBroken('connection closed before the end of the answer')
        return event

    def _is_unanswered(self) -> bool:
        """Return whether a call on a kept connection got no byte back."""
        return bool(self.exchanges) and self._read_bytes == self._begin_bytes


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
            parse_address(address), CONNECT_TIMEOUT_S, source, READ_AHEAD_BYTES
        )
    except OSError as problem:
        kind = type(problem).__name__
        raise TargetUnreachable(f'{kind}: {problem}') from problem
    return TargetConnection(address, reader, writer)
