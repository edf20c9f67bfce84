"""HTTP/1.1 connections of callers, which carry calls."""

import asyncio
from collections.abc import Awaitable, Callable

import h11
from attrs import define, field

from trefoilhinge.dispatch.calls import CallHead
from trefoilhinge.gateway.answering_connections import (
    READ_AHEAD_BYTES,
    CallerGone,
)
from trefoilhinge.gateway.connection_table import (
    ConnectionTable,
    make_unbounded_table,
)
from trefoilhinge.gateway.receiving_connections import (
    HeadCheck,
    ReceivingConnection,
    RequestRefused,
    expire,
)
from trefoilhinge.gateway.refusals import make_crowded_refusal
from trefoilhinge.gateway.tcp import (
    CALLER_USER_TIMEOUT_MS,
    reset_tcp_connection,
    set_tcp_timeouts,
)

# Before a connection is closed by a stop; requests arrive sooner.
MINIMUM_IDLE_S = 0.2
MAXIMUM_PIPELINED_BYTES = 65_536  # read ahead while a call is served
LINGER_S = 0.2  # for a caller that was told that its connection ends

CallHandler = Callable[['CallerConnection', CallHead, bytes], Awaitable[None]]


@define(eq=False)
class CallerConnection(ReceivingConnection):
    """One connection of a caller, which carries calls one after another.

    :ivar is_serving: whether a call is in progress.
    :ivar has_left: whether the caller closed its connection under a call.
    :ivar end_call: ends the call in progress before its deadline; none if
        there is none that can be ended.
    """

    _table: ConnectionTable['CallerConnection'] = field(
        factory=make_unbounded_table, kw_only=True
    )
    _idle_since_s: float = field(init=False)
    is_serving: bool = False
    has_left: bool = False
    end_call: Callable[[], None] | None = None

    def __attrs_post_init__(self) -> None:
        """Create the parsers with the limits in force and set TCP timeouts."""
        super().__attrs_post_init__()
        set_tcp_timeouts(self._writer.transport, CALLER_USER_TIMEOUT_MS)
        self._idle_since_s = asyncio.get_running_loop().time()

    async def run(self, serve: CallHandler, check_head: HeadCheck) -> None:
        """Serve calls until the connection ends.

        :param check_head: returns why a call with a head is refused; it is
            asked before a long body is read.
        """
        self._table.add(self)
        try:
            await self._run(serve, check_head)
            await self._linger()
        except (CallerGone, OSError, h11.LocalProtocolError):
            return
        finally:
            self._end()

    def _end(self) -> None:
        """Release all that the connection holds."""
        self._table.remove(self)
        self._memory.release(self._holder)
        self._holder.detach()
        self.drop()
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
        else:
            self._body = bytearray()
            if self._receipt is not None:
                expire(self._receipt)

    def make_room(self) -> None:
        """End the wait for a request, with a refusal if a part arrived."""
        if not self._received_bytes and not self._has_unread_bytes():
            self._writer.close()
            return
        self._receipt_refusal = make_crowded_refusal()
        if self._receipt is not None:
            expire(self._receipt)

    def close_refused(self) -> None:
        """Close the connection, whose request was refused."""
        self._writer.close()

    @property
    def is_pending(self) -> bool:
        """Return whether a call is served, or has arrived but was not read."""
        if self._is_closing:
            return False
        return self.is_serving or self._has_unread_bytes()

    @property
    def is_arriving(self) -> bool:
        """Return whether a part of a request has arrived."""
        if self.is_serving or self._is_closing:
            return False
        return self._received_bytes > 0 or self._has_unread_bytes()

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
        await self._discard(LINGER_S, LINGER_S)

    async def _run(self, serve: CallHandler, check_head: HeadCheck) -> None:
        while True:
            try:
                head, body = await self._read_request(check_head)
            except RequestRefused as refused:
                self._table.begin_close(self)
                await self._refuse_unread(refused)
                return
            self._holder.request_id = head.request_id
            self._table.begin_call(self)
            await self._serve_until_disconnect(serve, head, body)
            del body
            if not self._is_open() or self.is_shed:
                return
            self._table.begin_wait(self)
            self._memory.release(self._holder)
            self._parser.start_next_cycle()
            self._receipt_refusal = None
            self._received_bytes = self._input.waiting_bytes
            self.hold(self._received_bytes)
            self.received_s = asyncio.get_running_loop().time()
            self._idle_since_s = self.received_s
            self._holder.begin_receipt(self.received_s)

    async def _serve_until_disconnect(
        self,
        serve: CallHandler,
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

    def _is_open(self) -> bool:
        return (
            self._parser.our_state is h11.DONE
            and self._parser.their_state is h11.DONE
            and not self._writer.is_closing()
        )
