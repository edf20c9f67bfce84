"""Hands the ledger of a stopping instance to its peers, part by part."""

from attrs import define, evolve, field

from trefoilhinge.conf.document import digest_text
from trefoilhinge.conf.generated.messages import PeerExchange
from trefoilhinge.conf.messages import write_exchange
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.effects import Effect, SendPeerMessage
from trefoilhinge.core.identifiers import InstanceName
from trefoilhinge.membership.interfaces import Fleet
from trefoilhinge.retries.interfaces import Ledger

HANDOVER_TIMEOUT_S = 10.0
SEND_INTERVAL_S = 0.5
MAXIMUM_UNCONFIRMED_PARTS = 4


@define
class HandoverSender:
    """Offers every part to each peer until one peer has them all.

    :ivar begun_s: monotonic seconds at which the ledger was sealed.
    """

    _ledger: Ledger
    _fleet: Fleet
    started_s: float | None = None
    _parts: dict[str, str] = field(factory=dict)
    _adopted: dict[InstanceName, set[str]] = field(factory=dict)
    _due_s: float = 0

    def note_answer(self, exchange: PeerExchange) -> None:
        """Take a peer's confirmation of a part."""
        if exchange.adopted in self._parts:
            peer = InstanceName(exchange.sender)
            self._adopted.setdefault(peer, set()).add(exchange.adopted)

    def is_done(self, now: Instant) -> bool:
        """Return whether a peer adopted everything, or time is out."""
        if self.started_s is None:
            return False
        if now.monotonic_s - self.started_s >= HANDOVER_TIMEOUT_S:
            return True
        part_count = len(self._parts)
        adopted = self._adopted.values()
        return not part_count or any(len(one) == part_count for one in adopted)

    def send(self, message: PeerExchange, now: Instant) -> list[Effect]:
        """Seal the ledger once; return messages with parts that are due.

        :param words: this instance's message, without a part.
        """
        if self.started_s is None:
            self.started_s = now.monotonic_s
            parts = self._ledger.export_entries(now)
            self._parts = {digest_text(one): one for one in parts}
        if now.monotonic_s < self._due_s:
            return []
        self._due_s = now.monotonic_s + SEND_INTERVAL_S
        return [
            SendPeerMessage(
                name,
                address,
                write_exchange(evolve(message, handover=text)),
            )
            for name, address in self._fleet.list_successors(now)
            for text in self._list_missing(name)
        ]

    def _list_missing(self, peer: InstanceName) -> list[str]:
        adopted = self._adopted.get(peer, set())
        missing = [
            text
            for digest, text in self._parts.items()
            if digest not in adopted
        ]
        return missing[:MAXIMUM_UNCONFIRMED_PARTS]
