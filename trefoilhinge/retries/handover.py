"""Wire format of the ledger that a stopping instance hands to its peers.

A peer that adopts a ledger responds from it to requests for the keys of the
stopped owner, but never grants them.
"""

import hmac
import json
from collections.abc import Mapping

import cattrs
from attrs import evolve, frozen

from trefoilhinge.core.identifiers import InstanceIdentity, InstanceName
from trefoilhinge.core.verdicts import Verdict
from trefoilhinge.retries.idempotency_keys import KeySigner

ENTRIES_PER_PART = 1000
MAXIMUM_PARTS = 256
_DECODE_ERRORS = (ValueError, TypeError, KeyError, cattrs.BaseValidationError)


@frozen
class HandoverEntry:
    """Outcome of one key.

    :ivar nonce: nonce of the key.
    :ivar verdict: whether the call of the key ran.
    :ivar body: first hexadecimal digits of the digest of the call's body.
    """

    nonce: str
    verdict: Verdict
    body: str


@frozen
class HandoverPart:
    """One part of a sealed ledger.

    :ivar owner: name of the owner.
    :ivar incarnation: incarnation of the owner.
    :ivar life: start token of the owner.
    :ivar number: index of the part, from zero.
    :ivar parts: number of parts of the ledger.
    :ivar owner_ms: milliseconds of the owner's clock at the handover; keys
        that expired before may have been dropped from the ledger.
    :ivar entries: entries of this part.
    :ivar code: signature with the deployment's secret, in hexadecimal.
    """

    owner: str
    incarnation: int
    life: str
    number: int
    parts: int
    owner_ms: int
    entries: tuple[HandoverEntry, ...]
    code: str = ''

    @property
    def identity(self) -> InstanceIdentity:
        """Return the identity of the owner."""
        return InstanceIdentity(InstanceName(self.owner), self.incarnation)


def write_parts(
    owner: InstanceIdentity,
    start_token: str,
    handover_ms: int,
    entries: tuple[HandoverEntry, ...],
    signer: KeySigner,
) -> tuple[str, ...]:
    """Return a ledger as one or more signed parts in JSON.

    :param start_token: start token of the owner.
    :param handover_ms: milliseconds of the owner's clock.
    """
    offsets = range(0, max(1, len(entries)), ENTRIES_PER_PART)
    return tuple(
        _write_signed(
            HandoverPart(
                owner.name,
                owner.incarnation,
                start_token,
                number,
                len(offsets),
                handover_ms,
                entries[offset : offset + ENTRIES_PER_PART],
            ),
            signer,
        )
        for number, offset in enumerate(offsets)
    )


def read_part(text: str, signer: KeySigner) -> HandoverPart | None:
    """Read a part from JSON.

    :return: the part, ``None`` if it is malformed or its signature is wrong.
    """
    try:
        part = cattrs.structure(json.loads(text), HandoverPart)
    except _DECODE_ERRORS:
        return None
    expected = _sign(part, signer)
    presented = part.code.encode('utf-8', 'surrogatepass')
    if not hmac.compare_digest(expected.encode(), presented):
        return None
    if part.parts > MAXIMUM_PARTS or not 0 <= part.number < part.parts:
        return None
    return part


def _write_signed(part: HandoverPart, signer: KeySigner) -> str:
    return _write(evolve(part, code=_sign(part, signer)))


def _sign(part: HandoverPart, signer: KeySigner) -> str:
    return signer.sign('handover', _write(evolve(part, code='')))


def _write(part: HandoverPart) -> str:
    fields: Mapping[str, object] = cattrs.unstructure(part)
    return json.dumps(fields, separators=(',', ':'), sort_keys=True)
