"""Finds the organisation of an API key without telling what exists."""

from attrs import define, field

from trefoilhinge.conf.generated.document import (
    ApiKey,
    Document,
    Organisation,
)
from trefoilhinge.core.keys import compare_secret, parse_key

_PLACEHOLDER_KEY = ApiKey(identifier='none', salt='0' * 32, digest='0' * 64)


@define
class ApiKeyTable:
    """API keys in force, by their public identifier."""

    _keys: dict[str, tuple[ApiKey, Organisation]] = field(factory=dict)
    _document: Document | None = None

    def load(self, document: Document) -> None:
        """Take the keys of a document; free if it is the one in force."""
        if document is self._document:
            return
        self._keys = {
            key.identifier: (key, organisation)
            for organisation in document.organisations
            for key in organisation.keys
        }
        self._document = document

    def find_organisation(self, authorization: str) -> Organisation | None:
        """Return the organisation of an ``Authorization`` header.

        An unknown identifier costs the same comparison as a wrong secret.
        """
        presented = parse_key(authorization.removeprefix('Bearer ').strip())
        if presented is None:
            compare_secret('', _PLACEHOLDER_KEY.salt, _PLACEHOLDER_KEY.digest)
            return None
        found = self._keys.get(presented.identifier)
        key = found[0] if found else _PLACEHOLDER_KEY
        matches = compare_secret(presented.secret, key.salt, key.digest)
        if found is None or not matches:
            return None
        return found[1]
