"""Idempotency keys that name the incarnation which minted them.

A key reads
``thk~<instance>~<incarnation>~<life>~<expiry>~<nonce>~<print>~<code>``.
The print tells under which secret the code was made, so that a key of a
replaced secret is told from a forged one.
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
    """What the signature of a key proves."""

    GENUINE = 'genuine'
    FORGED = 'forged'
    # It was signed under a secret that this instance does not have.
    UNVERIFIABLE = 'unverifiable'


@frozen
class MintedKey:
    """A key as its text states it; only a genuine one is to be believed.

    :ivar owner: incarnation that minted the key and alone may grant it.
    :ivar expires_ms: milliseconds of the owner's clock from which it is not
        granted for the first time.
    :ivar life: token of the owner's start; it tells two starts of one name
        whose clocks showed the same.
    :ivar nonce: name of the key within that start.
    """

    owner: InstanceIdentity
    start_token: str
    expires_ms: int
    nonce: str
    secret_fingerprint: str
    signature: str


@frozen
class KeySigner:
    """Signs keys and handovers with the deployment's secret."""

    _secret: bytes = field(repr=False)

    @property
    def secret_fingerprint(self) -> str:
        """Return a short digest that tells one secret from another."""
        return self.sign('print')[:_FINGERPRINT_DIGITS]

    def sign(self, *fields: str) -> str:
        """Return the code of some words, in hexadecimal."""
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
        """Return the text of a new key that binds an organisation."""
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
        """Return whether a key was minted here for an organisation."""
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
    """Read a minted key; none if the text has not the form of one."""
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
    """Return a signer.

    :param secret: secret shared by the deployment's instances.
    """
    return KeySigner(secret.encode())
