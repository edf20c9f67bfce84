"""The side of a caller's connection on which requests arrive."""

import asyncio
import contextlib
from collections.abc import Callable

import h11
from attrs import define, field

from trefoilhinge.dispatch.calls import CallHead
from trefoilhinge.exceptions import TrefoilhingeError
from trefoilhinge.gateway.answering_connections import (
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
    check_announced_length,
    check_request_head,
    find_receipt_deadline_s,
)
from trefoilhinge.gateway.request_input import RequestInput
from trefoilhinge.gateway.tcp import READ_BYTES, has_input
from trefoilhinge.platform.headers import decode_request_head

# For what a caller still sends after a refusal: in all, and without any byte.
DISCARD_LIMIT_S = 10.0
DISCARD_QUIET_S = 1.0
# Requests are parsed in turns, and checked before the rest, from this on.
LONG_REQUEST_BYTES = 32_768

HeadCheck = Callable[[CallHead], Refusal | None]


class RequestRefused(TrefoilhingeError):
    """A request is refused before it is complete.

    :ivar refusal: answer for its caller.
    :ivar request_id: identifier of the call, empty if it is unknown.
    """

    def __init__(self, refusal: Refusal, request_id: str = '') -> None:
        """Keep the refusal; its code is the message."""
        super().__init__(refusal.code)
        self.refusal = refusal
        self.request_id = request_id


