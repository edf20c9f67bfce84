"""Composes and takes the messages between instances."""

from typing import Protocol

from attrs import define, evolve, field
from expression import Result

from trefoilhinge.conf.document import digest_text
from trefoilhinge.conf.generated.messages import PeerExchange
from trefoilhinge.conf.interfaces import DocumentKeeper
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
from trefoilhinge.limits.interfaces import Limiter
from trefoilhinge.membership.interfaces import Fleet
from trefoilhinge.node.handover import HandoverSender
from trefoilhinge.node.observations import Observations
from trefoilhinge.node.passing import WANT_DELTAS, DocumentPasses
from trefoilhinge.retries.interfaces import Ledger
from trefoilhinge.routing.interfaces import Router

# A small fleet talks to every peer; a large one sends less to stay in bounds.
SMALL_FLEET = 9
MAXIMUM_CHARGES = 64
MAXIMUM_DEMANDS = 32
CHARGES_OF_LARGE_FLEET = 8
DEMANDS_OF_LARGE_FLEET = 8
# News that comes in a burst is told together.
NEWS_INTERVAL_S = 0.2


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
    handover: HandoverSender
    _passes: DocumentPasses
    _told: tuple[int, str] = (0, '')
    _news_due_s: float = 0
    _observations: Observations = field(factory=Observations)
    codec: ExchangeCodec = field(factory=JsonCodec)

    def send(self, now: Instant) -> list[Effect]:
        """Return messages to the peers whose turn it is."""
        peers = self._fleet.choose_peers(now)
        if not peers:
            return []
        text = self.codec.write(self.compose(now))
        return [SendPeerMessage(name, address, text) for name, address in peers]

    def send_news(self, now: Instant) -> list[Effect]:
        """Return messages to peers if there is news that cannot wait."""
        if now.monotonic_s < self._news_due_s:
            return []
        told = (self._keeper.revision, self._keeper.digest)
        news = self._fleet.take_urgent_update() or told != self._told
        if news:
            self._news_due_s = now.monotonic_s + NEWS_INTERVAL_S
        self._told = told
        peers = self._fleet.choose_update_peers(now) if news else ()
        if not peers:
            return []
        text = self.codec.write(self._compose_news(now))
        return [SendPeerMessage(name, address, text) for name, address in peers]

    def send_handover(self, now: Instant) -> list[Effect]:
        """Return messages that hand the ledger to peers, while any is due."""
        return self.handover.send(self._compose_news(now), now)

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
        effects.append(AnswerPeer(event.token, self._answer(read.ok, now)))
        effects.extend(self._ask_document(read.ok, now))
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
        self.handover.note_answer(read.ok)
        if self._is_behind(read.ok) and self._passes.is_due(read.ok, now):
            effects.extend(self._pass_document(read.ok, now))
        effects.extend(self._ask_document(read.ok, now))
        return effects, before != self._keeper.digest

    def compose(self, now: Instant) -> PeerExchange:
        """Return this instance's message for peers, without a document."""
        small = self._fleet.count_expected() <= SMALL_FLEET
        demands = MAXIMUM_DEMANDS if small else DEMANDS_OF_LARGE_FLEET
        charges = MAXIMUM_CHARGES if small else CHARGES_OF_LARGE_FLEET
        return evolve(
            self._compose_news(now),
            whole=True,
            demands=self._limiter.list_demands(demands, now),
            charges=self._router.list_charges(charges),
        )

    def _compose_news(self, now: Instant) -> PeerExchange:
        return evolve(
            self._fleet.compose_exchange(now),
            revision=self._keeper.revision,
            digest=self._keeper.digest,
            refused=self._keeper.refused,
        )

    def _answer(self, exchange: PeerExchange, now: Instant) -> str:
        # Every peer of a small fleet sends its own whole message each round.
        small = self._fleet.count_expected() <= SMALL_FLEET
        answer = self._compose_news(now) if small else self.compose(now)
        if exchange.handover:
            # Adopted whatever the order in which parts arrive.
            if self._ledger.adopt_entries(exchange.handover, now):
                adopted = digest_text(exchange.handover)
                answer = evolve(answer, adopted=adopted)
        if self._is_behind(exchange):
            answer = self._attach_document(answer, exchange, now)
        return self.codec.write(answer)

    def _attach_document(
        self,
        answer: PeerExchange,
        exchange: PeerExchange,
        now: Instant,
    ) -> PeerExchange:
        deltas = ''
        if exchange.wanted == WANT_DELTAS:
            deltas = self._keeper.find_deltas(exchange.digest)
        if deltas:
            return evolve(answer, deltas=deltas)
        if exchange.wanted or self._passes.is_due(exchange, now):
            return evolve(answer, document=self._keeper.text)
        return answer

    def _take(self, exchange: PeerExchange, now: Instant) -> list[Effect]:
        self._observations.note_exchange(exchange, now)
        effects: list[Effect] = []
        source = f'peer:{exchange.sender}'
        if exchange.deltas:
            offered = self._keeper.offer_deltas(exchange.deltas, source, now)
            effects.extend(offered)
        if exchange.document:
            effects.extend(self._keeper.offer(exchange.document, source, now))
        if not self._fleet.note_exchange(exchange, now):
            return effects
        peer = InstanceName(exchange.sender)
        # A message of news alone says nothing of demands and charges.
        if exchange.whole:
            self._router.note_peer_charges(peer, exchange.charges, now)
            self._limiter.note_peer_demands(peer, exchange.demands, now)
        return effects

    def _is_behind(self, exchange: PeerExchange) -> bool:
        theirs = (exchange.revision, exchange.digest)
        return theirs < (self._keeper.revision, self._keeper.digest)

    def _ask_document(
        self,
        exchange: PeerExchange,
        now: Instant,
    ) -> list[Effect]:
        peer = InstanceName(exchange.sender)
        address = self._fleet.find_address(peer, exchange.incarnation)
        if address is None:
            return []
        wanted = self._passes.choose_want(exchange, now)
        if not wanted:
            return []
        message = evolve(self._compose_news(now), wanted=wanted)
        return [SendPeerMessage(peer, address, self.codec.write(message))]

    def _pass_document(
        self,
        exchange: PeerExchange,
        now: Instant,
    ) -> list[Effect]:
        peer = InstanceName(exchange.sender)
        address = self._fleet.find_address(peer, exchange.incarnation)
        if address is None:
            return []
        message = evolve(self._compose_news(now), document=self._keeper.text)
        return [SendPeerMessage(peer, address, self.codec.write(message))]


def _log_unreadable(problem: str) -> LogEvent:
    return LogEvent('peer_message_refused', (('problem', problem),))
