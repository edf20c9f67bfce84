"""Ledgers adopted from peers that stopped."""

from attrs import define, field

from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.identifiers import InstanceIdentity
from trefoilhinge.core.verdicts import Verdict
from trefoilhinge.retries.handover import HandedEntry, HandoverPart
from trefoilhinge.retries.minted import MintedKey

MAXIMUM_ADOPTED = 65_536

_Start = tuple[InstanceIdentity, str]


@define
class AdoptedLedger:
    """What one stopped owner handed over.

    :ivar parts: how many parts the whole has.
    :ivar owner_ms: the owner's clock at the handover.
    :ivar kept_until_s: monotonic seconds at which it may be forgotten.
    """

    parts: int
    owner_ms: int
    kept_until_s: float
    numbers: set[int] = field(factory=set)
    entries: dict[str, HandedEntry] = field(factory=dict)

    @property
    def complete(self) -> bool:
        """Return whether every part was adopted."""
        return len(self.numbers) == self.parts

    def find_verdict(self, key: MintedKey) -> Verdict:
        """Return what is known of a key of this owner.

        A key that is not in a complete ledger was never granted, unless the
        owner may have forgotten it because it had expired there.
        """
        entry = self.entries.get(key.nonce)
        if entry is not None:
            return entry.verdict
        if self.complete and key.expires_ms > self.owner_ms:
            return Verdict.NOT_RUN
        return Verdict.MAY_HAVE_RUN


@define
class AdoptedLedgers:
    """Bounded store of the ledgers of stopped peers."""

    _ledgers: dict[_Start, AdoptedLedger] = field(factory=dict)
    _count: int = 0

    def adopt(self, part: HandoverPart, window_s: float, now: Instant) -> bool:
        """Take one part; false if there is no room for it."""
        start = (part.identity, part.life)
        known = self._ledgers.get(start)
        if known is None:
            known = AdoptedLedger(part.parts, part.owner_ms, 0)
        if known.parts != part.parts or known.owner_ms != part.owner_ms:
            return False
        if part.number in known.numbers:
            return True
        if self._count + len(part.entries) + 1 > MAXIMUM_ADOPTED:
            return False
        self._ledgers[start] = known
        known.numbers.add(part.number)
        known.entries.update((one.nonce, one) for one in part.entries)
        known.kept_until_s = now.monotonic_s + window_s
        # An empty ledger takes room as well.
        self._count += len(part.entries) + 1
        return True

    def find(self, key: MintedKey) -> AdoptedLedger | None:
        """Return what a key's owner handed over, none if nothing was."""
        return self._ledgers.get((key.owner, key.life))

    def expire(self, now: Instant) -> None:
        """Forget ledgers whose window has passed."""
        for start, ledger in tuple(self._ledgers.items()):
            if ledger.kept_until_s <= now.monotonic_s:
                del self._ledgers[start]
                self._count -= len(ledger.entries) + len(ledger.numbers)
