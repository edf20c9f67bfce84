"""Finds the organisation of an API key without telling what exists."""

from attrs import define, field

from trefoilhinge.conf.generated.document import (
    ApiKey,
    Document,
    Organisation,
)
from trefoilhinge.core.api_keys import parse_api_key, verify_secret

_ABSENT = ApiKey(identifier='none', salt='0' * 32, digest='0' * 64)


@define
class KeyRing:
    """API keys in force, by their public identifier."""

    _keys: dict[str, tuple[ApiKey, Organisation]] = field(factory=dict)
    _document: Document | None = None

    def configure(self, document: Document) -> None:
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
        presented = parse_api_key(authorization.removeprefix('Bearer ').strip())
        if presented is None:
            verify_secret('', _ABSENT.salt, _ABSENT.digest)
            return None
        found = self._keys.get(presented.identifier)
        key = found[0] if found else _ABSENT
        fits = verify_secret(presented.secret, key.salt, key.digest)
        if found is None or not fits:
            return None
        return found[1]
