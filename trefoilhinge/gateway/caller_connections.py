"""HTTP/1.1 connections of callers, with strict parsing of requests."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

import h11
from attrs import define, field

from trefoilhinge.dispatch.calls import CallHead
from trefoilhinge.exceptions import TrefoilhingeError
from trefoilhinge.gateway.answering_connections import (
    READ_AHEAD_BYTES,
    AnsweringConnection,
    CallerGone,
)
from trefoilhinge.gateway.read_turns import ReadTurns
from trefoilhinge.gateway.refusals import (
    Refusal,
    make_memory_refusal,
    make_stopping_refusal,
)
from trefoilhinge.gateway.request_checks import (
    check_request_head,
    find_receipt_deadline_s,
)
from trefoilhinge.gateway.request_input import RequestInput
from trefoilhinge.gateway.tcp import (
    CALLER_USER_TIMEOUT_MS,
    READ_BYTES,
    has_input,
    reset_tcp_connection,
    set_tcp_timeouts,
)
from trefoilhinge.platform.headers import decode_request_head

# Before a connection is closed by a stop; requests arrive sooner.
MINIMUM_IDLE_S = 0.2
MAXIMUM_PIPELINED_BYTES = 65_536  # read ahead while a call is served
DISCARD_S = 1.0  # for what a caller still sends after a refusal
LINGER_S = 0.2  # for a caller that was told that its connection ends


class CallerShed(TrefoilhingeError):
    """A request is refused before it is complete.

    Too much is held for its caller, or the instance ends.
    """


@define(eq=False)
class CallerConnection(AnsweringConnection):
    """One connection of a caller, which carries calls one after another.

    :ivar is_serving: whether a call is in progress.
    :ivar has_left: whether the caller closed its connection under a call.
    :ivar received_s: monotonic seconds at which the current request began to
        arrive.
    :ivar end_call: ends the call in progress before its deadline; none if
        there is none that can be ended.
    """

    _turns: ReadTurns = field(factory=ReadTurns)
    _input: RequestInput = field(init=False)
    _received_bytes: int = 0
    _taken_bytes: int = 0
    _idle_since_s: float = field(init=False)
    is_serving: bool = False
    has_left: bool = False
    received_s: float = 0
    end_call: Callable[[], None] | None = None
    _receipt: asyncio.Timeout | None = None
    _is_receipt_ended: bool = False

    def __attrs_post_init__(self) -> None:
        """Create the parser with the limits in force and set TCP timeouts."""
        super().__attrs_post_init__()
        self._input = RequestInput(self._parser, self._limits().header_bytes)
        set_tcp_timeouts(self._writer.transport, CALLER_USER_TIMEOUT_MS)
        self._idle_since_s = asyncio.get_running_loop().time()

    async def run(
        self,
        serve: Callable[['CallerConnection', CallHead, bytes], Awaitable[None]],
    ) -> None:
        """Serve calls until the connection ends."""
        try:
            await self._run(serve)
            await self._linger()
        except (CallerGone, OSError, h11.LocalProtocolError):
            return
        finally:
            self._memory.release(self._holder)
            self._writer.close()

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

    @property
    def is_pending(self) -> bool:
        """Return whether a call is served, or has arrived but was not read."""
        return self.is_serving or self._has_unread_bytes()

    @property
    def is_arriving(self) -> bool:
        """Return whether a part of a request has arrived."""
        has_bytes = self._received_bytes > 0 or self._has_unread_bytes()
        return has_bytes and not self.is_serving

    def end_receipt(self) -> None:
        """Refuse a request of which only a part has arrived."""
        if self._receipt is not None and self._received_bytes:
            self._is_receipt_ended = True
            expire(self._receipt)

    def close_idle(self) -> None:
        """Close the connection unless a request is received or served.

        A connection that has just been opened or answered is kept: its caller
        may be about to send a request.
        """
        idle_s = asyncio.get_running_loop().time() - self._idle_since_s
        is_used = self.is_pending or self._received_bytes
        if not is_used and idle_s >= MINIMUM_IDLE_S:
            self._writer.close()

    def _has_further_input(self) -> bool:
        return bool(self._input.waiting_bytes) or self._has_unread_bytes()

    async def _linger(self) -> None:
        """Let the caller of a stopping instance end the connection.

        What it sent meanwhile would reset the connection when it is closed,
        and with it the answer.
        """
        if not self._is_stopping() or self._writer.is_closing():
            return
        self._writer.write_eof()
        await self._discard(LINGER_S)

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
            self._received_bytes = self._input.waiting_bytes
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
            self.has_left = (
                disconnect_task.done() and not disconnect_task.cancelled()
            )
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
            self._input.receive(data)
            self.hold(len(data))
        self.hold(READ_AHEAD_BYTES)
        await asyncio.Event().wait()

    async def _read_request(self) -> tuple[h11.Request, bytes]:
        event = await self._read_event(has_head=False)
        if not isinstance(event, h11.Request):
            raise CallerGone
        request = event
        check_request_head(request, self._limits().header_bytes)
        self._hold(self._input.head_bytes)
        body = bytearray()
        event = await self._read_event(has_head=True)
        while isinstance(event, h11.Data):
            body += event.data
            self._check_body_length(body)
            self._hold(len(event.data))
            event = await self._read_event(has_head=True)
        if not isinstance(event, h11.EndOfMessage):
            raise CallerGone
        return request, bytes(body)

    async def _read_event(self, *, has_head: bool) -> object:
        event = self._input.next_event()
        while event is h11.NEED_DATA:
            self._send_continue()
            await self._receive(has_head=has_head)
            event = self._input.next_event()
        return event

    def _hold(self, count: int) -> None:
        """Count a part of a request, without what frames its body.

        :raises CallerShed: too much is held.
        """
        self.hold(count)
        if self.is_shed:
            raise CallerShed

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
            if self.is_shed or self._is_receipt_ended:
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
        self._received_bytes += len(data)
        self._input.receive(data)
        if self._received_bytes > READ_BYTES:
            await self._turns.wait()
        if self.is_shed:
            raise CallerShed

    async def _refuse_shed(self) -> None:
        """Refuse a request that is not complete.

        The rest of it is read and discarded for a moment: the kernel resets a
        connection that is closed with bytes to read, and the caller might not
        get the refusal.
        """
        refusal = make_memory_refusal()
        if self._is_receipt_ended:
            refusal = make_stopping_refusal(None)
        await self.refuse(refusal, '')
        self._memory.release(self._holder)
        self._parser = h11.Connection(h11.SERVER)
        await self._discard(DISCARD_S)

    async def _discard(self, limit_s: float) -> None:
        """Read and discard what a caller still sends, for a time."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
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


def expire(timeout: asyncio.Timeout) -> None:
    """Let a timeout that is awaited end now."""
    if not timeout.expired():
        timeout.reschedule(asyncio.get_running_loop().time())
