"""Authentication of API keys without disclosing which of them exist."""

from attrs import define, field

from trefoilhinge.conf.generated.document import (
    ApiKey,
    Document,
    Organisation,
)
from trefoilhinge.core.api_keys import parse_api_key, verify_secret

# Compared in place of an unknown key, so that both take the same time.
_PLACEHOLDER_KEY = ApiKey(identifier='none', salt='0' * 32, digest='0' * 64)


@define
class ApiKeyTable:
    """API keys of the current configuration, by public identifier."""

    _keys: dict[str, tuple[ApiKey, Organisation]] = field(factory=dict)
    _document: Document | None = None

    def load(self, document: Document) -> None:
        """Load the keys of a document; do nothing if it is already loaded."""
        if document is self._document:
            return
        self._keys = {
            key.identifier: (key, organisation)
            for organisation in document.organisations
            for key in organisation.keys
        }
        self._document = document

    def find_organisation(self, authorization: str) -> Organisation | None:
        """Return the organisation that an ``Authorization`` header identifies.

        An unknown identifier costs the same comparison as a wrong secret, so
        that response times do not disclose which identifiers exist.

        :return: ``None`` if the key is malformed, unknown or wrong.
        """
        presented = parse_api_key(authorization.removeprefix('Bearer ').strip())
        if presented is None:
            verify_secret('', _PLACEHOLDER_KEY.salt, _PLACEHOLDER_KEY.digest)
            return None
        found = self._keys.get(presented.identifier)
        key = found[0] if found else _PLACEHOLDER_KEY
        matches = verify_secret(presented.secret, key.salt, key.digest)
        if found is None or not matches:
            return None
        return found[1]
