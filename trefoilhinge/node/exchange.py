"""Composes and handles the messages between instances."""

from typing import Protocol

from attrs import define, evolve, field
from expression import Result

from trefoilhinge.conf.document import digest_text
from trefoilhinge.conf.generated.messages import PeerExchange
from trefoilhinge.conf.interfaces import DocumentReplica
from trefoilhinge.conf.messages import decode_exchange, encode_exchange
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.effects import (
    AnswerPeer,
    Effect,
    LogEvent,
    SendPeerMessage,
)
from trefoilhinge.core.events import PeerAnswered, PeerMessageReceived
from trefoilhinge.core.identifiers import InstanceName
from trefoilhinge.limits.interfaces import Limiter
from trefoilhinge.membership.interfaces import Fleet
from trefoilhinge.node.document_transfers import (
    REQUEST_DELTAS,
    DocumentTransfers,
)
from trefoilhinge.node.handover import HandoverSender
from trefoilhinge.node.observations import Observations
from trefoilhinge.retries.interfaces import Ledger
from trefoilhinge.routing.interfaces import Router

# An instance of a small fleet, with up to MAXIMUM_DIRECT_PEERS peers, sends to
# every peer. In a larger fleet messages carry fewer entries, which bounds the
# traffic of an instance.
SMALL_FLEET_INSTANCES = 9
MAXIMUM_CHARGES = 64
MAXIMUM_DEMANDS = 32
LARGE_FLEET_MAXIMUM_CHARGES = 8
LARGE_FLEET_MAXIMUM_DEMANDS = 8
# Updates within this interval are sent in one message.
UPDATE_INTERVAL_S = 0.2


class ExchangeCodec(Protocol):
    """Encodes and decodes messages between instances."""

    def write(self, exchange: PeerExchange) -> str:
        """Return the encoded message."""
        ...

    def read(self, text: str) -> Result[PeerExchange, str]:
        """Return the decoded message, or the reason why it is invalid."""
        ...


@define
class JsonCodec:
    """Encodes messages as JSON and validates them against their schema."""

    def write(self, exchange: PeerExchange) -> str:
        """Return a message as JSON."""
        return encode_exchange(exchange)

    def read(self, text: str) -> Result[PeerExchange, str]:
        """Return the decoded message, or the reason why it is invalid."""
        return decode_exchange(text)


