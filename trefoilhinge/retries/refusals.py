"""Refusals of calls that may not be repeated."""

from trefoilhinge.core.verdicts import (
    Refusal,
    RefusalCode,
    Verdict,
    refuse_not_run,
)

_MINT_ENDPOINT = 'POST /v1/idempotency-keys'


def refuse_unminted_key(new_key: str) -> Refusal:
    """Refuse a key that names no owner; offer one that does."""
    return refuse_not_run(
        RefusalCode.KEY_UNKNOWN,
        'A call that may not be repeated takes an Idempotency-Key that was '
        f'minted by this service ({_MINT_ENDPOINT}); send it again with the '
        'key of the example.',
        example=f'Idempotency-Key: {new_key}' if new_key else _MINT_ENDPOINT,
    )


def refuse_forged_key() -> Refusal:
    """Refuse a key that was not minted for this organisation."""
    return refuse_not_run(
        RefusalCode.KEY_UNKNOWN,
        'This Idempotency-Key was not minted for this organisation; mint one '
        f'with {_MINT_ENDPOINT}.',
        example=_MINT_ENDPOINT,
    )


def refuse_expired_key() -> Refusal:
    """Refuse a key too old to tell whether it was used."""
    return Refusal(
        RefusalCode.KEY_EXPIRED,
        Verdict.MAY_HAVE_RUN,
        'This Idempotency-Key has expired, so whether it was used is not '
        'known any more; look before you send the request under a new key.',
        example=_MINT_ENDPOINT,
    )


def refuse_body_mismatch() -> Refusal:
    """Refuse a key that was used with another body."""
    return refuse_not_run(
        RefusalCode.BAD_REQUEST,
        'This Idempotency-Key was used with another body; mint one key for '
        'each request.',
        example=_MINT_ENDPOINT,
    )


def refuse_key_in_use() -> Refusal:
    """Refuse a key whose call is still in progress.

    A call that still waits may run at any moment, so that its key is never
    refused as not run.
    """
    return Refusal(
        RefusalCode.KEY_IN_USE,
        Verdict.MAY_HAVE_RUN,
        'A request with this Idempotency-Key is still in progress; ask again '
        'later with the same key.',
        retry_after_s=1,
    )


def refuse_already_ran(verdict: Verdict) -> Refusal:
    """Refuse a key whose call ran or may have run."""
    return Refusal(
        RefusalCode.ALREADY_RAN,
        verdict,
        'A request with this Idempotency-Key was already sent; its answer is '
        'not kept.',
    )


def refuse_owner_gone() -> Refusal:
    """Refuse a key whose owner can no longer be asked."""
    return Refusal(
        RefusalCode.KEY_OWNER_GONE,
        Verdict.MAY_HAVE_RUN,
        'The instance that owns this Idempotency-Key cannot be reached, so '
        'whether the request ran is not known; look before you send it '
        'again under a new key.',
        example=_MINT_ENDPOINT,
    )


def refuse_retired_key() -> Refusal:
    """Refuse a key that did not run and whose owner grants no more."""
    return refuse_not_run(
        RefusalCode.KEY_OWNER_GONE,
        'The instance that owned this Idempotency-Key has stopped and the '
        f'key was not run; mint a new one with {_MINT_ENDPOINT}.',
        example=_MINT_ENDPOINT,
    )


def refuse_ledger_full(maximum_entries: int) -> Refusal:
    """Refuse a new key because no more can be remembered."""
    return refuse_not_run(
        RefusalCode.OVERLOADED,
        'This instance remembers as many Idempotency-Keys as it may; mint a '
        'new one, which another instance may answer.',
        limit='remembered_keys',
        limit_value=maximum_entries,
        retry_after_s=10,
    )
