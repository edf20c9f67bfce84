"""Hands the ledger of a stopping instance over to its peers in parts."""

from attrs import define, evolve, field

from trefoilhinge.conf.document import digest_text
from trefoilhinge.conf.generated.messages import PeerExchange
from trefoilhinge.conf.messages import encode_exchange
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
    """Sends every part to each successor until one of them has adopted all.

    :ivar started_s: monotonic seconds at which the ledger was sealed, ``None``
        before.
    """

    _ledger: Ledger
    _fleet: Fleet
    started_s: float | None = None
    _parts: dict[str, str] = field(factory=dict)
    _adopted: dict[InstanceName, set[str]] = field(factory=dict)
    _due_s: float = 0

    def note_reply(self, exchange: PeerExchange) -> None:
        """Record a peer's confirmation that it adopted a part."""
        if exchange.adopted in self._parts:
            peer = InstanceName(exchange.sender)
            self._adopted.setdefault(peer, set()).add(exchange.adopted)

    def is_done(self, now: Instant) -> bool:
        """Return whether a peer adopted all parts or the timeout expired."""
        if self.started_s is None:
            return False
        if now.monotonic_s - self.started_s >= HANDOVER_TIMEOUT_S:
            return True
        part_count = len(self._parts)
        adopted = self._adopted.values()
        return not part_count or any(len(one) == part_count for one in adopted)

    def count_unadopted(self) -> int:
        """Return the number of parts that the best successor has not adopted.

        Before the ledger was sealed there are none.
        """
        adopted = max(map(len, self._adopted.values()), default=0)
        return len(self._parts) - adopted

    def send(self, message: PeerExchange, now: Instant) -> list[Effect]:
        """Return messages with the parts that are due.

        The first call seals the ledger.

        :param message: base message of this instance, without a part.
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
                encode_exchange(evolve(message, handover=text)),
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
