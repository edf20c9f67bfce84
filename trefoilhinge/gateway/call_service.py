"""Admission of calls, and the end of each: answered, refused or failed."""

import asyncio
import functools

import h11
from attrs import define, evolve, field

from trefoilhinge.dispatch.calls import Call, CallHead
from trefoilhinge.dispatch.relay_codec import RelayedCall
from trefoilhinge.gateway.acceptance import accept_call, find_route
from trefoilhinge.gateway.attempts import Attempts, make_attempts
from trefoilhinge.gateway.call_recorder import CUT, CallRecorder
from trefoilhinge.gateway.caller_connections import CallerConnection, expire
from trefoilhinge.gateway.connections.pool import ConnectionPool
from trefoilhinge.gateway.crash_detection import CrashDetector
from trefoilhinge.gateway.open_calls import OpenCall, OpenCalls
from trefoilhinge.gateway.peer_exchange import PeerExchange
from trefoilhinge.gateway.refusals import (
    CallFailed,
    Refusal,
    make_internal_refusal,
    make_memory_refusal,
    make_stopping_refusal,
)
from trefoilhinge.gateway.rest_queue import RestQueue
from trefoilhinge.gateway.state import GatewayState


@define
class CallService:
    """Serves calls according to the instance's state.

    :ivar open_calls: calls in progress, up to the time at which their callers
        have taken the whole answer.
    :ivar connections: connections to targets.
    """

    _state: GatewayState
    _peers: PeerExchange
    open_calls: OpenCalls = field(factory=OpenCalls)
    connections: ConnectionPool = field(init=False)
    _recorder: CallRecorder = field(init=False)
    _crash_detector: CrashDetector = field(init=False)
    _rest_queue: RestQueue = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create what all calls share."""
        self.connections = ConnectionPool(self._state)
        self._recorder = CallRecorder(self._state)
        self._rest_queue = RestQueue(self._state)
        self._crash_detector = CrashDetector(
            self._state, self._peers.quarantine, self._peers.reach
        )

    @property
    def active(self) -> int:
        """Return the number of calls in progress."""
        return len(self.open_calls)

    def close(self) -> None:
        """Cancel what goes on in the background."""
        self._crash_detector.close()
        self.connections.close()

    def find_head_refusal(self, head: CallHead) -> Refusal | None:
        """Return why a call is refused whatever its body is, if so."""
        document = self._state.document
        if document is None:
            return None
        found = find_route(document, head)
        if not isinstance(found, Refusal):
            return None
        self._recorder.record_refusal(head, found)
        return found

    async def serve(
        self,
        caller: CallerConnection,
        head: CallHead,
        body: bytes,
    ) -> None:
        """Serve one call until it is answered, refused or failed."""
        await self._serve_whole(caller, head, body)

    async def serve_relayed(
        self, caller: CallerConnection, relayed: RelayedCall, ip: str
    ) -> None:
        """Serve a call that another instance took.

        :param ip: IP address of that instance.
        """
        await self._serve_whole(caller, relayed.head, relayed.body, relayed, ip)

    async def _serve_whole(
        self,
        caller: CallerConnection,
        head: CallHead,
        body: bytes,
        relayed: RelayedCall | None = None,
        relayed_by: str = '',
    ) -> None:
        """Serve a call until its caller has taken the answer."""
        open_call = self.open_calls.add()
        try:
            await self._serve(
                open_call, caller, head, body, relayed, relayed_by
            )
            open_call.is_ended = True
            await caller.flush()
        finally:
            self.open_calls.remove(open_call)

    async def _serve(
        self,
        open_call: OpenCall,
        caller: CallerConnection,
        head: CallHead,
        body: bytes,
        relayed: RelayedCall | None = None,
        relayed_by: str = '',
    ) -> None:
        await self._wait_for_start(head)
        accepted = accept_call(
            self._state, head, body, caller.received_s, relayed_by
        )
        if isinstance(accepted, Refusal):
            self._recorder.record_refusal(head, accepted)
            await caller.refuse(accepted, head.request_id)
            return
        call = accepted
        self._recorder.record_accepted(call)
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
        open_call.attempts = attempts
        if relayed is not None:
            attempts.progress.attempts = relayed.attempts
            attempts.progress.possible_runs = relayed.possible_runs
            attempts.progress.earlier_runs = relayed.possible_runs
        try:
            refusal = await self._find_refusal(open_call, caller, attempts)
        except (asyncio.CancelledError, OSError, h11.LocalProtocolError):
            self._recorder.record_interrupted(
                call, attempts.progress, has_left=caller.has_left
            )
            raise
        else:
            await self._end(open_call, caller, call, attempts, refusal)
        finally:
            attempts.close()

    async def _wait_for_start(self, head: CallHead) -> None:
        state = self._state
        if state.startup.is_open or state.is_stopping:
            return
        began_s = state.get_now_s()
        await state.startup.wait(state.started_s)
        state.log.write(
            'start_awaited',
            request=head.request_id,
            took_s=state.get_now_s() - began_s,
            ready=state.startup.is_open,
        )

    async def _find_refusal(
        self,
        open_call: OpenCall,
        caller: CallerConnection,
        attempts: Attempts,
    ) -> Refusal | None:
        """Run the attempts; return why they failed, ``None`` if answered."""
        try:
            await self._run(open_call, caller, attempts)
        except CallFailed as failure:
            return failure.refusal
        except TimeoutError:
            if caller.is_shed:
                return make_memory_refusal(attempts.progress.possible_runs)
            if open_call.is_given_up:
                return make_stopping_refusal(attempts.progress)
            return attempts.make_timeout_refusal()
        return None

    async def _run(
        self,
        open_call: OpenCall,
        caller: CallerConnection,
        attempts: Attempts,
    ) -> None:
        """Run the attempts until the call's deadline, or until it is ended.

        :raises CallFailed: the attempts failed, also with an unexpected error.
        """
        call = attempts.call
        try:
            async with asyncio.timeout_at(call.deadline_s) as deadline:
                open_call.expire = functools.partial(expire, deadline)
                caller.end_call = open_call.expire
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
            open_call.expire = None

    async def _end(
        self,
        open_call: OpenCall,
        caller: CallerConnection,
        call: Call,
        attempts: Attempts,
        refusal: Refusal | None,
    ) -> None:
        progress = attempts.progress
        if refusal is None or caller.is_answered:
            self._recorder.record_end(call, progress, 'answered')
            return
        if progress.has_started:
            outcome = CUT if open_call.is_given_up else 'failed'
            self._recorder.record_end(call, progress, outcome, refusal)
            caller.abort()
            return
        self._recorder.record_end(call, progress, 'failed', refusal)
        was_sent = progress.possible_runs > progress.earlier_runs
        await caller.refuse(
            evolve(refusal, was_sent=was_sent), call.head.request_id
        )