@define
class PeerExchanger:
    """Composes messages from the state of the apps and applies those of peers.

    :ivar _sent_version: revision and digest of the document that peers were
        last informed of.
    :ivar handover: sender of this instance's ledger, used while it stops.
    :ivar codec: encoding of messages.
    """

    _fleet: Fleet
    _router: Router
    _limiter: Limiter
    _ledger: Ledger
    _document_replica: DocumentReplica
    handover: HandoverSender
    _transfers: DocumentTransfers
    _sent_version: tuple[int, str] = (0, '')
    _update_due_s: float = 0
    _observations: Observations = field(factory=Observations)
    codec: ExchangeCodec = field(factory=JsonCodec)

    def send(self, now: Instant) -> list[Effect]:
        """Return periodic messages to the peers that are due."""
        peers = self._fleet.choose_peers(now)
        if not peers:
            return []
        text = self.codec.write(self.compose(now))
        return [SendPeerMessage(name, address, text) for name, address in peers]

    def send_updates(self, now: Instant) -> list[Effect]:
        """Return messages to peers if there are urgent updates."""
        if now.monotonic_s < self._update_due_s:
            return []
        version = (
            self._document_replica.revision,
            self._document_replica.digest,
        )
        has_updates = (
            self._fleet.take_urgent_update() or version != self._sent_version
        )
        if has_updates:
            self._update_due_s = now.monotonic_s + UPDATE_INTERVAL_S
        self._sent_version = version
        peers = self._fleet.choose_update_peers(now) if has_updates else ()
        if not peers:
            return []
        text = self.codec.write(self._compose_update(now))
        return [SendPeerMessage(name, address, text) for name, address in peers]

    def send_handover(self, now: Instant) -> list[Effect]:
        """Return messages with parts of the ledger that are due to peers."""
        return self.handover.send(self._compose_update(now), now)

    def receive(
        self,
        event: PeerMessageReceived,
        now: Instant,
    ) -> tuple[list[Effect], bool]:
        """Handle a message of a peer and reply to it.

        :return: effects, and whether the document in force changed.
        """
        read = self.codec.read(event.text)
        if read.is_error():
            return [
                _log_unreadable(read.error),
                AnswerPeer(event.reply_token, ''),
            ], False
        before = self._document_replica.digest
        effects = self._apply(read.ok, now)
        effects.append(
            AnswerPeer(event.reply_token, self._compose_reply(read.ok, now))
        )
        effects.extend(self._request_document(read.ok, now))
        return effects, before != self._document_replica.digest

    def receive_reply(
        self,
        event: PeerAnswered,
        now: Instant,
    ) -> tuple[list[Effect], bool]:
        """Handle the reply of a peer, or its absence.

        :return: effects, and whether the document in force changed.
        """
        if event.text is None:
            self._fleet.note_peer_silent(event.peer, now)
            return [], False
        read = self.codec.read(event.text)
        if read.is_error():
            return [_log_unreadable(read.error)], False
        before = self._document_replica.digest
        effects = self._apply(read.ok, now)
        self.handover.note_reply(read.ok)
        if self._is_behind(read.ok) and self._transfers.is_push_due(
            read.ok, now
        ):
            effects.extend(self._push_document(read.ok, now))
        effects.extend(self._request_document(read.ok, now))
        return effects, before != self._document_replica.digest

    def compose(self, now: Instant) -> PeerExchange:
        """Return the full periodic message, without a document."""
        small = self._fleet.count_expected() <= SMALL_FLEET_INSTANCES
        demands = MAXIMUM_DEMANDS if small else LARGE_FLEET_MAXIMUM_DEMANDS
        charges = MAXIMUM_CHARGES if small else LARGE_FLEET_MAXIMUM_CHARGES
        return evolve(
            self._compose_update(now),
            whole=True,
            demands=self._limiter.list_demands(demands, now),
            charges=self._router.list_charges(charges),
        )

    def _compose_update(self, now: Instant) -> PeerExchange:
        return evolve(
            self._fleet.compose_exchange(now),
            revision=self._document_replica.revision,
            digest=self._document_replica.digest,
            refused=self._document_replica.refused_digest,
        )

    def _compose_reply(self, exchange: PeerExchange, now: Instant) -> str:
        # In a small fleet every instance sends its full message to all peers in
        # each round, so the reply need not repeat it.
        small = self._fleet.count_expected() <= SMALL_FLEET_INSTANCES
        reply = self._compose_update(now) if small else self.compose(now)
        if exchange.handover:
            # Parts are adopted in any order of arrival.
            if self._ledger.adopt_entries(exchange.handover, now):
                adopted = digest_text(exchange.handover)
                reply = evolve(reply, adopted=adopted)
        if self._is_behind(exchange):
            reply = self._attach_document(reply, exchange, now)
        return self.codec.write(reply)

    def _attach_document(
        self,
        reply: PeerExchange,
        exchange: PeerExchange,
        now: Instant,
    ) -> PeerExchange:
        deltas = ''
        if exchange.wanted == REQUEST_DELTAS:
            deltas = self._document_replica.find_deltas(exchange.digest)
        if deltas:
            return evolve(reply, deltas=deltas)
        if exchange.wanted or self._transfers.is_push_due(exchange, now):
            return evolve(reply, document=self._document_replica.text)
        return reply

    def _apply(self, exchange: PeerExchange, now: Instant) -> list[Effect]:
        self._observations.note_exchange(exchange, now)
        effects: list[Effect] = []
        source = f'peer:{exchange.sender}'
        if exchange.deltas:
            merge_effects = self._document_replica.merge_deltas(
                exchange.deltas, source, now
            )
            effects.extend(merge_effects)
        if exchange.document:
            effects.extend(
                self._document_replica.merge_text(
                    exchange.document, source, now
                )
            )
        if not self._fleet.note_exchange(exchange, now):
            return effects
        peer = InstanceName(exchange.sender)
        # A message of urgent updates carries no demands and charges.
        if exchange.whole:
            self._router.note_peer_charges(peer, exchange.charges, now)
            self._limiter.note_peer_demands(peer, exchange.demands, now)
        return effects

    def _is_behind(self, exchange: PeerExchange) -> bool:
        peer_version = (exchange.revision, exchange.digest)
        return peer_version < (
            self._document_replica.revision,
            self._document_replica.digest,
        )

    def _request_document(
        self,
        exchange: PeerExchange,
        now: Instant,
    ) -> list[Effect]:
        peer = InstanceName(exchange.sender)
        address = self._fleet.find_address(peer, exchange.incarnation)
        if address is None:
            return []
        wanted = self._transfers.choose_request(exchange, now)
        if not wanted:
            return []
        message = evolve(self._compose_update(now), wanted=wanted)
        return [SendPeerMessage(peer, address, self.codec.write(message))]

    def _push_document(
        self,
        exchange: PeerExchange,
        now: Instant,
    ) -> list[Effect]:
        peer = InstanceName(exchange.sender)
        address = self._fleet.find_address(peer, exchange.incarnation)
        if address is None:
            return []
        message = evolve(
            self._compose_update(now), document=self._document_replica.text
        )
        return [SendPeerMessage(peer, address, self.codec.write(message))]


def _log_unreadable(problem: str) -> LogEvent:
    return LogEvent('peer_message_refused', (('problem', problem),))
