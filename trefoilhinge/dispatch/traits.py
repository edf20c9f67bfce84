"""Traits of calls: properties that calls have in common."""

import hashlib

from trefoilhinge.dispatch.calls import Call

PART_PREFIX = 'part/'
DIGEST_BYTES = 8


def list_traits(call: Call) -> tuple[str, ...]:
    """Return the traits of a call.

    These are the parts of its prompt that others may share, and the request as
    a whole, which may come again.
    """
    parts = (f'{PART_PREFIX}{part}' for part in call.head.prompt_parts)
    return *parts, _identify_request(call)


def is_part(trait: str) -> bool:
    """Return whether a trait is a part of prompts."""
    return trait.startswith(PART_PREFIX)


def _identify_request(call: Call) -> str:
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
