"""Records which calls are accepted, and how each ends: log and metrics."""

from attrs import define

from trefoilhinge.dispatch.calls import Call, CallHead
from trefoilhinge.gateway.open_calls import find_stage
from trefoilhinge.gateway.progress import CallProgress
from trefoilhinge.gateway.refusals import Refusal
from trefoilhinge.gateway.state import GatewayState

CUT = 'cut'


@define
class CallRecorder:
    """Records the calls of one instance."""

    _state: GatewayState

    def record_accepted(self, call: Call) -> None:
        """Record that a route and an organisation were found for a call."""
        size = call.head.prompt_size
        document = self._state.document
        self._state.log.write(
            'call_accepted',
            request=call.head.request_id,
            route=call.route.name,
            service=call.service,
            organisation=call.organisation.name if call.organisation else None,
            version=document.version if document else 0,
            prompt=size.prompt_tokens if size else None,
            waits_s=call.deadline_s - self._state.get_now_s(),
            last_event=call.head.last_event,
            relayed_by=call.relayed_by or None,
        )

    def record_refusal(self, head: CallHead, refusal: Refusal) -> None:
        """Record that a call was not accepted."""
        self._state.metrics.increment('calls_refused', code=refusal.code)
        self._count_at_stop('failed', refusal)
        document = self._state.document
        self._state.log.write(
            'call_refused',
            request=head.request_id,
            code=refusal.code,
            verdict=refusal.verdict,
            version=document.version if document else 0,
        )

    def record_interrupted(
        self, call: Call, progress: CallProgress, *, has_left: bool
    ) -> None:
        """Record that a call ended as its connection or the process did.

        :param has_left: whether the caller closed its connection.
        """
        outcome = 'caller_gone' if has_left else CUT
        self.record_end(call, progress, outcome)

    def record_end(
        self,
        call: Call,
        progress: CallProgress,
        outcome: str,
        refusal: Refusal | None = None,
    ) -> None:
        """Record the end of a call that was accepted.

        :param refusal: answer of this instance in place of a target's.
        """
        kind = call.route.kind.value
        metrics = self._state.metrics
        metrics.increment('calls_ended', kind=kind, outcome=outcome)
        took_s = self._state.get_now_s() - call.received_s
        metrics.observe('call_duration', took_s, kind=kind)
        self._count_at_stop(outcome, refusal)
        self._state.log.write(
            'call_ended',
            request=call.head.request_id,
            outcome=outcome,
            stage=find_stage(progress).value if outcome == CUT else None,
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

    def _count_at_stop(self, outcome: str, refusal: Refusal | None) -> None:
        """Count how a call ended after the order to stop."""
        if not self._state.is_stopping:
            return
        if refusal is not None and refusal.verdict == 'not_run':
            outcome = 'refused'
        self._state.metrics.increment('stop_calls', outcome=outcome)
