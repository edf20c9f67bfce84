"""Generates API keys, of which the document holds only a salted hash."""

import secrets

from attrs import frozen

from trefoilhinge.conf.generated.document import ApiKey
from trefoilhinge.core.api_keys import format_api_key, hash_secret

IDENTIFIER_BYTES = 6
SECRET_BYTES = 32
SALT_BYTES = 16


@frozen
class GeneratedKey:
    """New API key.

    :ivar key: key that the caller sends; it is not stored.
    :ivar entry: entry for the document.
    """

    key: str
    entry: ApiKey


def generate_key() -> GeneratedKey:
    """Generate an API key from the system's source of randomness."""
    identifier = secrets.token_hex(IDENTIFIER_BYTES)
    secret = secrets.token_hex(SECRET_BYTES)
    salt = secrets.token_hex(SALT_BYTES)
    digest = hash_secret(secret, salt)
    entry = ApiKey(identifier=identifier, salt=salt, digest=digest)
    return GeneratedKey(format_api_key(identifier, secret), entry)
