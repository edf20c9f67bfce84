"""Signed idempotency keys that name the incarnation that minted them.

The format of a key is ``thk~<instance>~<incarnation>~<start token>~<expiry>~
<nonce>~<secret fingerprint>~<signature>``, without a line break. The
fingerprint identifies the secret that signed the key, which distinguishes a
key of a replaced secret from a forged one.
"""

import enum
import hashlib
import hmac

from attrs import field, frozen

from trefoilhinge.core.identifiers import InstanceIdentity, InstanceName

KEY_PREFIX = 'thk'
_SEPARATOR = '~'
_FIELD_COUNT = 8
_SIGNATURE_DIGITS = 32
_FINGERPRINT_DIGITS = 8


class SignatureStatus(enum.Enum):
    """Result of the verification of a key's signature."""

    GENUINE = 'genuine'
    FORGED = 'forged'
    # The key was signed with a secret that this instance does not have.
    UNVERIFIABLE = 'unverifiable'


@frozen
class MintedKey:
    """Fields of a parsed key; not to be trusted until it is verified.

    :ivar owner: incarnation that minted the key, the only one to grant it.
    :ivar start_token: token of the owner's start; it distinguishes two starts
        of an instance that have the same incarnation, as after the wall clock
        was set back.
    :ivar expires_ms: milliseconds of the owner's clock from which the key is
        not granted for the first time.
    :ivar nonce: identifier of the key within that start.
    :ivar secret_fingerprint: short digest of the secret that signed the key.
    :ivar signature: signature in hexadecimal.
    """

    owner: InstanceIdentity
    start_token: str
    expires_ms: int
    nonce: str
    secret_fingerprint: str
    signature: str


@frozen
class KeySigner:
    """Signs keys and handovers with the deployment's secret (HMAC-SHA256)."""

    _secret: bytes = field(repr=False)

    @property
    def secret_fingerprint(self) -> str:
        """Return a short digest that identifies the secret."""
        return self.sign('print')[:_FINGERPRINT_DIGITS]

    def sign(self, *fields: str) -> str:
        """Return the signature of some fields, in hexadecimal."""
        text = '\n'.join(fields).encode('utf-8', 'surrogatepass')
        return hmac.new(self._secret, text, hashlib.sha256).hexdigest()

    def write_key(
        self,
        owner: InstanceIdentity,
        start_token: str,
        organisation: str,
        expires_ms: int,
        nonce: str,
    ) -> str:
        """Return a new key, whose signature binds it to an organisation."""
        signed_fields = (
            owner.name,
            str(owner.incarnation),
            start_token,
            str(expires_ms),
            nonce,
        )
        signature = self.sign('key', organisation, *signed_fields)[
            :_SIGNATURE_DIGITS
        ]
        fields = (
            KEY_PREFIX,
            *signed_fields,
            self.secret_fingerprint,
            signature,
        )
        return _SEPARATOR.join(fields)

    def verify_key(self, key: MintedKey, organisation: str) -> SignatureStatus:
        """Verify that a key was minted for an organisation."""
        if key.secret_fingerprint != self.secret_fingerprint:
            return SignatureStatus.UNVERIFIABLE
        expected = self.sign(
            'key',
            organisation,
            key.owner.name,
            str(key.owner.incarnation),
            key.start_token,
            str(key.expires_ms),
            key.nonce,
        )[:_SIGNATURE_DIGITS]
        if hmac.compare_digest(
            expected.encode(),
            key.signature.encode('utf-8', 'surrogatepass'),
        ):
            return SignatureStatus.GENUINE
        return SignatureStatus.FORGED


def parse_key(text: str) -> MintedKey | None:
    """Parse a minted key; return ``None`` if the text is not one."""
    fields = text.split(_SEPARATOR)
    if len(fields) != _FIELD_COUNT or fields[0] != KEY_PREFIX:
        return None
    name, incarnation, start_token, expiry = fields[1:5]
    if not (_is_number(incarnation) and _is_number(expiry)):
        return None
    owner = InstanceIdentity(InstanceName(name), int(incarnation))
    return MintedKey(owner, start_token, int(expiry), *fields[5:])


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdecimal() and len(text) < 20


def make_key_signer(secret: str) -> KeySigner:
    """Return a signer for keys and handovers.

    :param secret: secret that all instances of the deployment share.
    """
    return KeySigner(secret.encode())
