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

PREFIX = 'thk'
_SEPARATOR = '~'
_PARTS = 8
_CODE_DIGITS = 32
_PRINT_DIGITS = 8


class KeyStanding(enum.Enum):
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
    life: str
    expires_ms: int
    nonce: str
    secret_print: str
    code: str


@frozen
class KeySigner:
    """Signs keys and handovers with the deployment's secret."""

    _secret: bytes = field(repr=False)

    @property
    def secret_print(self) -> str:
        """Return a short digest that tells one secret from another."""
        return self.sign('print')[:_PRINT_DIGITS]

    def sign(self, *words: str) -> str:
        """Return the code of some words, in hexadecimal."""
        text = '\n'.join(words).encode('utf-8', 'surrogatepass')
        return hmac.new(self._secret, text, hashlib.sha256).hexdigest()

    def write_key(
        self,
        owner: InstanceIdentity,
        life: str,
        organisation: str,
        expires_ms: int,
        nonce: str,
    ) -> str:
        """Return the text of a new key that binds an organisation."""
        stated = (
            owner.name,
            str(owner.incarnation),
            life,
            str(expires_ms),
            nonce,
        )
        code = self.sign('key', organisation, *stated)[:_CODE_DIGITS]
        parts = (PREFIX, *stated, self.secret_print, code)
        return _SEPARATOR.join(parts)

    def check_key(self, key: MintedKey, organisation: str) -> KeyStanding:
        """Return whether a key was minted here for an organisation."""
        if key.secret_print != self.secret_print:
            return KeyStanding.UNVERIFIABLE
        expected = self.sign(
            'key',
            organisation,
            key.owner.name,
            str(key.owner.incarnation),
            key.life,
            str(key.expires_ms),
            key.nonce,
        )[:_CODE_DIGITS]
        if hmac.compare_digest(
            expected.encode(),
            key.code.encode('utf-8', 'surrogatepass'),
        ):
            return KeyStanding.GENUINE
        return KeyStanding.FORGED


def parse_key(text: str) -> MintedKey | None:
    """Read a minted key; none if the text has not the form of one."""
    parts = text.split(_SEPARATOR)
    if len(parts) != _PARTS or parts[0] != PREFIX:
        return None
    name, incarnation, life, expiry = parts[1:5]
    if not (_is_number(incarnation) and _is_number(expiry)):
        return None
    owner = InstanceIdentity(InstanceName(name), int(incarnation))
    return MintedKey(owner, life, int(expiry), *parts[5:])


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdecimal() and len(text) < 20


def make_key_signer(secret: str) -> KeySigner:
    """Return a signer.

    :param secret: secret shared by the deployment's instances.
    """
    return KeySigner(secret.encode())
