"""Attempts of one call at its targets, with retries and their limits."""

import asyncio
import functools
import math

from attrs import define, field

from trefoilhinge.dispatch.calls import AnswerHead, Call
from trefoilhinge.dispatch.documents import CallKind
from trefoilhinge.dispatch.event_order import StreamPosition
from trefoilhinge.dispatch.group_placement import Placement
from trefoilhinge.dispatch.health import Outcome
from trefoilhinge.dispatch.targets import TargetRecord
from trefoilhinge.gateway.answer_relay import AnswerRelay
from trefoilhinge.gateway.attempt_recorder import AttemptRecorder
from trefoilhinge.gateway.attempt_sender import AttemptSender
from trefoilhinge.gateway.caller_connections import CallerConnection
from trefoilhinge.gateway.connections.pool import ConnectionPool
from trefoilhinge.gateway.crash_detection import CrashDetector
from trefoilhinge.gateway.evacuations import (
    is_address_evacuated,
    is_service_evacuated,
)
from trefoilhinge.gateway.late_answers import LateAnswers
from trefoilhinge.gateway.liveness import TargetSilent, await_answer
from trefoilhinge.gateway.peer_exchange import PeerExchange
from trefoilhinge.gateway.peer_relay import PeerRelay
from trefoilhinge.gateway.placement import is_placement_current
from trefoilhinge.gateway.progress import CallProgress
from trefoilhinge.gateway.quarantine_gate import QuarantineGate
from trefoilhinge.gateway.rate_limits import record_named_rate
from trefoilhinge.gateway.reach import probe_suspect
from trefoilhinge.gateway.refusals import (
    CallFailed,
    Refusal,
    make_exhausted_refusal,
    make_timeout_refusal,
    make_unreachable_refusal,
)
from trefoilhinge.gateway.rest_queue import RestQueue
from trefoilhinge.gateway.run_tracker import RunTracker
from trefoilhinge.gateway.silence_timeouts import (
    find_event_timeout_s,
)
from trefoilhinge.gateway.state import GatewayState
from trefoilhinge.gateway.stop_guard import StopGuard, make_plan
from trefoilhinge.gateway.target_choice import TargetChoice
from trefoilhinge.gateway.target_connections import (
    AnswerBroken,
    ConnectionStale,
    TargetConnection,
    TargetUnreachable,
)
from trefoilhinge.gateway.target_needs import record_claim, record_needs

MAXIMUM_REJECTIONS = 3  # attempts that targets state they did not run
# Where capacity is scarce, a call that a target refuses goes back to waiting.
MAXIMUM_SCARCE_REJECTIONS = 10
MAXIMUM_FAILED_CONNECTIONS = 8
MAXIMUM_HELPER_REJECTIONS = 10  # rejections that blame another target
RETRY_DELAY_S = 0.03  # lets load updates arrive before the next attempt


