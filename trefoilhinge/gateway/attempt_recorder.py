"""Record the outcome of each attempt: health, retry budget and log."""

from attrs import define, field

from trefoilhinge.dispatch.calls import AnswerHead, Attempt, Call
from trefoilhinge.dispatch.group_placement import Placement
from trefoilhinge.dispatch.health import Outcome
from trefoilhinge.dispatch.messages import TargetEjected, TargetSlowdown
from trefoilhinge.gateway.answer_relay import StreamMisnumbered
from trefoilhinge.gateway.cold_targets import is_cold
from trefoilhinge.gateway.learned_costs import CostRecorder, estimate_output
from trefoilhinge.gateway.peer_exchange import PeerExchange
from trefoilhinge.gateway.placement import find_engine_profile
from trefoilhinge.gateway.progress import CallProgress
from trefoilhinge.gateway.state import GatewayState
from trefoilhinge.gateway.target_connections import (
    AnswerBroken,
    ConnectionStale,
)

# Ejection of a helper that a target reports as unreachable or leaving. By its
# end, the store shows whether the helper is still gone.
FAILED_HELPER_EJECTION_S = 3.0


@define
class AttemptRecorder:
    """Records the sending and the outcomes of one call's attempts."""

    _state: GatewayState
    _peers: PeerExchange
    _call: Call
    _progress: CallProgress
    _costs: CostRecorder = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the recorder of costs."""
        self._costs = CostRecorder(self._state, self._call, self._progress)

    def record_send_delay(self, placement: Placement) -> None:
        """Log that the call waits until earlier prompts were prefilled."""
        if placement.send_delay_s:
            self._write(
                'call_waits',
                target=placement.parts[0].target,
                readers=len(placement.parts),
                waits_s=placement.send_delay_s,
                expected_s=placement.first_event_s,
            )

    def record_sent(self, placement: Placement, attempt: Attempt) -> None:
        """Record that an attempt is sent; from here on the call may run."""
        now_s = self._state.get_now_s()
        budget = self._state.find_retry_budget(self._call.service)
        if self._progress.attempts:
            budget.record_retry(now_s)
        else:
            budget.record_first_attempt(now_s)
        self._progress.record_attempt(now_s)
        self._costs.record_sent(attempt.target)
        learned = estimate_output(self._state, self._call)
        load = self._state.loads.get(attempt.target)
        helpers = [part.target for part in placement.parts[1:]]
        self._write(
            'call_offered',
            target=attempt.target,
            number=self._progress.attempts,
            helpers=','.join(helpers) or None,
            tickets=len(placement.reserved_tokens) or None,
            reading_s=placement.parts[0].prefill_s,
            backlog_s=load.estimate_backlog_s(now_s),
            expected_s=placement.first_event_s,
            cost=placement.cost,
            running=load.running,
            cold=self._is_cold(attempt.target) or None,
            output=learned and learned.mean,
            output_upper=learned and learned.upper,
            output_samples=learned and learned.samples,
            last_event=attempt.last_event,
            remaining_s=attempt.remaining_s,
        )

    def record_outcome(self, target: str, outcome: Outcome) -> None:
        """Record the outcome of an attempt in the target's health."""
        self._costs.record_outcome(outcome)
        now_s = self._state.get_now_s()
        if self._state.health.record_outcome(target, outcome, now_s):
            self._state.metrics.increment('targets_avoided')
            self._write('target_avoided', target=target, outcome=outcome.value)

    def record_closed(self) -> None:
        """Record that no attempt is in progress any more."""
        self._costs.close()

    def record_event_gap(self, target: str, gap_s: float) -> None:
        """Record a gap between two events, to detect a slow target.

        A gap during which the target prefilled prompts is ignored, as it
        tells nothing about the target's speed.

        :param gap_s: length of the gap, seconds.
        """
        now_s = self._state.get_now_s()
        load = self._state.loads.get(target)
        engine = find_engine_profile(self._state, self._call.service)
        if engine is None or load.prefills.busy_until_s > now_s - gap_s:
            return
        expected_s = load.estimate_nominal_iteration_s(engine)
        slowdown = self._state.slowdowns.record_gap(
            target, gap_s, expected_s, now_s
        )
        if slowdown is not None:
            self._peers.broadcast(TargetSlowdown(target, slowdown))
            self._write(
                'target_paced',
                target=target,
                pace=slowdown,
                pause_s=gap_s,
                expected_s=expected_s,
            )

    def record_unreachable(self, placement: Placement, problem: str) -> None:
        """Record that no connection to the target could be opened."""
        target = placement.parts[0].target
        self.record_outcome(target, Outcome.unreachable)
        self._write(
            'offer_unreachable',
            target=target,
            problem=problem,
            reached_s=self._state.reach.compute_reached_age_s(
                self._call.service, self._state.get_now_s()
            ),
        )

    def record_rejected(self, target: str, head: AnswerHead) -> None:
        """Record that the target did not run the call."""
        self._progress.possible_runs -= 1
        self.record_outcome(target, Outcome.rejected)
        self._eject_failed_helper(head.at_fault)
        if not head.at_fault:
            now_s = self._state.get_now_s()
            self._state.admission.record_full(target, now_s)
        self._write(
            'offer_rejected',
            target=target,
            status=head.status,
            at_fault=head.at_fault or None,
            rest_s=head.rest_s or None,
            rest_problem=head.rest_problem or None,
        )

    def record_broken(
        self, placement: Placement, problem: AnswerBroken
    ) -> None:
        """Record that the answer was lost before its end."""
        target = placement.parts[0].target
        self.record_outcome(target, Outcome.failed)
        if isinstance(problem, StreamMisnumbered):
            self._state.metrics.increment('streams_misnumbered')
        self._write(
            'offer_broken',
            target=target,
            problem=str(problem),
            last_event=self._progress.last_event,
            events=self._progress.attempt_events,
            parts=','.join(self._call.head.prompt_parts) or None,
        )

    def record_stale(
        self, placement: Placement, stale: ConnectionStale, idle_s: float
    ) -> None:
        """Record that the call was sent on a connection that had ended.

        The target is not to blame, unless its machine did not respond.

        :param idle_s: seconds for which the connection was idle before.
        """
        target = placement.parts[0].target
        if stale.is_unacknowledged:
            self.record_outcome(target, Outcome.unreachable)
        self._state.metrics.increment('connections_stale')
        self._write(
            'connection_stale', target=target, problem=stale, idle_s=idle_s
        )

    def record_retry_refused(self, instances: int) -> None:
        """Log that a retry would exceed this instance's share of the budget.

        :param instances: number of instances that share the budget.
        """
        self._write('repeat_refused', instances=instances)

    def _is_cold(self, target: str) -> bool:
        record = self._state.directory.records.get(target)
        return record is not None and is_cold(self._state, record)

    def _eject_failed_helper(self, at_fault: str) -> None:
        if not at_fault:
            return
        now_s = self._state.get_now_s()
        for record in self._state.directory.records.values():
            if at_fault in {record.name, record.address}:
                self._state.health.eject(
                    record.name, FAILED_HELPER_EJECTION_S, now_s
                )
                self._peers.broadcast(
                    TargetEjected(record.name, FAILED_HELPER_EJECTION_S)
                )

    def _write(self, event: str, **fields: object) -> None:
        request = self._call.head.request_id
        self._state.log.write(event, request=request, **fields)
