"""Ends calls: releases their resources and settles their token usage."""

from attrs import define

from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.effects import Effect, FinishCall, RefuseCall
from trefoilhinge.core.events import AttemptEnded, AttemptOutcome
from trefoilhinge.core.verdicts import Refusal, Verdict
from trefoilhinge.groups.interfaces import GroupRunner
from trefoilhinge.limits.interfaces import Limiter
from trefoilhinge.node.attempt_effects import make_cancellation
from trefoilhinge.node.call_table import CallRecord, CallState, CallTable
from trefoilhinge.node.refusals import refuse_expired
from trefoilhinge.retries.interfaces import Ledger
from trefoilhinge.routing.interfaces import Router

Effects = list[Effect]


@define
class CallCloser:
    """Removes calls from the table and returns their final responses."""

    _table: CallTable
    _router: Router
    _limiter: Limiter
    _ledger: Ledger
    _groups: GroupRunner

    def release(
        self,
        record: CallRecord,
        outcome: AttemptOutcome,
        now: Instant,
    ) -> Effects:
        """Release the charge and the reservations of the latest attempt."""
        self._router.release(record.attempt, outcome, now)
        return list(self._groups.release(record.attempt, now))

    def finish(
        self,
        record: CallRecord,
        event: AttemptEnded,
        now: Instant,
    ) -> Effects:
        """End a call whose complete response was relayed to the caller."""
        profile = record.profile
        effects = self.release(record, event.outcome, now)
        tokens = event.prompt_tokens or profile.prompt_tokens
        tokens += event.output_tokens
        self._ledger.settle(profile, Verdict.RAN, now)
        self._limiter.settle(profile, Verdict.RAN, tokens, now)
        self._limiter.remove(profile.request_id)
        self._table.remove(profile.request_id)
        effects.append(FinishCall(profile.request_id))
        return effects

    def expire(self, record: CallRecord, now: Instant) -> Effects:
        """Refuse a call whose deadline has expired."""
        return self.refuse(record, refuse_expired(record), now)

    def refuse(
        self,
        record: CallRecord,
        refusal: Refusal,
        now: Instant,
    ) -> Effects:
        """End a call with a refusal."""
        effects = self.close(record, refusal.verdict, record.offset, now)
        effects.append(RefuseCall(record.profile.request_id, refusal))
        return effects

    def close(
        self,
        record: CallRecord,
        verdict: Verdict,
        output_tokens: int,
        now: Instant,
    ) -> Effects:
        """End a call without a complete response.

        :param output_tokens: generated tokens that count towards its usage.
        """
        profile = record.profile
        effects = self.release(record, AttemptOutcome.ABANDONED, now)
        dispatched = record.state in {CallState.SENT, CallState.ASKING}
        if dispatched and record.target is not None:
            effects.append(make_cancellation(record, record.target))
        tokens = 0
        if verdict is not Verdict.NOT_RUN:
            tokens = profile.prompt_tokens + output_tokens
        if record.state is not CallState.FORWARDED:
            self._ledger.settle(profile, verdict, now)
            self._limiter.settle(profile, verdict, tokens, now)
        self._limiter.remove(profile.request_id)
        self._table.remove(profile.request_id)
        return effects
