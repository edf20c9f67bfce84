"""Serves calls for peers that reach no target."""

import asyncio

from attrs import define, evolve, field

from trefoilhinge.dispatch.documents import CallerLimits
from trefoilhinge.dispatch.relay_codec import (
    MAXIMUM_ENVELOPE_BYTES,
    RelayRefusal,
    decode_relayed_call,
    encode_refusal,
    remove_refusal,
)
from trefoilhinge.gateway.answering_connections import (
    RawHeaderList,
    encode_refusal_body,
)
from trefoilhinge.gateway.call_service import CallService
from trefoilhinge.gateway.caller_connections import CallerConnection
from trefoilhinge.gateway.connection_table import make_unbounded_table
from trefoilhinge.gateway.listeners import CallerListener, listen
from trefoilhinge.gateway.refusals import Refusal
from trefoilhinge.gateway.request_checks import DEFAULT_LIMITS
from trefoilhinge.gateway.state import GatewayState
from trefoilhinge.gateway.tcp import CountingReader
from trefoilhinge.platform.headers import encode_refusal_headers

MAXIMUM_RELAYED_CALLS = 64  # at a time, beside the calls of own callers
MAXIMUM_RELAYED_BYTES = 33_554_432  # of their bodies
# For a document that the peer has already; a watch gathers changes for less.
DOCUMENT_TIMEOUT_S = 1.0
DOCUMENT_POLL_INTERVAL_S = 0.02


@define(eq=False)
class RelayingConnection(CallerConnection):
    """Connection of a peer, which carries one call.

    The peer tells a refusal of this instance by its mark from the answer of a
    target, which loses a header of that name.
    """

    async def send_complete(
        self, status: int, headers: RawHeaderList, content: bytes
    ) -> None:
        """Send a target's answer whose content is complete."""
        await super().send_complete(status, remove_refusal(headers), content)

    def start_answer(self, status: int, headers: RawHeaderList) -> None:
        """Send the head of a target's answer."""
        super().start_answer(status, remove_refusal(headers))

    async def refuse(self, refusal: Refusal, request_id: str) -> None:
        """Send a refusal of this instance."""
        mark = RelayRefusal(refusal.is_local, refusal.was_sent)
        headers = encode_refusal_headers(request_id, refusal.retry_after_s)
        await CallerConnection.send_complete(
            self,
            refusal.status,
            [*headers, encode_refusal(mark)],
            encode_refusal_body(refusal),
        )


@define
class RelayServer:
    """Accepts calls from peers, and serves each like one of its own callers.

    Connections of others, and those beyond the bounds, are closed before the
    call is received.

    :ivar connections: open connections of peers.
    """

    _state: GatewayState
    _service: CallService
    connections: set[RelayingConnection] = field(factory=set)
    _body_bytes: int = 0
    _listener: CallerListener | None = None

    def start(self) -> None:
        """Listen for peers."""
        settings = self._state.settings
        self._listener = listen(
            (settings.ip, settings.relay_port),
            self._handle_connection,
            make_unbounded_table(),
        )
        self._listener.start()

    def stop(self) -> None:
        """Refuse connections from now on."""
        if self._listener is not None:
            self._listener.stop()

    async def wait_until_handed_over(self) -> None:
        """Wait until all accepted connections have reached their handler."""
        if self._listener is not None:
            await self._listener.wait_until_handed_over()

    async def _handle_connection(
        self, reader: CountingReader, writer: asyncio.StreamWriter
    ) -> None:
        ip = writer.get_extra_info('peername')[0]
        problem = self._find_problem(ip)
        if problem is not None:
            self._state.metrics.increment('relays_refused')
            self._state.log.write('relay_rejected', peer=ip, problem=problem)
            writer.transport.abort()
            return
        connection = RelayingConnection(
            reader,
            writer,
            self._get_limits,
            lambda: True,
            self._state.held_memory,
            self._state.read_turns,
        )
        self.connections.add(connection)
        try:
            await connection.run(
                lambda caller, head, body: self._serve(caller, body, ip),
                lambda head: None,
            )
        finally:
            self.connections.discard(connection)

    def _find_problem(self, ip: str) -> str | None:
        """Return why a connection is not accepted, ``None`` if it is."""
        if ip not in self._state.peers.peers:
            return 'not an instance'
        if len(self.connections) >= MAXIMUM_RELAYED_CALLS:
            return f'{len(self.connections)} calls are relayed already'
        if self._body_bytes >= MAXIMUM_RELAYED_BYTES:
            return f'bodies of {self._body_bytes} bytes are relayed already'
        return None

    async def _serve(
        self, caller: CallerConnection, content: bytes, ip: str
    ) -> None:
        decoded = decode_relayed_call(content)
        if decoded.is_error():
            self._state.log.write(
                'relay_rejected', peer=ip, problem=decoded.error
            )
            refusal = Refusal(
                400, 'relay_malformed', 'not_run', decoded.error, is_local=True
            )
            await caller.refuse(refusal, '')
            return
        call = decoded.ok
        caller.received_s = self._state.get_now_s() - call.elapsed_s
        if not await self._wait_for_document(call.version):
            refusal = Refusal(
                503,
                'document_behind',
                'not_run',
                'this instance has no document as new as the peer',
                is_local=True,
            )
            await caller.refuse(refusal, call.head.request_id)
            return
        # The call's body is a part of the content, which is kept as well.
        caller.hold(len(call.body))
        self._body_bytes += len(call.body)
        self._state.metrics.increment('calls_carried')
        try:
            await self._service.serve_relayed(caller, call, ip)
        finally:
            self._body_bytes -= len(call.body)

    async def _wait_for_document(self, version: int) -> bool:
        """Wait for a document that is at least as new as the peer's.

        :return: whether there is one; not if it does not come in time, or if
            this instance ends.
        """
        latest_s = self._state.get_now_s() + DOCUMENT_TIMEOUT_S
        while self._get_version() < version:
            if self._state.is_closing or self._state.get_now_s() >= latest_s:
                return False
            await asyncio.sleep(DOCUMENT_POLL_INTERVAL_S)
        return True

    def _get_version(self) -> int:
        document = self._state.document
        return document.version if document else 0

    def _get_limits(self) -> CallerLimits:
        document = self._state.document
        limits = document.limits if document else DEFAULT_LIMITS
        return evolve(
            limits, body_bytes=limits.body_bytes + MAXIMUM_ENVELOPE_BYTES
        )
