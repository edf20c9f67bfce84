"""Serves a call through a peer while this instance reaches no target."""

import asyncio
import json
import math

from attrs import define, evolve, field

from trefoilhinge.dispatch.calls import AnswerHead, Call
from trefoilhinge.dispatch.documents import (
    REQUEST_HASH_VALUES,
    CallKind,
)
from trefoilhinge.dispatch.relay_codec import (
    RelayedCall,
    RelayRefusal,
    encode_relayed_call,
    find_refusal,
    remove_refusal,
)
from trefoilhinge.exceptions import (
    MALFORMED_CONTENT_ERRORS,
    TrefoilhingeError,
)
from trefoilhinge.gateway.answer_relay import AnswerRelay
from trefoilhinge.gateway.http_client import FetchFailed, fetch
from trefoilhinge.gateway.liveness import await_answer
from trefoilhinge.gateway.progress import CallProgress
from trefoilhinge.gateway.refusals import (
    CallFailed,
    Refusal,
    make_exhausted_refusal,
    make_unreachable_refusal,
)
from trefoilhinge.gateway.replication import ALIVE_PATH
from trefoilhinge.gateway.state import GatewayState
from trefoilhinge.gateway.target_connections import (
    AnswerBroken,
    TargetConnection,
    TargetUnreachable,
    open_target_connection,
)

RELAY_PATH = '/relay'
MAXIMUM_PEERS_ASKED = 4  # for one call
ACCEPT_TIMEOUT_S = 0.5  # for a peer to ask for the body; it does so at once
# The peer ends the call this much earlier, so that its verdict still arrives.
DEADLINE_MARGIN_S = 0.03
SILENCE_TIMEOUT_S = 0.6  # after which the peer is asked whether it is alive
ALIVE_TIMEOUT_S = 0.5  # for its response
_MALFORMED_REFUSAL_ERRORS = (*MALFORMED_CONTENT_ERRORS, KeyError)


class PeerRefused(TrefoilhingeError):
    """A peer cannot serve the call, which did not reach a target through it."""


