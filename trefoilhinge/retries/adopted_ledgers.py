"""Ledgers adopted from peers that stopped."""

from attrs import define, field

from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.identifiers import InstanceIdentity
from trefoilhinge.core.verdicts import Verdict
from trefoilhinge.retries.handover import HandoverEntry, HandoverPart
from trefoilhinge.retries.idempotency_keys import MintedKey

MAXIMUM_ADOPTED_ENTRIES = 65_536

_LedgerId = tuple[InstanceIdentity, str]


@define
class AdoptedLedger:
    """What one stopped owner handed over.

    :ivar parts: how many parts the whole has.
    :ivar owner_ms: the owner's clock at the handover.
    :ivar kept_until_s: monotonic seconds at which it may be forgotten.
    """

    part_count: int
    handover_ms: int
    expires_s: float
    received_parts: set[int] = field(factory=set)
    entries: dict[str, HandoverEntry] = field(factory=dict)

    @property
    def is_complete(self) -> bool:
        """Return whether every part was adopted."""
        return len(self.received_parts) == self.part_count

    def find_verdict(self, key: MintedKey) -> Verdict:
        """Return what is known of a key of this owner.

        A key that is not in a complete ledger was never granted, unless the
        owner may have forgotten it because it had expired there.
        """
        entry = self.entries.get(key.nonce)
        if entry is not None:
            return entry.verdict
        if self.is_complete and key.expires_ms > self.handover_ms:
            return Verdict.NOT_RUN
        return Verdict.MAY_HAVE_RUN


@define
class AdoptedLedgerStore:
    """Bounded store of the ledgers of stopped peers."""

    _ledgers: dict[_LedgerId, AdoptedLedger] = field(factory=dict)
    _entry_count: int = 0

    def adopt(
        self, part: HandoverPart, retention_s: float, now: Instant
    ) -> bool:
        """Take one part; false if there is no room for it."""
        ledger_id = (part.identity, part.life)
        ledger = self._ledgers.get(ledger_id)
        if ledger is None:
            ledger = AdoptedLedger(part.parts, part.owner_ms, 0)
        if (
            ledger.part_count != part.parts
            or ledger.handover_ms != part.owner_ms
        ):
            return False
        if part.number in ledger.received_parts:
            return True
        if self._entry_count + len(part.entries) + 1 > MAXIMUM_ADOPTED_ENTRIES:
            return False
        self._ledgers[ledger_id] = ledger
        ledger.received_parts.add(part.number)
        ledger.entries.update((entry.nonce, entry) for entry in part.entries)
        ledger.expires_s = now.monotonic_s + retention_s
        # An empty ledger takes room as well.
        self._entry_count += len(part.entries) + 1
        return True

    def find(self, key: MintedKey) -> AdoptedLedger | None:
        """Return what a key's owner handed over, none if nothing was."""
        return self._ledgers.get((key.owner, key.start_token))

    def expire(self, now: Instant) -> None:
        """Forget ledgers whose window has passed."""
        for ledger_id, ledger in tuple(self._ledgers.items()):
            if ledger.expires_s <= now.monotonic_s:
                del self._ledgers[ledger_id]
                self._entry_count -= len(ledger.entries) + len(
                    ledger.received_parts
                )
