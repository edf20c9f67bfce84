"""HTTP/1.1 connections of callers, with strict parsing of requests."""

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable

import h11
from attrs import define, field

from trefoilhinge.dispatch.calls import CallHead
from trefoilhinge.dispatch.documents import CallerLimits
from trefoilhinge.exceptions import TrefoilhingeError
from trefoilhinge.gateway.held_memory import HeldMemory, ShedHolder
from trefoilhinge.gateway.refusals import Refusal, make_memory_refusal
from trefoilhinge.gateway.request_checks import (
    check_request_head,
    find_receipt_deadline_s,
)
from trefoilhinge.gateway.tcp import (
    CALLER_USER_TIMEOUT_MS,
    READ_BYTES,
    CountingReader,
    has_input,
    reset_tcp_connection,
    set_tcp_timeouts,
)
from trefoilhinge.platform.headers import (
    decode_request_head,
    encode_refusal_headers,
)

# The platform's defaults, used until a document is known.
DEFAULT_LIMITS = CallerLimits(16_384, 4_194_304, 3.0, 15.0)
# Before a connection is closed by a stop; requests arrive sooner.
MINIMUM_IDLE_S = 0.2
MAXIMUM_PIPELINED_BYTES = 65_536  # read ahead while a call is served
# Of a stream reader, whose limit is half of it.
READ_AHEAD_BYTES = 131_072
DISCARD_S = 1.0  # for what a caller still sends after a refusal
# A caller that takes nothing of its answer for this long is given up.
UNREAD_TIMEOUT_S = CALLER_USER_TIMEOUT_MS / 1000

_VERSIONS_WITHOUT_CHUNKS = frozenset((b'1.0', b'0.9'))

RawHeaderList = list[tuple[bytes, bytes]]


class CallerShed(TrefoilhingeError):
    """Too much is held for the caller, whose request is not complete."""


class CallerGone(TrefoilhingeError):
    """The caller closed its connection."""