@define
class PeerRelay:
    """Sends one call to peers until one of them serves it."""

    _state: GatewayState
    _call: Call
    _relay: AnswerRelay
    _progress: CallProgress
    _asked: set[str] = field(factory=set)
    _connection: TargetConnection | None = None

    async def run(self) -> bool:
        """Send the call to one peer after the other.

        :return: whether it was answered; if not, a target can be reached.
        :raises CallFailed: no peer can serve the call.
        """
        reach = self._state.reach
        service = self._call.service
        while reach.is_unreachable(service):
            ip = self._choose_peer()
            if ip is None:
                if reach.is_partly_reachable(service, self._state.get_now_s()):
                    return False
                spread = self._call.head.request_hash / REQUEST_HASH_VALUES
                raise CallFailed(
                    make_unreachable_refusal(self._progress, spread)
                )
            self._asked.add(ip)
            self._state.relay_peers.record_start(ip)
            try:
                await self._ask(ip)
            except (PeerRefused, TargetUnreachable) as problem:
                self._record_refusal(ip, str(problem))
            except AnswerBroken as problem:
                self._handle_broken(ip, str(problem))
            else:
                return True
            finally:
                self._progress.is_outstanding = False
                self._state.relay_peers.record_end(ip)
                self.close()
        return False

    def close(self) -> None:
        """Close the connection, so that the peer drops the call."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _choose_peer(self) -> str | None:
        if len(self._asked) >= MAXIMUM_PEERS_ASKED:
            return None
        state = self._state
        now_s = state.get_now_s()
        service = self._call.service
        peers = [
            state.peers.peers[ip]
            for ip in state.peers.list_live(now_s)
            if ip not in self._asked
        ]
        return state.relay_peers.choose(
            peers,
            service,
            state.settings.failure_domain,
            state.reach.compute_unreachable_s(service, now_s),
            self._call.head.request_id,
            now_s,
        )

    async def _ask(self, ip: str) -> None:
        """Send the call to a peer and pass its answer on.

        :raises PeerRefused: the peer did not send the call to a target.
        :raises AnswerBroken: the answer was lost.
        :raises CallFailed: the peer refused the call for good.
        """
        content = encode_relayed_call(self._make_relayed_call())
        connection = await self._offer(ip, len(content))
        self._log('call_relayed', peer=ip, last_event=self._progress.last_event)
        self._progress.record_attempt(self._state.get_now_s())
        connection.silence_timeout_s = SILENCE_TIMEOUT_S
        connection.is_paced = self._state.held_memory.is_bounded
        connection.send_body(content)
        await await_answer(
            self._handle_answer(ip, connection),
            connection,
            lambda: self._probe(ip),
            math.inf,
        )

    async def _offer(self, ip: str, length: int) -> TargetConnection:
        """Offer the call to a peer, which has not received it then.

        :raises PeerRefused: the peer does not ask for the body.
        """
        settings = self._state.settings
        address = f'{ip}:{settings.relay_port}'
        try:
            async with asyncio.timeout(ACCEPT_TIMEOUT_S):
                self._connection = await open_target_connection(
                    address, (settings.ip, 0)
                )
                await self._connection.offer(
                    RELAY_PATH,
                    [
                        (b'Host', address.encode()),
                        (b'Content-Length', b'%d' % length),
                        (b'X-Request-Id', self._get_request_id()),
                    ],
                )
        except (TimeoutError, AnswerBroken) as problem:
            kind = type(problem).__name__
            raise PeerRefused(f'{kind}: {problem}') from problem
        return self._connection

    def _make_relayed_call(self) -> RelayedCall:
        call = self._call
        document = self._state.document
        elapsed_s = self._state.get_now_s() - call.received_s
        return RelayedCall(
            evolve(call.head, last_event=self._progress.last_event),
            call.body,
            document.version if document else 0,
            max(0, elapsed_s) + DEADLINE_MARGIN_S,
            self._progress.attempts,
            self._progress.possible_runs,
        )

    async def _handle_answer(
        self, ip: str, connection: TargetConnection
    ) -> None:
        head = await connection.read_head(self._call.head.request_id)
        refusal = find_refusal(head.forwarded_headers)
        if refusal is not None:
            content = await connection.read_body()
            self._handle_refusal(ip, refusal, head, content)
        if head.is_success and not head.is_signed:
            raise AnswerBroken('successful answer without a signature header')
        is_stream = self._call.route.kind is CallKind.stream
        if head.is_success and is_stream:
            await self._relay.relay_stream(
                connection,
                head,
                self._record_event,
                is_resumable=self._call.route.is_resumable,
            )
            return
        connection.hold = self._relay.hold
        content = await connection.read_body()
        await self._relay.send_complete(
            head, content, is_repeatable=self._call.route.is_repeatable
        )

    def _handle_refusal(
        self,
        ip: str,
        mark: RelayRefusal,
        head: AnswerHead,
        content: bytes,
    ) -> None:
        """Pass a refusal on, or let another peer be asked.

        :raises CallFailed: the refusal holds for all instances, or the call
            may not be sent again.
        :raises PeerRefused: another peer may serve the call.
        """
        if not mark.was_sent:
            self._progress.record_not_run()
        refusal = _decode_refusal(head, content)
        if mark.is_local and (not mark.was_sent or self._may_retry()):
            raise PeerRefused(refusal.code)
        self._log('relay_refused', peer=ip, code=refusal.code)
        raise CallFailed(refusal)

    def _handle_broken(self, ip: str, problem: str) -> None:
        """Let another peer be asked if the call may run again.

        :raises CallFailed: it may not.
        """
        self._record_refusal(ip, problem)
        if not self._may_retry():
            raise CallFailed(
                make_exhausted_refusal(self._progress, 'the answer was lost')
            )

    def _may_retry(self) -> bool:
        route = self._call.route
        return (
            route.is_repeatable
            and self._progress.can_go_on
            and self._progress.possible_runs < route.attempts
        )

    def _record_event(self) -> None:
        self._progress.record_event(self._state.get_now_s())

    def _record_refusal(self, ip: str, problem: str) -> None:
        state = self._state
        state.relay_peers.record_refusal(
            ip, self._call.service, state.get_now_s()
        )
        state.metrics.increment('relays_failed')
        self._log('relay_failed', peer=ip, problem=problem)

    async def _probe(self, ip: str) -> None:
        """Ask a silent peer whether it is alive.

        :raises AnswerBroken: it does not answer.
        """
        address = (ip, self._state.settings.first_port)
        try:
            await fetch(address, ALIVE_PATH, ALIVE_TIMEOUT_S)
        except FetchFailed as problem:
            raise AnswerBroken(f'peer does not answer: {problem}') from problem

    def _get_request_id(self) -> bytes:
        return self._call.head.request_id.encode('latin-1')

    def _log(self, event: str, **fields: object) -> None:
        self._state.log.write(
            event, request=self._call.head.request_id, **fields
        )


def _decode_refusal(head: AnswerHead, content: bytes) -> Refusal:
    """Return the refusal of a peer, to give it to the caller unchanged."""
    headers = {
        name.lower(): value
        for name, value in remove_refusal(head.forwarded_headers)
    }
    try:
        fields = json.loads(content)['error']
        retry_after = headers.get(b'retry-after')
        return Refusal(
            head.status,
            str(fields['code']),
            str(fields['verdict']),
            str(fields['detail']),
            None if retry_after is None else float(retry_after),
        )
    except _MALFORMED_REFUSAL_ERRORS as problem:
        raise AnswerBroken(f'refusal cannot be read: {problem}') from problem
