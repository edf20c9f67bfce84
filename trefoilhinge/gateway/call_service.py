"""Admission of calls, and the end of each: answered, refused or failed."""

import asyncio
import functools

import h11
from attrs import define, evolve, field

from trefoilhinge.dispatch.calls import Call, CallHead
from trefoilhinge.dispatch.documents import FleetDocument
from trefoilhinge.dispatch.durations import estimate_duration_s
from trefoilhinge.dispatch.relay_codec import RelayedCall
from trefoilhinge.gateway.attempts import Attempts, make_attempts
from trefoilhinge.gateway.caller_connections import CallerConnection, expire
from trefoilhinge.gateway.connections.pool import ConnectionPool
from trefoilhinge.gateway.crash_detection import CrashDetector
from trefoilhinge.gateway.peer_exchange import PeerExchange
from trefoilhinge.gateway.refusals import (
    CallFailed,
    Refusal,
    make_internal_refusal,
    make_memory_refusal,
)
from trefoilhinge.gateway.rest_queue import RestQueue
from trefoilhinge.gateway.startup import find_startup_retry_after_s
from trefoilhinge.gateway.state import GatewayState

STOPPING_RETRY_AFTER_S = 0.1  # other instances can serve the call at once


@define
class CallService:
    """Serves calls according to the instance's state.

    :ivar active: number of calls in progress, up to the time at which their
        callers have taken the whole answer.
    :ivar connections: connections to targets.
    """

    _state: GatewayState
    _peers: PeerExchange
    active: int = 0
    connections: ConnectionPool = field(init=False)
    _crash_detector: CrashDetector = field(init=False)
    _rest_queue: RestQueue = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create what all calls share."""
        self.connections = ConnectionPool(self._state)
        self._rest_queue = RestQueue(self._state)
        self._crash_detector = CrashDetector(
            self._state, self._peers.quarantine, self._peers.reach
        )

    def close(self) -> None:
        """Cancel what goes on in the background."""
        self._crash_detector.close()
        self.connections.close()

    async def serve(
        self,
        caller: CallerConnection,
        head: CallHead,
        body: bytes,
    ) -> None:
        """Serve one call until it is answered, refused or failed."""
        self.active += 1
        try:
            await self._serve(caller, head, body)
            await caller.flush()
        finally:
            self.active -= 1

    async def serve_relayed(
        self, caller: CallerConnection, relayed: RelayedCall, ip: str
    ) -> None:
        """Serve a call that another instance took.

        :param ip: IP address of that instance.
        """
        self.active += 1
        try:
            await self._serve(caller, relayed.head, relayed.body, relayed, ip)
            await caller.flush()
        finally:
            self.active -= 1

    async def _serve(
        self,
        caller: CallerConnection,
        head: CallHead,
        body: bytes,
        relayed: RelayedCall | None = None,
        relayed_by: str = '',
    ) -> None:
        await self._wait_for_start(head)
        accepted = self._accept(head, body, caller.received_s, relayed_by)
        if isinstance(accepted, Refusal):
            self._record_refusal(head, accepted)
            await caller.refuse(accepted, head.request_id)
            return
        call = accepted
        if call.organisation is not None:
            caller.set_organisation(call.organisation.name)
        attempts = make_attempts(
            self._state,
            self._peers,
            call,
            caller,
            self._crash_detector,
            self._rest_queue,
            self.connections,
        )
        if relayed is not None:
            attempts.progress.attempts = relayed.attempts
            attempts.progress.possible_runs = relayed.possible_runs
            attempts.progress.earlier_runs = relayed.possible_runs
        try:
            await self._run(caller, call, attempts)
        except CallFailed as failure:
            await self._fail(caller, call, attempts, failure.refusal)
        except TimeoutError:
            refusal = attempts.make_timeout_refusal()
            if caller.is_shed:
                refusal = make_memory_refusal(attempts.progress.possible_runs)
            await self._fail(caller, call, attempts, refusal)
        except asyncio.CancelledError:
            self._record_end(call, attempts, 'caller_gone', None)
            raise
        else:
            self._record_end(call, attempts, 'answered', None)
        finally:
            attempts.close()

    async def _wait_for_start(self, head: CallHead) -> None:
        state = self._state
        if state.startup.is_open:
            return
        began_s = state.get_now_s()
        await state.startup.wait(state.started_s)
        state.log.write(
            'start_awaited',
            request=head.request_id,
            took_s=state.get_now_s() - began_s,
            ready=state.startup.is_open,
        )

    async def _run(
        self, caller: CallerConnection, call: Call, attempts: Attempts
    ) -> None:
        """Run the attempts until the call's deadline, or its caller is shed.

        :raises CallFailed: the attempts failed, also with an unexpected error.
        """
        try:
            async with asyncio.timeout_at(call.deadline_s) as deadline:
                caller.end_call = functools.partial(expire, deadline)
                if caller.is_shed:
                    caller.end_call()
                await attempts.run()
        except (CallFailed, OSError, h11.LocalProtocolError):
            # The last two are of the caller's connection, or the timeout.
            raise
        except Exception as problem:
            self._state.log.write(
                'call_crashed',
                request=call.head.request_id,
                problem=f'{type(problem).__name__}: {problem}',
            )
            refusal = make_internal_refusal(attempts.progress)
            raise CallFailed(refusal) from problem
        finally:
            caller.end_call = None

    def _accept(
        self,
        head: CallHead,
        body: bytes,
        received_s: float,
        relayed_by: str,
    ) -> Call | Refusal:
        document = self._state.document
        if document is None:
            return Refusal(
                503,
                'document_unknown',
                'not_run',
                'this instance has just started',
                find_startup_retry_after_s(
                    head,
                    is_store_unreachable=(
                        self._state.directory.outages.unreachable_since_s
                        is not None
                    ),
                ),
                is_local=True,
            )
        route = document.find_route(head.host, head.path)
        if route is None:
            return Refusal(
                404, 'route_unknown', 'not_run', 'no route has this path'
            )
        maximum_duration_s = estimate_duration_s(
            document, route, head.prompt_size
        )
        if not self._state.can_finish_within(maximum_duration_s):
            return Refusal(
                503,
                'stopping',
                'not_run',
                'this instance ends before the call could',
                STOPPING_RETRY_AFTER_S,
                is_local=True,
            )
        organisation = document.find_organisation(head.api_key)
        needs_key = document.organisations is not None and not route.is_public
        if needs_key and organisation is None:
            return Refusal(
                401, 'key_unknown', 'not_run', 'no organisation has this key'
            )
        timeout_s = route.timeout_s
        caller_deadline_s = received_s + timeout_s
        if head.timeout_s is not None:
            caller_deadline_s = received_s + head.timeout_s
            timeout_s = min(timeout_s, head.timeout_s)
        call = Call(
            head=head,
            body=body,
            route=route,
            service=route.choose_service(head.request_hash),
            organisation=organisation,
            received_s=received_s,
            deadline_s=received_s + timeout_s,
            caller_deadline_s=caller_deadline_s,
            relayed_by=relayed_by,
        )
        self._log_accepted(call, document)
        return call

    async def _fail(
        self,
        caller: CallerConnection,
        call: Call,
        attempts: Attempts,
        refusal: Refusal,
    ) -> None:
        self._record_end(call, attempts, 'failed', refusal)
        if attempts.progress.has_started:
            caller.abort()
            return
        progress = attempts.progress
        was_sent = progress.possible_runs > progress.earlier_runs
        await caller.refuse(
            evolve(refusal, was_sent=was_sent), call.head.request_id
        )

    def _log_accepted(self, call: Call, document: FleetDocument) -> None:
        size = call.head.prompt_size
        self._state.log.write(
            'call_accepted',
            request=call.head.request_id,
            route=call.route.name,
            service=call.service,
            organisation=call.organisation.name if call.organisation else None,
            version=document.version,
            prompt=size.prompt_tokens if size else None,
            waits_s=call.deadline_s - self._state.get_now_s(),
            last_event=call.head.last_event,
            relayed_by=call.relayed_by or None,
        )

    def _record_refusal(self, head: CallHead, refusal: Refusal) -> None:
        self._state.metrics.increment('calls_refused', code=refusal.code)
        document = self._state.document
        self._state.log.write(
            'call_refused',
            request=head.request_id,
            code=refusal.code,
            verdict=refusal.verdict,
            version=document.version if document else 0,
        )

    def _record_end(
        self,
        call: Call,
        attempts: Attempts,
        outcome: str,
        refusal: Refusal | None,
    ) -> None:
        progress = attempts.progress
        kind = call.route.kind.value
        metrics = self._state.metrics
        metrics.increment('calls_ended', kind=kind, outcome=outcome)
        took_s = self._state.get_now_s() - call.received_s
        metrics.observe('call_duration', took_s, kind=kind)
        self._state.log.write(
            'call_ended',
            request=call.head.request_id,
            outcome=outcome,
            status=refusal.status if refusal else progress.status,
            code=refusal.code if refusal else None,
            verdict=refusal.verdict if refusal else None,
            offers=progress.attempts,
            first_s=progress.first_event_s,
            pause_s=progress.longest_gap_s or None,
            last_event=progress.last_event,
            took_s=took_s,
            relayed_by=call.relayed_by or None,
        )
