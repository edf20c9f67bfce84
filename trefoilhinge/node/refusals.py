"""Refusals that a node returns to callers."""

from trefoilhinge.core.verdicts import (
    Refusal,
    RefusalCode,
    Verdict,
    refuse_stopping,
)
from trefoilhinge.node.call_table import CallRecord
from trefoilhinge.retries.interfaces import GiveUp

MINIMUM_RETRY_AFTER_S = 1.0


def refuse_unreachable_owner() -> Refusal:
    """Return the refusal of a call whose key's owner is unreachable."""
    return Refusal(
        RefusalCode.KEY_OWNER_GONE,
        Verdict.MAY_HAVE_RUN,
        'The instance that owns this Idempotency-Key is unreachable, so the '
        'request may have run; check whether it took effect before sending '
        'it again under a new key.',
    )


def refuse_key_while_stopping() -> Refusal:
    """Return the refusal of a call whose key a stopping instance cannot check.

    The owner of the key may have run it before.
    """
    return Refusal(
        RefusalCode.STOPPING,
        Verdict.MAY_HAVE_RUN,
        'This instance is stopping and cannot ask the owner of the '
        'Idempotency-Key whether the request ran; send it again with the same '
        'key.',
        retry_after_s=MINIMUM_RETRY_AFTER_S,
    )


def refuse_unfinished(record: CallRecord) -> Refusal:
    """Return the refusal of a call that the exit of the instance ends."""
    if record.verdict is Verdict.NOT_RUN:
        return refuse_stopping()
    return Refusal(
        RefusalCode.ANSWER_INCOMPLETE,
        record.verdict,
        'This instance stopped before the answer was complete; send the '
        'request again if it is safe to repeat.',
        retry_after_s=MINIMUM_RETRY_AFTER_S,
    )


def refuse_failed_attempt(record: CallRecord, decision: GiveUp) -> Refusal:
    """Return the refusal of a call that is not retried."""
    # An earlier attempt may have run even if the last one did not.
    verdict = (
        Verdict.MAY_HAVE_RUN
        if record.earlier_may_have_run
        else decision.verdict
    )
    return Refusal(
        decision.code,
        verdict,
        'The target did not return a complete answer; '
        'send the request again if it is safe to repeat.',
        retry_after_s=max(MINIMUM_RETRY_AFTER_S, decision.retry_after_s or 0),
    )


def refuse_expired(record: CallRecord) -> Refusal:
    """Return the refusal of a call whose deadline has expired."""
    return Refusal(
        RefusalCode.DEADLINE_PASSED,
        record.verdict,
        'The request did not finish before its deadline; allow more time.',
        limit='deadline_s',
        limit_value=record.profile.deadline_s - record.profile.received_s,
    )
