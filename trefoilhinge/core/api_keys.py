"""API keys: made once, then known only by a salted hash.

A key reads ``th-<identifier>-<secret>``. The secret has 256 random bits, so
that one round of a keyed hash is enough to guard it.
"""

import hashlib
import hmac

from attrs import frozen

_PREFIX = 'th'


@frozen
class PresentedApiKey:
    """An API key as a caller presented it."""

    identifier: str
    secret: str


def parse_api_key(text: str) -> PresentedApiKey | None:
    """Read an API key; none if it has not the form of one."""
    parts = text.split('-')
    if len(parts) != 3 or parts[0] != _PREFIX:
        return None
    return PresentedApiKey(parts[1], parts[2])


def format_api_key(identifier: str, secret: str) -> str:
    """Return the text of an API key."""
    return f'{_PREFIX}-{identifier}-{secret}'


def hash_secret(secret: str, salt: str) -> str:
    """Return the salted hash of a key's secret, in hexadecimal."""
    code = hmac.new(salt.encode(), secret.encode(), hashlib.sha256)
    return code.hexdigest()


def verify_secret(secret: str, salt: str, digest: str) -> bool:
    """Return whether a secret fits a digest, in constant time."""
    return hmac.compare_digest(hash_secret(secret, salt), digest)
