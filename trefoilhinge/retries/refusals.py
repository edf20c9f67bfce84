"""Refusals of calls that are not idempotent."""

from trefoilhinge.core.verdicts import (
    Refusal,
    RefusalCode,
    Verdict,
    refuse_not_run,
)

_MINT_ENDPOINT = 'POST /v1/idempotency-keys'


def refuse_unminted_key(new_key: str) -> Refusal:
    """Refuse a key that this service did not mint; offer a minted one.

    :param new_key: key to offer, empty if none can be minted.
    """
    return refuse_not_run(
        RefusalCode.KEY_UNKNOWN,
        'A call that is not idempotent needs an Idempotency-Key that was '
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
    """Refuse an expired key, whose entry may have been dropped."""
    return Refusal(
        RefusalCode.KEY_EXPIRED,
        Verdict.MAY_HAVE_RUN,
        'This Idempotency-Key has expired and it is no longer known whether it '
        'was used; check for its effects before you send the request with a '
        'new key.',
        example=_MINT_ENDPOINT,
    )


def refuse_body_mismatch() -> Refusal:
    """Refuse a key that was used with a different body."""
    return refuse_not_run(
        RefusalCode.BAD_REQUEST,
        'This Idempotency-Key was used with a different body; mint one key '
        'for each request.',
        example=_MINT_ENDPOINT,
    )


def refuse_key_in_use() -> Refusal:
    """Refuse a key whose call is still in progress.

    The verdict is never ``NOT_RUN``, as a queued call may run at any moment.
    """
    return Refusal(
        RefusalCode.KEY_IN_USE,
        Verdict.MAY_HAVE_RUN,
        'A request with this Idempotency-Key is still in progress; send it '
        'again later with the same key.',
        retry_after_s=1,
    )


def refuse_already_ran(verdict: Verdict) -> Refusal:
    """Refuse a key whose call ran or may have run.

    :param verdict: verdict on that call.
    """
    return Refusal(
        RefusalCode.ALREADY_RAN,
        verdict,
        'A request with this Idempotency-Key was already sent; its response '
        'is not stored.',
    )


def refuse_owner_gone() -> Refusal:
    """Refuse a key whose owner is not reachable."""
    return Refusal(
        RefusalCode.KEY_OWNER_GONE,
        Verdict.MAY_HAVE_RUN,
        'The instance that owns this Idempotency-Key cannot be reached, so it '
        'is unknown whether the request ran; check for its effects before '
        'you send it again with a new key.',
        example=_MINT_ENDPOINT,
    )


def refuse_retired_key() -> Refusal:
    """Refuse a key that did not run and whose owner is stopping or gone."""
    return refuse_not_run(
        RefusalCode.KEY_OWNER_GONE,
        'The instance that owns this Idempotency-Key has stopped and the '
        f'request did not run; mint a new key with {_MINT_ENDPOINT}.',
        example=_MINT_ENDPOINT,
    )


def refuse_ledger_full(maximum_entries: int) -> Refusal:
    """Refuse a new key because the ledger is full.

    :param maximum_entries: capacity of the ledger, in keys.
    """
    return refuse_not_run(
        RefusalCode.OVERLOADED,
        'This instance stores the maximum number of Idempotency-Keys; mint a '
        'new one, possibly from another instance.',
        limit='remembered_keys',
        limit_value=maximum_entries,
        retry_after_s=10,
    )