@define(eq=False)
class CallerConnection:
    """One connection of a caller, which carries calls one after another.

    :ivar is_serving: whether a call is in progress.
    :ivar received_s: monotonic seconds at which the current request began to
        arrive.
    :ivar end_call: ends the call in progress before its deadline; none if
        there is none that can be ended.
    """

    _reader: CountingReader
    _writer: asyncio.StreamWriter
    _limits: Callable[[], CallerLimits]
    _is_stopping: Callable[[], bool]
    _memory: HeldMemory = field(factory=HeldMemory)
    _parser: h11.Connection = field(init=False)
    _received_bytes: int = 0
    _taken_bytes: int = 0
    _idle_since_s: float = field(init=False)
    is_serving: bool = False
    received_s: float = 0
    end_call: Callable[[], None] | None = None
    _holder: ShedHolder = field(init=False)
    _receipt: asyncio.Timeout | None = None

    def __attrs_post_init__(self) -> None:
        """Create the parser with the limits in force and set TCP timeouts."""
        self._holder = ShedHolder(shed=self._shed)
        self._parser = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self._limits().header_bytes,
        )
        set_tcp_timeouts(self._writer.transport, CALLER_USER_TIMEOUT_MS)
        self._idle_since_s = asyncio.get_running_loop().time()

    async def run(
        self,
        serve: Callable[['CallerConnection', CallHead, bytes], Awaitable[None]],
    ) -> None:
        """Serve calls until the connection ends."""
        try:
            await self._run(serve)
        except (CallerGone, OSError, h11.LocalProtocolError):
            return
        finally:
            self._memory.release(self._holder)
            self._writer.close()

    @property
    def is_shed(self) -> bool:
        """Return whether the caller has to release what is held for it."""
        return self._holder.is_shed

    def hold(self, count: int) -> None:
        """Count bytes that are held for the call until it ends.

        :param count: bytes; negative if they were released.
        """
        self._memory.add(self._holder, count)

    def set_organisation(self, name: str) -> None:
        """Count what is held for an organisation."""
        self._memory.set_organisation(self._holder, name)

    def _shed(self) -> None:
        """Release what is held: refuse the call, or cut its answer off.

        A reset shows that an answer is incomplete, and discards what the
        caller has not read.
        """
        if self._parser.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            reset_tcp_connection(self._writer.transport)
        elif self.end_call is not None:
            self.end_call()
        elif self._receipt is not None:
            expire(self._receipt)

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

    async def send(self, content: bytes) -> None:
        """Send a chunk of the content."""
        self._write(h11.Data(data=content))
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
                if await self._drain(UNREAD_TIMEOUT_S):
                    return
                if transport.get_write_buffer_size() >= unsent_bytes:
                    transport.abort()
                    raise CallerGone
        finally:
            transport.set_write_buffer_limits()

    async def _drain(self, timeout_s: float) -> bool:
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

    @property
    def is_pending(self) -> bool:
        """Return whether a call is served, or has arrived but was not read."""
        return self.is_serving or self._has_unread_bytes()

    def close_idle(self) -> None:
        """Close the connection unless a request is received or served.

        A connection that has just been opened or answered is kept: its caller
        may be about to send a request.
        """
        idle_s = asyncio.get_running_loop().time() - self._idle_since_s
        is_used = self.is_pending or self._received_bytes
        if not is_used and idle_s >= MINIMUM_IDLE_S:
            self._writer.close()

    def _has_unread_bytes(self) -> bool:
        """Return whether bytes arrived that were not read from the reader."""
        if self._reader.received_bytes > self._taken_bytes:
            return True
        return has_input(self._writer.transport)

    async def _run(
        self,
        serve: Callable[['CallerConnection', CallHead, bytes], Awaitable[None]],
    ) -> None:
        while True:
            try:
                request, body = await self._read_request()
                head = decode_request_head(
                    request.method,
                    request.target,
                    request.headers.raw_items(),
                )
            except CallerShed:
                # Its traceback refers to the body, which ends with this block.
                request = None
            except h11.RemoteProtocolError as problem:
                await self._refuse_malformed(problem.error_status_hint, problem)
                return
            except ValueError as problem:
                await self._refuse_malformed(400, problem)
                return
            if request is None:
                await self._refuse_shed()
                return
            self._holder.request_id = head.request_id
            await self._serve_until_disconnect(serve, head, body)
            del body
            if not self._is_open() or self.is_shed:
                return
            self._memory.release(self._holder)
            self._parser.start_next_cycle()
            self._received_bytes = len(self._parser.trailing_data[0])
            self.hold(self._received_bytes)
            self.received_s = asyncio.get_running_loop().time()
            self._idle_since_s = self.received_s

    async def _serve_until_disconnect(
        self,
        serve: Callable[['CallerConnection', CallHead, bytes], Awaitable[None]],
        head: CallHead,
        body: bytes,
    ) -> None:
        """Serve a call; cancel it if the caller disconnects.

        :raises CallerGone: the call was cancelled.
        """
        self.is_serving = True
        call_task = asyncio.ensure_future(serve(self, head, body))
        disconnect_task = asyncio.ensure_future(self._wait_for_disconnect())
        try:
            await asyncio.wait(
                (call_task, disconnect_task),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            self.is_serving = False
            disconnect_task.cancel()
            if not call_task.done():
                call_task.cancel()
        await asyncio.gather(call_task, disconnect_task, return_exceptions=True)
        if call_task.cancelled():
            raise CallerGone
        call_task.result()

    async def _read(self) -> bytes:
        data = await self._reader.read(READ_BYTES)
        self._taken_bytes += len(data)
        return data

    async def _wait_for_disconnect(self) -> None:
        """Return once the caller has disconnected.

        Bytes of a pipelined request go to the parser. Past their limit nothing
        more is read, and a disconnection is no longer noticed.
        """
        pipelined_bytes = 0
        while pipelined_bytes < MAXIMUM_PIPELINED_BYTES:
            try:
                data = await self._read()
            except OSError:
                return
            if not data:
                return
            pipelined_bytes += len(data)
            self._parser.receive_data(data)
            self.hold(len(data))
        self.hold(READ_AHEAD_BYTES)
        await asyncio.Event().wait()

    async def _read_request(self) -> tuple[h11.Request, bytes]:
        event = await self._read_event(has_head=False)
        if not isinstance(event, h11.Request):
            raise CallerGone
        request = event
        check_request_head(request, self._limits().header_bytes)
        body = bytearray()
        event = await self._read_event(has_head=True)
        while isinstance(event, h11.Data):
            body += event.data
            self._check_body_length(body)
            event = await self._read_event(has_head=True)
        if not isinstance(event, h11.EndOfMessage):
            raise CallerGone
        return request, bytes(body)

    async def _read_event(self, *, has_head: bool) -> object:
        event = self._parser.next_event()
        while event is h11.NEED_DATA:
            self._send_continue()
            await self._receive(has_head=has_head)
            event = self._parser.next_event()
        return event

    def _send_continue(self) -> None:
        if self._parser.they_are_waiting_for_100_continue:
            self._write(h11.InformationalResponse(status_code=100, headers=[]))

    def _check_body_length(self, body: bytearray) -> None:
        if len(body) > self._limits().body_bytes:
            raise h11.RemoteProtocolError(
                'the body is too long', error_status_hint=413
            )

    async def _receive(self, *, has_head: bool) -> None:
        is_idle = not has_head and not self._received_bytes
        try:
            async with asyncio.timeout_at(
                find_receipt_deadline_s(
                    self._limits(),
                    asyncio.get_running_loop().time(),
                    None if is_idle else self.received_s,
                    self._received_bytes if has_head else 0,
                )
            ) as receipt:
                self._receipt = receipt
                data = await self._read()
        except TimeoutError:
            if self.is_shed:
                raise CallerShed from None
            if is_idle:
                raise CallerGone from None
            raise h11.RemoteProtocolError(
                'the request took too long', error_status_hint=408
            ) from None
        finally:
            self._receipt = None
        if is_idle:
            self.received_s = asyncio.get_running_loop().time()
        # As much again may be read ahead already.
        ahead_bytes = min(len(data), max(0, READ_BYTES - self._received_bytes))
        self._received_bytes += len(data)
        self._parser.receive_data(data)
        self.hold(len(data) + ahead_bytes)
        if self.is_shed:
            raise CallerShed

    async def _refuse_shed(self) -> None:
        """Refuse a request that is not complete.

        The rest of it is read and discarded for a moment: the kernel resets a
        connection that is closed with bytes to read, and the caller might not
        get the refusal.
        """
        await self.refuse(make_memory_refusal(), '')
        self._memory.release(self._holder)
        self._parser = h11.Connection(h11.SERVER)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(DISCARD_S):
                data = await self._reader.read(READ_BYTES)
                while data:
                    data = await self._reader.read(READ_BYTES)

    async def _refuse_malformed(self, status: int, problem: Exception) -> None:
        if self._parser.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        refusal = Refusal(status, 'request_malformed', 'not_run', str(problem))
        await self.refuse(refusal, '')

    def _is_open(self) -> bool:
        return (
            self._parser.our_state is h11.DONE
            and self._parser.their_state is h11.DONE
            and not self._writer.is_closing()
        )

    def _send_head(self, status: int, headers: RawHeaderList) -> None:
        if self._is_stopping() or self._parser.our_state is h11.IDLE:
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


def expire(timeout: asyncio.Timeout) -> None:
    """Let a timeout that is awaited end now."""
    if not timeout.expired():
        timeout.reschedule(asyncio.get_running_loop().time())
