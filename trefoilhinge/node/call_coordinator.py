"""Coordinates each call from its receipt to its final response.

Only the instance that received a call responds to its caller, and only while
the call is in the call table. Events that arrive later find no record and are
ignored.
"""

from attrs import define, evolve

from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.effects import (
    Dispatch,
    Effect,
    FinishCall,
    ForwardCall,
    RefuseCall,
)
from trefoilhinge.core.events import (
    AttemptAccepted,
    AttemptEnded,
    AttemptOutcome,
    AttemptSilent,
    CallerGone,
    CallReceived,
    FirstTokenSeen,
    ForwardEnded,
    GroupStepEnded,
    StreamAnswered,
)
from trefoilhinge.core.identifiers import ReservationTag
from trefoilhinge.core.reports import StreamState
from trefoilhinge.core.verdicts import Verdict
from trefoilhinge.groups.interfaces import GroupFailed, GroupReady, GroupRunner
from trefoilhinge.limits.interfaces import Limiter
from trefoilhinge.membership.interfaces import Fleet, TargetView
from trefoilhinge.node.attempt_effects import (
    make_cancellation,
    make_dispatch,
    make_query,
    make_resumption,
)
from trefoilhinge.node.call_table import CallRecord, CallState, CallTable
from trefoilhinge.node.closing import CallCloser
from trefoilhinge.node.refusals import (
    refuse_failed_attempt,
    refuse_unfinished,
    refuse_unreachable_owner,
)
from trefoilhinge.retries.interfaces import (
    ClaimForwarded,
    ClaimRefused,
    GiveUp,
    Ledger,
    RetryPolicy,
)
from trefoilhinge.routing.interfaces import (
    Deferred,
    GroupMember,
    GroupPlacement,
    Router,
    TargetPlacement,
    Unplaceable,
)

QUERY_INTERVAL_S = 1.0
# A query without a reply by then was lost together with its thread.
QUERY_TIMEOUT_S = 5.0
MAXIMUM_PLACEMENTS_PER_PASS = 64
GROUP_RETRY_DELAY_S = 0.25

Effects = list[Effect]


