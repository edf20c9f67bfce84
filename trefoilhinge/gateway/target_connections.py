"""One call at one target: the request sent, the answer read strictly."""

import asyncio
from collections.abc import AsyncIterator, Callable

import h11
from attrs import define, field

from trefoilhinge.dispatch.calls import AnswerHead, Call, Offer
from trefoilhinge.dispatch.settings import parse_address
from trefoilhinge.exceptions import TrefoilhingeError
from trefoilhinge.gateway.tcp import READ_BYTES, open_tcp_connection
from trefoilhinge.platform.calls import decode_answer, encode_offer

CONNECT_TIMEOUT_S = 0.3  # a target in reach takes a few milliseconds


class TargetUnreachable(TrefoilhingeError):
    """No connection could be opened; nothing was sent."""


class AnswerBroken(TrefoilhingeError):
    """The answer ended early or was none; the call may have run."""


@define
class TargetConnection:
    """A call on a connection of its own.

    :ivar patience_s: seconds of silence that are expected besides.
    :ivar heard_s: monotonic seconds at which the target was last heard.
    :ivar find_backlog_s: seconds in which it reads what is known to come
        first, and writes nothing.

    A fresh connection carries no late answer of an earlier call and has not
    fallen silent, so that a call that may run once is never in doubt because
    of the connection's past.
    """

    address: str
    _reader: asyncio.StreamReader
    _writer: asyncio.StreamWriter
    silence_timeout_s: float = 0
    last_received_s: float = 0
    find_backlog_s: Callable[[], float] = float
    _parser: h11.Connection = field(factory=lambda: h11.Connection(h11.CLIENT))

    def send(self, call: Call, offer: Offer) -> None:
        """Send the call whole."""
        request = h11.Request(
            method=call.head.method,
            target=call.head.target,
            headers=encode_offer(call, offer),
        )
        parts = [self._parser.send(request) or b'']
        if call.body:
            parts.append(self._parser.send(h11.Data(data=call.body)) or b'')
        parts.append(self._parser.send(h11.EndOfMessage()) or b'')
        self.last_received_s = asyncio.get_running_loop().time()
        self._writer.write(b''.join(parts))

    async def read_head(self, request_id: str) -> AnswerHead:
        """Return the head of the answer.

        :raises AnswerBroken: none came, or it belongs to another call.
        """
        event = await self._next()
        while isinstance(event, h11.InformationalResponse):
            event = await self._next()
        if not isinstance(event, h11.Response):
            raise AnswerBroken('no answer')
        head = decode_answer(event.status_code, event.headers.raw_items())
        if head.request_id and head.request_id != request_id:
            raise AnswerBroken('the answer belongs to another call')
        return head

    async def read_content(self) -> AsyncIterator[bytes]:
        """Yield the content as it arrives, to its proper end.

        :raises AnswerBroken: it ended early.
        """
        while True:
            event = await self._next()
            if isinstance(event, h11.EndOfMessage):
                return
            if isinstance(event, h11.Data):
                yield bytes(event.data)

    async def read_body(self) -> bytes:
        """Return the whole content."""
        return b''.join([chunk async for chunk in self.read_content()])

    def close(self) -> None:
        """End the connection at once; the target drops the call."""
        self._writer.transport.abort()

    async def _next(self) -> object:
        try:
            event = self._parser.next_event()
            while event is h11.NEED_DATA:
                self._parser.receive_data(await self._reader.read(READ_BYTES))
                self.last_received_s = asyncio.get_running_loop().time()
                event = self._parser.next_event()
        except (OSError, h11.RemoteProtocolError) as problem:
            kind = type(problem).__name__
            raise AnswerBroken(f'{kind}: {problem}') from problem
        if isinstance(event, h11.ConnectionClosed):
            raise AnswerBroken('the connection ended')
        return event


async def open_target_connection(address: str) -> TargetConnection:
    """Open a connection to a target.

    :raises TargetUnreachable: it could not be opened.
    """
    try:
        reader, writer = await open_tcp_connection(
            parse_address(address), CONNECT_TIMEOUT_S
        )
    except OSError as problem:
        kind = type(problem).__name__
        raise TargetUnreachable(f'{kind}: {problem}') from problem
    return TargetConnection(address, reader, writer)