@define
class Attempts:
    """The attempts of one call.

    :ivar progress: what was sent of the call and what came back.
    """

    _state: GatewayState
    _peers: PeerExchange
    _call: Call
    _relay: AnswerRelay
    _run_tracker: RunTracker
    _recorder: AttemptRecorder
    _sender: AttemptSender
    _target_choice: TargetChoice
    _crash_detector: CrashDetector
    _gate: QuarantineGate
    _peer_relay: PeerRelay
    _stop_guard: StopGuard
    progress: CallProgress
    _excluded: set[str] = field(factory=set)
    _is_stale: bool = False  # the last attempt's connection had ended before
    _last_failure: tuple[AnswerHead, bytes] | None = None
    _late_answers: LateAnswers = field(factory=LateAnswers)
    _is_ended: bool = False

    async def run(self) -> None:
        """Attempt the call until it is answered.

        :raises CallFailed: no target can take the call, or a limit on its
            attempts is reached.
        """
        while not self._is_ended:
            try:
                is_answered = await self._late_answers.run_beside(self._attempt)
            except CallFailed:
                if not self._state.is_stopping or self._last_failure is None:
                    raise
                await self._send_answer(*self._last_failure)
                return
            self._is_ended = self._is_ended or is_answered

    async def _attempt(self) -> bool:
        """Attempt the call once.

        :return: whether it was answered.
        """
        self._stop_guard.check()
        self._gate.check()
        await self._peers.reach.settle(self._call.service)
        is_unreachable = self._state.reach.is_unreachable(self._call.service)
        is_evacuated = is_service_evacuated(self._state, self._call.service)
        if is_unreachable and not is_evacuated and await self._relay_to_peer():
            return True
        # A connection was reused only as the budget had room for this.
        is_retry = self.progress.attempts and not self._is_stale
        self._is_stale = False
        if is_retry and not self._has_retry_budget():
            await self._end_call('repeats are used up')
            return True
        return await self._attempt_directly()

    async def _attempt_directly(self) -> bool:
        placement, number = await self._target_choice.choose(
            self.progress, self._excluded
        )
        try:
            return await self._try_placement(placement, number)
        except TargetUnreachable as problem:
            await self._handle_unreachable(placement, str(problem))
            return False
        except ConnectionStale as stale:
            await self._handle_stale(placement, stale)
            return False
        except AnswerBroken as problem:
            return not await self._recover(placement, problem)
        finally:
            self._end_attempt()

    async def _relay_to_peer(self) -> bool:
        """Let a peer serve the call, as this instance reaches no target.

        :return: whether the call was answered; if not, it is to be sent to a
            target after all.
        :raises CallFailed: no peer can serve the call, or another instance
            sent it to this one.
        """
        if self._call.relayed_by:
            if self._state.reach.is_partly_reachable(
                self._call.service, self._state.get_now_s()
            ):
                return False
            raise CallFailed(
                make_unreachable_refusal(self.progress, 0, is_local=True)
            )
        return await self._peer_relay.run()

    @property
    def call(self) -> Call:
        """Return the call."""
        return self._call

    @property
    def is_hopeless(self) -> bool:
        """Return whether the call ends only after this instance.

        One that a target may still answer is not.
        """
        is_awaited = (
            self.progress.is_outstanding or self._late_answers.are_awaited
        )
        return not is_awaited and not self._stop_guard.allows_sending

    def make_timeout_refusal(self) -> Refusal:
        """Return the refusal for a call that reached its deadline."""
        return make_timeout_refusal(self.progress)

    def close(self) -> None:
        """End the attempt, and give up what may still come of earlier ones."""
        self._end_attempt()
        self._late_answers.close()
        self._sender.discard_detached()

    def _end_attempt(self) -> None:
        """Close the connection, end the run and release reserved memory."""
        self.progress.is_outstanding = False
        self._recorder.record_closed()
        self._sender.close()
        self._peer_relay.close()
        self._run_tracker.end()
        self._sender.release()
        self._stop_guard.forget_placement()

    async def _recover(
        self, placement: Placement, problem: AnswerBroken
    ) -> bool:
        """Record that the answer was lost; end the call if that is final.

        :return: whether the call may be attempted again.
        """
        self._excluded.add(placement.parts[0].target)
        self._recorder.record_broken(placement, problem)
        self._peers.reach.suspect(self._call.service)
        await self._check_crash(placement)
        if self._may_retry():
            return True
        await self._end_call('the answer was lost')
        return False

    async def _handle_stale(
        self, placement: Placement, stale: ConnectionStale
    ) -> None:
        """Let the call be sent again, as its connection had ended before.

        The target may have ended under this call all the same.
        """
        self._is_stale = True
        self._excluded.add(placement.parts[0].target)
        self._recorder.record_stale(
            placement, stale, self._sender.suspend_reuse()
        )
        if stale.is_unacknowledged:
            self._peers.reach.suspect(self._call.service)
        await self._check_crash(placement)

    async def _check_crash(self, placement: Placement) -> None:
        name = placement.parts[0].target
        record = self._state.directory.records.get(name)
        if record is not None:
            await self._crash_detector.check(record, self._call, self.progress)

    def _has_retry_budget(self) -> bool:
        if self._state.allows_retry(self._call.service):
            return True
        self._recorder.record_retry_refused(self._state.peers.count_known())
        return False

    def _may_retry(self) -> bool:
        return (
            self._call.route.is_repeatable
            and self.progress.can_go_on
            and self.progress.possible_runs < self._call.route.attempts
        )

    async def _try_placement(self, placement: Placement, number: int) -> bool:
        """Send the call to a placement.

        :param number: number of the run.
        :return: whether the call was answered.
        """
        target = placement.parts[0].target
        try:
            self._stop_guard.plan_placement(placement)
        except CallFailed:
            self._target_choice.withdraw(number)
            raise
        self._run_tracker.start(placement, number)
        self._recorder.record_send_delay(placement)
        await self._run_tracker.wait_for_send_time()
        if not is_placement_current(self._state, self._call, placement):
            return False
        record = self._state.directory.records[target]
        helpers = await self._sender.prepare_helpers(placement)
        if helpers is None:
            await self._handle_rejection('memory could not be reserved')
            return False
        connection = await self._sender.send(placement, record, helpers)
        if connection is None:
            return False
        is_answered = await self._await_answer(record, connection)
        if is_answered:
            self._sender.keep_connection()
        return is_answered

    async def _await_answer(
        self, record: TargetRecord, connection: TargetConnection
    ) -> bool:
        """Return whether the call was answered.

        A call that may not run again is not given up for silence. The answer
        to an idempotent call is still awaited beside the next attempt.
        """
        if not self._may_retry():
            return await self._handle_answer(record, connection)
        answer = asyncio.ensure_future(self._handle_answer(record, connection))
        probe = functools.partial(self._probe, record)
        try:
            return await await_answer(answer, connection, probe)
        except TargetSilent:
            if not self._may_give_up():
                return await await_answer(answer, connection, probe, math.inf)
            if self._call.route.kind is CallKind.idempotent:
                self._state.log.write(
                    'answer_awaited',
                    request=self._call.head.request_id,
                    target=record.name,
                )
                self._sender.detach()
                self._late_answers.add(answer, connection, probe)
            else:
                answer.cancel()
            raise

    def _may_give_up(self) -> bool:
        """Return whether a silent target may be left for another one.

        Not while this instance stops if no other attempt would end in time,
        or if the answer was begun: it is whole only if its target goes on, or
        if another one can, which is not certain then.
        """
        if self._state.is_stopping and self.progress.has_started:
            return False
        return self._stop_guard.allows_sending

    async def _probe(self, record: TargetRecord) -> None:
        """Probe a silent target, unless its failure domain is evacuated.

        A target that is not probed is left after as many silences as one that
        accepts probes.
        """
        if not is_address_evacuated(self._state, record.address):
            await probe_suspect(
                record.address, self._peers.reach, record.service
            )

    async def _handle_answer(
        self, record: TargetRecord, connection: TargetConnection
    ) -> bool:
        target = record.name
        head = await connection.read_head(self._call.head.request_id)
        if connection.exchanges:
            self._sender.record_reached()
        if head.is_success and not head.is_signed:
            raise AnswerBroken('successful answer without a signature header')
        record_named_rate(
            self._state, self._peers, record, head, connection.sent_s
        )
        record_needs(self._state, self._peers, record, head)
        record_claim(self._state, record, head, self._call.head.request_id)
        if head.not_run:
            self._recorder.record_rejected(target, head)
            if self._is_helper_fault(target, head):
                return False
            await self._handle_rejection('all targets asked are full')
            return False
        if head.is_success and self._call.route.kind is CallKind.stream:
            connection.silence_timeout_s = find_event_timeout_s(
                self._call.route
            )
            await self._relay.relay_stream(
                connection,
                head,
                functools.partial(self._record_event, target),
                is_resumable=self._call.route.is_resumable,
            )
            self._recorder.record_outcome(target, Outcome.served)
            self._gate.record_answer()
            return True
        connection.hold = self._relay.hold
        return await self._handle_complete_answer(
            target, head, await connection.read_body()
        )

    def _is_helper_fault(self, target: str, head: AnswerHead) -> bool:
        """Handle a rejection that may blame a helper.

        The recorder has ejected a blamed helper, so the next attempt is placed
        without it and need not be delayed.

        :return: whether a helper is to blame and the call may be attempted
            again at once.
        """
        record = self._state.directory.records.get(target)
        own = {target, record.address if record else ''}
        if not head.at_fault or head.at_fault in own:
            self._excluded.add(target)
            return False
        self.progress.helper_rejections += 1
        return self.progress.helper_rejections <= MAXIMUM_HELPER_REJECTIONS

    async def _handle_complete_answer(
        self, target: str, head: AnswerHead, content: bytes
    ) -> bool:
        served = head.status < 500
        if head.is_success:
            self._gate.record_answer()
        outcome = Outcome.served if served else Outcome.failed
        self._recorder.record_outcome(target, outcome)
        if not served and (self._may_retry() or self._late_answers.is_current):
            self._last_failure = (head, content)
            self._excluded.add(target)
            return False
        if served or not await self._late_answers.wait():
            await self._send_answer(head, content)
        return True

    async def _send_answer(self, head: AnswerHead, content: bytes) -> None:
        await self._relay.send_complete(
            head, content, is_repeatable=self._call.route.is_repeatable
        )

    async def _handle_rejection(self, reason: str) -> None:
        """Delay the next attempt after a rejection, or end the call.

        :raises CallFailed: the limit on rejections is exceeded.
        """
        self.progress.rejections += 1
        if self._late_answers.is_current:
            return
        maximum = MAXIMUM_REJECTIONS
        if self._state.admission.is_enabled:
            maximum = MAXIMUM_SCARCE_REJECTIONS
        if self.progress.rejections > maximum:
            await self._end_call(reason)
        await asyncio.sleep(RETRY_DELAY_S)

    async def _handle_unreachable(
        self, placement: Placement, problem: str
    ) -> None:
        """Delay the next attempt after a failed connection, or end the call.

        The first failure is not delayed.

        :raises CallFailed: the limit on failed connections is exceeded.
        """
        self._excluded.add(placement.parts[0].target)
        self._recorder.record_unreachable(placement, problem)
        self._peers.reach.suspect(self._call.service)
        self.progress.failed_connections += 1
        if self.progress.failed_connections > MAXIMUM_FAILED_CONNECTIONS:
            await self._end_call('no target can be reached')
        if self.progress.failed_connections > 1:
            await asyncio.sleep(
                RETRY_DELAY_S * self.progress.failed_connections
            )

    def _record_event(self, target: str) -> None:
        now_s = self._state.get_now_s()
        gap_s = self.progress.record_event(now_s)
        if gap_s is not None and self._run_tracker.has_first_event:
            self._recorder.record_event_gap(target, gap_s)
        self._run_tracker.record_event(now_s)
        self._gate.record_event()

    async def _end_call(self, reason: str) -> None:
        """Await late answers, send the last failure, or fail the call.

        :raises CallFailed: there is no such answer, or another answer was
            already started.
        """
        if await self._late_answers.wait():
            self._is_ended = True
            return
        if self._last_failure is not None and not self.progress.has_started:
            await self._send_answer(*self._last_failure)
            self._is_ended = True
            return
        raise CallFailed(make_exhausted_refusal(self.progress, reason))


def make_attempts(
    state: GatewayState,
    peers: PeerExchange,
    call: Call,
    caller: CallerConnection,
    crash_detector: CrashDetector,
    rest_queue: RestQueue,
    pool: ConnectionPool,
) -> Attempts:
    """Return the attempts of a call, before the first one."""
    progress = CallProgress(
        call.received_s, StreamPosition(call.head.last_event)
    )
    relay = AnswerRelay(caller, progress)
    recorder = AttemptRecorder(state, peers, call, progress)
    gate = QuarantineGate(state, peers, call, progress)
    stop_guard = StopGuard(state, call, progress, make_plan(state, call))
    return Attempts(
        state,
        peers,
        call,
        relay,
        RunTracker(state, peers, call),
        recorder,
        AttemptSender(
            state, peers, call, progress, recorder, gate, pool, stop_guard
        ),
        TargetChoice(
            state,
            peers.permits,
            rest_queue,
            peers.admission,
            call,
            stop_guard,
        ),
        crash_detector,
        gate,
        PeerRelay(state, call, relay, progress),
        stop_guard,
        progress,
    )