@define
class CallCoordinator:
    """Moves calls through admission, placement, dispatch and completion.

    :ivar table: calls in progress.
    :ivar placement_blocked_until_s: monotonic seconds before which no call is
        placed, because the known state of targets may be stale.
    """

    table: CallTable
    _router: Router
    _limiter: Limiter
    _ledger: Ledger
    _retries: RetryPolicy
    _groups: GroupRunner
    _fleet: Fleet
    _closer: CallCloser
    placement_blocked_until_s: float = 0

    def receive(self, event: CallReceived, now: Instant) -> Effects:
        """Claim, admit and queue a call, or refuse it."""
        profile = event.profile
        record = CallRecord(profile)
        claim = self._ledger.claim(profile, now)
        if isinstance(claim, ClaimRefused):
            return [RefuseCall(profile.request_id, claim.refusal)]
        if isinstance(claim, ClaimForwarded):
            return self._forward(record, claim)
        wait_s = self._router.estimate_ttft_s(profile, now)
        refusal = self._limiter.admit(profile, wait_s, now)
        if refusal is not None:
            self._ledger.settle(profile, Verdict.NOT_RUN, now)
            return [RefuseCall(profile.request_id, refusal)]
        self.table.add(record)
        return self.place_queued(now)

    def place_queued(self, now: Instant) -> Effects:
        """Place queued calls in the order of the limiter."""
        if now.monotonic_s < self.placement_blocked_until_s:
            return []
        effects: Effects = []
        placements = 0
        for profile in self._limiter.list_ready(now):
            if placements >= MAXIMUM_PLACEMENTS_PER_PASS:
                break
            placements += 1
            record = self.table.find(profile.request_id)
            if record is None:
                self._limiter.remove(profile.request_id)
            else:
                effects.extend(self._place(record, now))
        return effects

    def note_accepted(self, event: AttemptAccepted, now: Instant) -> Effects:
        """Record the identifier of the stream that serves an attempt."""
        record = self.table.find_attempt(event.attempt)
        if record is not None:
            record.stream_id = event.stream_id
        return []

    def note_first_token(self, event: FirstTokenSeen, now: Instant) -> Effects:
        """Release the prefill part of the charge of an attempt."""
        self._router.note_first_token(event.attempt, now)
        return []

    def note_silent(self, event: AttemptSilent, now: Instant) -> Effects:
        """Query the state of a silent stream on a new connection."""
        record = self.table.find_attempt(event.attempt)
        if record is None or record.target is None:
            return []
        if not record.profile.model or record.state is not CallState.SENT:
            return []
        record.offset = event.offset
        record.relayed = event.offset
        return self._query(record, now)

    def note_stream(self, event: StreamAnswered, now: Instant) -> Effects:
        """Resume a stream that still exists, or handle the loss of one."""
        record = self.table.find_attempt(event.attempt)
        if record is None or record.target is None:
            return []
        if record.state is not CallState.ASKING:
            # The call has changed state since the query was sent.
            return []
        if event.state in {StreamState.RUNNING, StreamState.FINISHED}:
            return self._resume(record, event)
        if event.state is StreamState.UNREACHABLE:
            record.due_s = now.monotonic_s + QUERY_INTERVAL_S
            record.unanswered_queries += 1
            # A call that is not idempotent cannot be retried, so its target is
            # queried until the deadline.
            if record.unanswered_queries < 3 or not record.profile.idempotent:
                return []
        # An unknown stream does not prove that the request did not run: the
        # target may have restarted, or the request may still be in transit.
        # The stream is cancelled so that it holds no resources there.
        ended = AttemptEnded(event.attempt, AttemptOutcome.ERRORED)
        return self._decide_retry(record, ended, now)

    def note_ended(self, event: AttemptEnded, now: Instant) -> Effects:
        """Finish a call, or retry or refuse it after a failed attempt."""
        record = self.table.find_attempt(event.attempt)
        if record is None:
            return []
        if event.outcome is AttemptOutcome.FINISHED:
            effects = self._closer.finish(record, event, now)
            return effects + self.place_queued(now)
        if record.state not in {CallState.SENT, CallState.ASKING}:
            return []
        record.relayed = max(record.relayed, event.relayed)
        if record.profile.model and _is_connection_lost(record, event):
            return self._handle_lost_connection(record, event, now)
        return self._decide_retry(record, event, now)

    def note_group_step(self, event: GroupStepEnded, now: Instant) -> Effects:
        """Advance a group: dispatch to its leader or abandon the group."""
        step_effects, progress = self._groups.note_step(event, now)
        effects = list(step_effects)
        record = self.table.find_attempt(event.attempt)
        if record is None:
            effects.extend(self._groups.release(event.attempt, now))
            return effects
        if isinstance(progress, GroupReady):
            effects.append(
                self._dispatch(record, progress.leader, now, progress.tag),
            )
        if isinstance(progress, GroupFailed):
            effects.extend(self._defer_group(record, now))
        return effects

    def note_forward(self, event: ForwardEnded, now: Instant) -> Effects:
        """End a call that was forwarded to the owner of its idempotency key."""
        record = self.table.find(event.request_id)
        if record is None:
            return []
        self.table.remove(event.request_id)
        if event.finished:
            return [FinishCall(event.request_id)]
        # The owner may have seen the key before, so even a forward that was
        # never sent does not prove that the call did not run.
        return [RefuseCall(event.request_id, refuse_unreachable_owner())]

    def note_caller_gone(self, event: CallerGone, now: Instant) -> Effects:
        """Release all resources of a call whose caller disconnected."""
        record = self.table.find(event.request_id)
        if record is None:
            return []
        return self._closer.close(record, record.verdict, 0, now)

    def end_calls(self, now: Instant) -> Effects:
        """Refuse all calls in progress, with the verdict of each."""
        effects: Effects = []
        for record in self.table.list_records():
            refusal = refuse_unfinished(record)
            effects.extend(self._closer.refuse(record, refusal, now))
        return effects

    def tick(self, now: Instant) -> Effects:
        """Run due work: expire, retry, query and place calls."""
        effects: Effects = []
        for record in self.table.list_records():
            if record.profile.deadline_s <= now.monotonic_s:
                effects.extend(self._closer.expire(record, now))
            elif record.state is CallState.WAITING_RETRY:
                if record.due_s <= now.monotonic_s:
                    record.state = CallState.QUEUED
                    self._limiter.requeue(record.profile, now)
            elif record.state is CallState.ASKING:
                if record.due_s <= now.monotonic_s:
                    effects.extend(self._query(record, now))
        effects.extend(self.place_queued(now))
        return effects

    def _forward(self, record: CallRecord, claim: ClaimForwarded) -> Effects:
        profile = record.profile
        address = self._fleet.find_address(claim.owner, claim.incarnation)
        if address is None:
            return [RefuseCall(profile.request_id, refuse_unreachable_owner())]
        record.state = CallState.FORWARDED
        self.table.add(record)
        return [
            ForwardCall(
                profile.request_id,
                claim.owner,
                address,
                claim.incarnation,
                profile.deadline_s,
            ),
        ]

    def _place(self, record: CallRecord, now: Instant) -> Effects:
        profile = record.profile
        placement = self._router.place(
            profile, frozenset(record.failed_targets), now
        )
        match placement:
            case Deferred():
                return []
            case Unplaceable(refusal):
                return self._closer.refuse(record, refusal, now)
            case TargetPlacement(target, priority):
                self._begin_attempt(record, (target,), now)
                return [self._dispatch(record, target, now, None, priority)]
            case GroupPlacement(members):
                return self._start_group(record, members, now)

    def _begin_attempt(
        self,
        record: CallRecord,
        targets: tuple[TargetView, ...],
        now: Instant,
    ) -> None:
        self._limiter.remove(record.profile.request_id)
        record.number += 1
        record.stream_id = None
        record.offset = 0
        record.relayed = 0
        record.unanswered_queries = 0
        record.connection_lost = False
        record.resumed_offset = None
        record.target = targets[-1]
        names = tuple(one.name for one in targets)
        self._router.charge(record.attempt, record.profile, names, now)

    def _start_group(
        self,
        record: CallRecord,
        members: tuple[GroupMember, ...],
        now: Instant,
    ) -> Effects:
        targets = tuple(member.target for member in members)
        self._begin_attempt(record, targets, now)
        record.state = CallState.RESERVING
        return list(
            self._groups.start(record.attempt, record.profile, members, now),
        )

    def _dispatch(
        self,
        record: CallRecord,
        target: TargetView,
        now: Instant,
        tag: ReservationTag | None,
        priority: int | None = None,
    ) -> Dispatch:
        profile = record.profile
        record.state = CallState.SENT
        record.target = target
        if record.number == 1:
            self._retries.note_first_attempt(profile, target.name, now)
        self._ledger.record_intent(profile, record.attempt, now)
        return make_dispatch(record, target, now, tag, priority)

    def _handle_lost_connection(
        self,
        record: CallRecord,
        event: AttemptEnded,
        now: Instant,
    ) -> Effects:
        taken = max(event.relayed, event.output_tokens)
        record.offset = max(record.offset, taken)
        record.connection_lost = True
        if record.resumed_offset == record.offset:
            # The resumed stream delivered no further token: wait before the
            # next query instead of looping.
            record.state = CallState.ASKING
            record.due_s = now.monotonic_s + QUERY_INTERVAL_S
            return []
        return self._query(record, now)

    def _resume(self, record: CallRecord, event: StreamAnswered) -> Effects:
        target = record.target
        if target is None:
            return []
        record.state = CallState.SENT
        record.unanswered_queries = 0
        is_running = event.state is StreamState.RUNNING
        if (
            is_running
            and event.offset <= record.offset
            and not record.connection_lost
        ):
            # The target has produced no further token either, for example
            # during a long prefill.
            return []
        record.connection_lost = False
        record.resumed_offset = record.offset
        return [make_resumption(record, target)]

    def _query(self, record: CallRecord, now: Instant) -> Effects:
        if record.target is None:
            return []
        record.state = CallState.ASKING
        record.due_s = now.monotonic_s + QUERY_TIMEOUT_S
        return [make_query(record, record.target)]

    def _defer_group(self, record: CallRecord, now: Instant) -> Effects:
        """Schedule a new placement of a call whose group could not be prepared.

        Nothing was sent, so no retry budget is spent; the call is bounded by
        its deadline alone. The delay doubles with each attempt, up to 16 times
        ``GROUP_RETRY_DELAY_S``.
        """
        effects = self._closer.release(record, AttemptOutcome.NOT_SENT, now)
        record.state = CallState.WAITING_RETRY
        delay_s = GROUP_RETRY_DELAY_S * 2 ** min(record.number, 4)
        record.due_s = now.monotonic_s + delay_s
        return effects

    def _decide_retry(
        self,
        record: CallRecord,
        ended: AttemptEnded,
        now: Instant,
    ) -> Effects:
        profile = record.profile
        target = record.target
        ended = evolve(ended, relayed=max(ended.relayed, record.relayed))
        effects = self._closer.release(record, ended.outcome, now)
        if target is None:
            return effects
        if profile.model and not ended.outcome.proves_not_run:
            # The target may still be running the attempt.
            effects.append(make_cancellation(record, target))
        record.state = CallState.WAITING_RETRY
        if not ended.outcome.proves_not_run:
            record.earlier_may_have_run = True
        decision = self._retries.decide(profile, ended, target.name, now)
        if isinstance(decision, GiveUp):
            refusal = refuse_failed_attempt(record, decision)
            return effects + self._closer.refuse(record, refusal, now)
        if ended.outcome is not AttemptOutcome.LEASE_LOST:
            record.failed_targets.add(target.name)
        record.due_s = now.monotonic_s + decision.delay_s
        return effects


def _is_connection_lost(record: CallRecord, event: AttemptEnded) -> bool:
    if event.outcome is AttemptOutcome.BROKEN:
        return True
    # A resumption that was not sent or was refused does not undo the earlier
    # dispatch of the attempt itself.
    resumed = record.resumed_offset is not None
    return resumed and event.outcome.proves_not_run
