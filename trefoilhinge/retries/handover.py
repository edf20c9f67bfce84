"""The ledger of a stopping instance, as it is handed to its peers.

A handover only settles: a peer that adopted it answers for the keys of the
owner that is gone and grants none of them.
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
    """What became of one key.

    :ivar body: first digits of the digest of the body it was used with.
    """

    nonce: str
    verdict: Verdict
    body: str


@frozen
class HandoverPart:
    """One part of the ledger of an owner that grants nothing any more.

    :ivar number: number of the part, from zero.
    :ivar parts: how many parts the whole ledger has.
    :ivar owner_ms: the owner's clock by which its keys expire; what expired
        before it may have been forgotten.
    :ivar code: signature under the deployment's secret.
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
        """Return the incarnation that handed its ledger over."""
        return InstanceIdentity(InstanceName(self.owner), self.incarnation)


def write_parts(
    owner: InstanceIdentity,
    start_token: str,
    handover_ms: int,
    entries: tuple[HandoverEntry, ...],
    signer: KeySigner,
) -> tuple[str, ...]:
    """Return the parts of a ledger as signed JSON texts; at least one."""
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
    """Read a part; none if it is unreadable or its signature is wrong."""
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
