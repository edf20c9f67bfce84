"""API keys, of which only a salted hash is stored.

A key has the form ``th-<identifier>-<secret>``. The secret has 256 random
bits, so one round of a keyed hash is enough against brute force.
"""

import hashlib
import hmac

from attrs import frozen

_PREFIX = 'th'


@frozen
class PresentedApiKey:
    """API key sent by a caller, not yet verified."""

    identifier: str
    secret: str


def parse_api_key(text: str) -> PresentedApiKey | None:
    """Parse an API key; return none if the text is malformed."""
    parts = text.split('-')
    if len(parts) != 3 or parts[0] != _PREFIX:
        return None
    return PresentedApiKey(parts[1], parts[2])


def format_api_key(identifier: str, secret: str) -> str:
    """Return an API key in its text form."""
    return f'{_PREFIX}-{identifier}-{secret}'


def hash_secret(secret: str, salt: str) -> str:
    """Return the salted hash of a secret, in hexadecimal."""
    code = hmac.new(salt.encode(), secret.encode(), hashlib.sha256)
    return code.hexdigest()


def verify_secret(secret: str, salt: str, digest: str) -> bool:
    """Return whether a secret matches a digest, in constant time."""
    return hmac.compare_digest(hash_secret(secret, salt), digest)
