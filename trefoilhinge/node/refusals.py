"""Refusals that a node tells callers."""

from trefoilhinge.core.verdicts import (
    Refusal,
    RefusalCode,
    Verdict,
    refuse_not_run,
)
from trefoilhinge.node.call_table import CallRecord
from trefoilhinge.retries.interfaces import GiveUp

MINIMUM_RETRY_AFTER_S = 1.0


def refuse_unreachable_owner() -> Refusal:
    """Return the refusal of a call whose key's owner cannot be reached."""
    return Refusal(
        RefusalCode.KEY_OWNER_GONE,
        Verdict.MAY_HAVE_RUN,
        'The instance that owns this Idempotency-Key cannot be reached, so '
        'whether the request ran is not known; look before you send it '
        'again under a new key.',
    )


def refuse_stopping() -> Refusal:
    """Return the refusal of a call that reached a stopping instance."""
    return refuse_not_run(
        RefusalCode.STOPPING,
        'This instance is stopping; send the request again.',
        retry_after_s=MINIMUM_RETRY_AFTER_S,
    )


def refuse_failed_attempt(record: CallRecord, decision: GiveUp) -> Refusal:
    """Return the refusal of a call that is not tried again."""
    # An earlier attempt may have run even where this one did not.
    verdict = (
        Verdict.MAY_HAVE_RUN
        if record.earlier_may_have_run
        else decision.verdict
    )
    return Refusal(
        decision.code,
        verdict,
        'The target did not give a whole answer; '
        'a call that may be repeated can be sent again.',
        retry_after_s=max(MINIMUM_RETRY_AFTER_S, decision.retry_after_s or 0),
    )


def refuse_expired(record: CallRecord) -> Refusal:
    """Return the refusal of a call whose deadline has passed."""
    return Refusal(
        RefusalCode.DEADLINE_PASSED,
        record.verdict,
        'The request did not end within its time; allow more time.',
        limit='deadline_s',
        limit_value=record.profile.deadline_s - record.profile.received_s,
    )