@define(eq=False)
class ReceivingConnection(AnsweringConnection):
    """The side of a caller's connection on which requests arrive.

    :ivar received_s: monotonic seconds at which the current request began to
        arrive.
    """

    _turns: ReadTurns = field(factory=ReadTurns)
    _input: RequestInput = field(init=False)
    _body: bytearray = field(factory=bytearray)
    _received_bytes: int = 0
    _taken_bytes: int = 0
    received_s: float = 0
    _receipt: asyncio.Timeout | None = None
    _receipt_refusal: Refusal | None = None
    _is_closing: bool = False

    def __attrs_post_init__(self) -> None:
        """Create the parsers with the limits in force."""
        super().__attrs_post_init__()
        self._input = RequestInput(self._parser, self._limits().header_bytes)

    def drop(self) -> None:
        """Drop all that was received.

        The connection is part of reference cycles, and is freed late.
        """
        self._body = bytearray()
        self._input.drop()
        self._reader.discard()

    def end_receipt(self) -> None:
        """Refuse a request of which only a part has arrived."""
        if self._receipt is not None and self._received_bytes:
            self._receipt_refusal = make_stopping_refusal(None)
            expire(self._receipt)

    async def _read_request(
        self, check_head: HeadCheck
    ) -> tuple[CallHead, bytes]:
        """Read the next request.

        :param check_head: returns why a call with a head is refused; it is
            asked before a long body is read.
        :raises CallerGone: there is none.
        :raises RequestRefused: it is refused before it is complete.
        """
        try:
            request = await self._read_head()
            head = decode_request_head(
                request.method, request.target, request.headers.raw_items()
            )
            body = await self._read_body(head, check_head)
        except h11.RemoteProtocolError as problem:
            raise RequestRefused(
                make_malformed_refusal(problem.error_status_hint, problem)
            ) from None
        except ValueError as problem:
            raise RequestRefused(make_malformed_refusal(400, problem)) from None
        return head, body

    async def _read_head(self) -> h11.Request:
        event = await self._read_event(has_head=False)
        if not isinstance(event, h11.Request):
            raise CallerGone
        limits = self._limits()
        check_request_head(event, limits.header_bytes)
        check_announced_length(event, limits.body_bytes)
        self._hold(self._input.head_bytes)
        return event

    async def _read_body(self, head: CallHead, check_head: HeadCheck) -> bytes:
        is_checked = False
        event: object = None
        self._body = bytearray()
        while not isinstance(event, h11.EndOfMessage):
            if not is_checked and self._is_long():
                is_checked = True
                refusal = check_head(head)
                if refusal is not None:
                    raise RequestRefused(refusal, head.request_id)
            event = await self._read_event(has_head=True)
            if isinstance(event, h11.Data):
                self._add_content(event.data)
            elif not isinstance(event, h11.EndOfMessage):
                raise CallerGone
        self._holder.is_arriving = False
        body = bytes(self._body)
        self._body = bytearray()
        return body

    def _is_long(self) -> bool:
        """Return whether the body is too long to be read only to be refused."""
        announced = self._input.unread_bytes
        return announced + len(self._body) > LONG_REQUEST_BYTES

    def _add_content(self, content: bytes) -> None:
        self._body += content
        if len(self._body) > self._limits().body_bytes:
            raise h11.RemoteProtocolError(
                'the body is too long', error_status_hint=413
            )
        self._hold(len(content))

    def _hold(self, count: int) -> None:
        """Count a part of a request, without what frames its body.

        :raises RequestRefused: too much is held.
        """
        self.hold(count)
        self._check_shed()

    def _check_shed(self) -> None:
        if self.is_shed:
            raise RequestRefused(make_memory_refusal())

    def _check_receipt(self) -> None:
        """Raise the refusal that ends the receipt of the request, if any."""
        if self._receipt_refusal is not None:
            raise RequestRefused(self._receipt_refusal)

    async def _read_event(self, *, has_head: bool) -> object:
        event = self._input.next_event()
        while event is h11.NEED_DATA:
            self._send_continue()
            await self._receive(has_head=has_head)
            event = self._input.next_event()
        return event

    def _send_continue(self) -> None:
        if self._parser.they_are_waiting_for_100_continue:
            self._write(h11.InformationalResponse(status_code=100, headers=[]))

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
                await self._wait_for_turn()
                data = await self._read()
        except TimeoutError:
            self._check_shed()
            self._check_receipt()
            if is_idle:
                raise CallerGone from None
            raise h11.RemoteProtocolError(
                'the request took too long', error_status_hint=408
            ) from None
        finally:
            self._receipt = None
        if is_idle:
            self.received_s = asyncio.get_running_loop().time()
            self._holder.begin_receipt(self.received_s)
        self._received_bytes += len(data)
        self._input.receive(data)
        self._check_shed()
        self._check_receipt()

    async def _wait_for_turn(self) -> None:
        """Wait for the next part of a long request, and for its turn."""
        if self._received_bytes > LONG_REQUEST_BYTES:
            await self._reader.wait_for_input()
            await self._turns.wait()

    async def _read(self) -> bytes:
        data = await self._reader.read(READ_BYTES)
        self._taken_bytes += len(data)
        return data

    def _has_unread_bytes(self) -> bool:
        """Return whether bytes arrived that were not read from the reader."""
        if self._reader.received_bytes > self._taken_bytes:
            return True
        return has_input(self._writer.transport)

    async def _refuse_unread(self, refused: RequestRefused) -> None:
        """Refuse a request that is not complete, and close the connection.

        The kernel resets a connection that is closed with bytes to read, and
        the caller might not get the refusal: the rest is read and discarded.
        """
        self.drop()
        if self._parser.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        await self.refuse(refused.refusal, refused.request_id)
        self._memory.release(self._holder)
        self._is_closing = True
        if not self._writer.is_closing():
            self._writer.write_eof()
        await self._discard(DISCARD_LIMIT_S, DISCARD_QUIET_S)

    async def _discard(self, limit_s: float, quiet_s: float) -> None:
        """Discard what a caller still sends.

        :param limit_s: seconds in all.
        :param quiet_s: seconds without any byte after which it is done.
        """
        reader = self._reader
        reader.discard()
        latest_s = asyncio.get_running_loop().time() + limit_s
        count = -1
        while reader.received_bytes > count and not reader.is_ended:
            count = reader.received_bytes
            left_s = latest_s - asyncio.get_running_loop().time()
            if left_s <= 0:
                return
            with contextlib.suppress(TimeoutError):
                # Nothing is read, so that only the end lets it return.
                async with asyncio.timeout(min(left_s, quiet_s)):
                    await reader.read(1)


def make_malformed_refusal(status: int, problem: Exception) -> Refusal:
    """Return the refusal of a request that is malformed, long or late."""
    return Refusal(status, 'request_malformed', 'not_run', str(problem))


def expire(timeout: asyncio.Timeout) -> None:
    """Let a timeout that is awaited end now."""
    if not timeout.expired():
        timeout.reschedule(asyncio.get_running_loop().time())
