"""Composes and takes the messages between instances."""

from typing import Protocol

from attrs import define, evolve, field
from expression import Result

from trefoilhinge.conf.generated.messages import PeerExchange
from trefoilhinge.conf.messages import read_exchange, write_exchange
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.effects import (
    AnswerPeer,
    Effect,
    LogEvent,
    SendPeerMessage,
)
from trefoilhinge.core.events import PeerAnswered, PeerMessageReceived
from trefoilhinge.core.identifiers import InstanceName
from trefoilhinge.node.parts import (
    DocumentKeeper,
    Fleet,
    Ledger,
    Limiter,
    Router,
)

MAXIMUM_CHARGES = 64
MAXIMUM_DEMANDS = 32


class ExchangeCodec(Protocol):
    """Turns messages between instances into text and back."""

    def write(self, exchange: PeerExchange) -> str:
        """Return a message as text."""
        ...

    def read(self, text: str) -> Result[PeerExchange, str]:
        """Return the message, or what is wrong with its text."""
        ...


@define
class JsonCodec:
    """Writes messages as JSON and checks them against their schema."""

    def write(self, exchange: PeerExchange) -> str:
        """Return a message as JSON."""
        return write_exchange(exchange)

    def read(self, text: str) -> Result[PeerExchange, str]:
        """Return the message, or what is wrong with its text."""
        return read_exchange(text)


@define
class PeerExchanger:
    """Gathers each app's words for peers and hands theirs to each app."""

    _fleet: Fleet
    _router: Router
    _limiter: Limiter
    _ledger: Ledger
    _keeper: DocumentKeeper
    codec: ExchangeCodec = field(factory=JsonCodec)

    def send(self, now: Instant) -> list[Effect]:
        """Return messages to the peers whose turn it is."""
        peers = self._fleet.choose_peers(now)
        if not peers:
            return []
        text = self.codec.write(self.compose(now))
        return [SendPeerMessage(name, address, text) for name, address in peers]

    def send_handover(self, now: Instant) -> list[Effect]:
        """Return messages that hand the ledger to every live peer."""
        exchange = evolve(
            self.compose(now),
            handover=self._ledger.export_entries(now),
        )
        text = self.codec.write(exchange)
        peers = self._fleet.choose_peers(now)
        return [SendPeerMessage(name, address, text) for name, address in peers]

    def receive(
        self,
        event: PeerMessageReceived,
        now: Instant,
    ) -> tuple[list[Effect], bool]:
        """Take a peer's message and answer it.

        :return: effects, and whether the document in force changed.
        """
        read = self.codec.read(event.text)
        if read.is_error():
            return [
                _log_unreadable(read.error),
                AnswerPeer(event.token, ''),
            ], False
        before = self._keeper.digest
        effects = self._take(read.ok, now)
        answer = self.compose(now)
        if self._is_behind(read.ok):
            answer = evolve(answer, document=self._keeper.text)
        effects.append(AnswerPeer(event.token, self.codec.write(answer)))
        return effects, before != self._keeper.digest

    def take_answer(
        self,
        event: PeerAnswered,
        now: Instant,
    ) -> tuple[list[Effect], bool]:
        """Take a peer's answer, or its silence."""
        if event.text is None:
            self._fleet.note_peer_silent(event.peer, now)
            return [], False
        read = self.codec.read(event.text)
        if read.is_error():
            return [_log_unreadable(read.error)], False
        before = self._keeper.digest
        effects = self._take(read.ok, now)
        if self._is_behind(read.ok):
            effects.extend(self._pass_document(event.peer, read.ok, now))
        return effects, before != self._keeper.digest

    def compose(self, now: Instant) -> PeerExchange:
        """Return this instance's word for a peer, without a document."""
        return evolve(
            self._fleet.fill_exchange(now),
            revision=self._keeper.revision,
            digest=self._keeper.digest,
            demands=self._limiter.list_demands(MAXIMUM_DEMANDS, now),
            charges=self._router.list_charges(MAXIMUM_CHARGES),
        )

    def _take(self, exchange: PeerExchange, now: Instant) -> list[Effect]:
        effects: list[Effect] = []
        if exchange.document:
            source = f'peer:{exchange.sender}'
            effects.extend(self._keeper.offer(exchange.document, source, now))
        if not self._fleet.note_exchange(exchange, now):
            return effects
        peer = InstanceName(exchange.sender)
        self._router.note_peer_charges(peer, exchange.charges, now)
        self._limiter.note_peer_demands(peer, exchange.demands, now)
        if exchange.handover:
            self._ledger.adopt_entries(exchange.handover, now)
        return effects

    def _is_behind(self, exchange: PeerExchange) -> bool:
        theirs = (exchange.revision, exchange.digest)
        return theirs < (self._keeper.revision, self._keeper.digest)

    def _pass_document(
        self,
        peer: InstanceName,
        exchange: PeerExchange,
        now: Instant,
    ) -> list[Effect]:
        address = self._fleet.find_address(peer, exchange.incarnation)
        if address is None:
            return []
        message = evolve(self.compose(now), document=self._keeper.text)
        return [SendPeerMessage(peer, address, self.codec.write(message))]


def _log_unreadable(problem: str) -> LogEvent:
    return LogEvent('peer_message_refused', (('problem', problem),))
