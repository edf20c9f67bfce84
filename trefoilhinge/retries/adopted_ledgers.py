"""Ledgers adopted from stopped peers."""

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
    """Ledger of one stopped owner.

    :ivar part_count: number of parts of the complete ledger.
    :ivar handover_ms: milliseconds of the owner's clock at the handover.
    :ivar expires_s: monotonic seconds at which the ledger may be dropped.
    :ivar received_parts: numbers of the parts that were adopted.
    :ivar entries: entries of the adopted parts, by nonce of the key.
    """

    part_count: int
    handover_ms: int
    expires_s: float
    received_parts: set[int] = field(factory=set)
    entries: dict[str, HandoverEntry] = field(factory=dict)

    @property
    def is_complete(self) -> bool:
        """Return whether all parts were adopted."""
        return len(self.received_parts) == self.part_count

    def find_verdict(self, key: MintedKey) -> Verdict:
        """Return the verdict on a key of this owner.

        A key that is missing from a complete ledger was never granted, unless
        it had expired at the owner, which may have dropped its entry.
        """
        entry = self.entries.get(key.nonce)
        if entry is not None:
            return entry.verdict
        if self.is_complete and key.expires_ms > self.handover_ms:
            return Verdict.NOT_RUN
        return Verdict.MAY_HAVE_RUN


@define
class AdoptedLedgerStore:
    """Bounded store of the ledgers of stopped peers.

    Once it is full, further parts are rejected and nothing is evicted.
    """

    _ledgers: dict[_LedgerId, AdoptedLedger] = field(factory=dict)
    _entry_count: int = 0

    def adopt(
        self, part: HandoverPart, retention_s: float, now: Instant
    ) -> bool:
        """Store one part of a ledger.

        :param retention_s: seconds for which to keep the ledger from now on.
        :return: false if the part does not match the parts received before
            or the store is full.
        """
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
        # Each part counts as one entry more, as an empty part uses memory too.
        self._entry_count += len(part.entries) + 1
        return True

    def find(self, key: MintedKey) -> AdoptedLedger | None:
        """Return the ledger of a key's owner, ``None`` if none was adopted."""
        return self._ledgers.get((key.owner, key.start_token))

    def expire(self, now: Instant) -> None:
        """Drop ledgers whose retention period has passed."""
        for ledger_id, ledger in tuple(self._ledgers.items()):
            if ledger.expires_s <= now.monotonic_s:
                del self._ledgers[ledger_id]
                self._entry_count -= len(ledger.entries) + len(
                    ledger.received_parts
                )
