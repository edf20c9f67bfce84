"""Traits of calls: properties that calls have in common."""

import hashlib

from trefoilhinge.dispatch.calls import Call

DIGEST_BYTES = 8


def list_traits(call: Call) -> tuple[str, ...]:
    """Return the traits of a call: the shared parts of its prompt."""
    return tuple(f'part/{part}' for part in call.head.prompt_parts)


def identify_request(call: Call) -> str:
    """Return the trait of calls with the same path, caller and body.

    Callers choose all three, so the digest is one that they cannot make equal
    to that of another caller's request.
    """
    caller = call.organisation.name if call.organisation else ''
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for text in (call.head.host.lower(), caller):
        digest.update(f'{text}\n'.encode())
    digest.update(call.head.target)
    digest.update(b'\n')
    digest.update(call.body)
    return f'request/{digest.hexdigest()}'
