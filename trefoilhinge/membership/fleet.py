"""What this instance knows of its peers and of targets."""

import numpy as np
import xxhash
from attrs import define, field

from trefoilhinge.conf.generated.document import Document
from trefoilhinge.conf.generated.messages import PeerExchange
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.events import InstancesListed
from trefoilhinge.core.identifiers import (
    InstanceIdentity,
    InstanceName,
    TargetName,
)
from trefoilhinge.membership.interfaces import TargetView
from trefoilhinge.membership.peers import (
    DIRECT_PEERS,
    INSTANCE_WORDS,
    SUSPECT_SILENCES,
    PeerBook,
    PeerStanding,
)
from trefoilhinge.membership.targets import TargetBook

FAN_OUT = 1
# A large fleet tells news at once and talks in every second round only.
ROUNDS_OF_LARGE_FLEET = 2
NEWS_FAN_OUT = 8
SEEDS_A_ROUND = 2
MAXIMUM_BACK_OFF_ROUNDS = 32
FORGET_ROUNDS = 16
LIVE_INTERVAL_S = 0.25
SEED_PREFIX = 'seed:'

Addresses = tuple[tuple[InstanceName, str], ...]


@define
class ExchangeFleet:
    """Keeps peers by what they say and targets by every word of them."""

    _identity: InstanceIdentity
    _address: str
    _seeds: tuple[str, ...]
    _generator: np.random.Generator
    _book: PeerBook
    _targets: TargetBook = field(factory=TargetBook)
    _stopping: bool = False
    _sequence: int = 0
    _round: int = 0
    _turn: list[InstanceName] = field(factory=list)
    _spoken: list[InstanceName] = field(factory=list)
    _live: frozenset[InstanceIdentity] = frozenset()
    _live_turn: tuple[int, float] | None = None

    def configure(self, document: Document, now: Instant) -> None:
        """Take the document's targets."""
        self._targets.configure(document)

    def note_listed(self, listed: InstancesListed, now: Instant) -> None:
        """Take the platform's lists; carry on without them."""
        if listed.instances is None:
            return
        addresses = {one.name: one.address for one in listed.instances}
        self._book.note_listed(addresses, now)
        self._targets.note_listed(listed.targets, now)

    def note_leaving(
        self,
        target: TargetName,
        incarnation: int,
        now: Instant,
    ) -> None:
        """Take that an incarnation of a target is leaving."""
        self._targets.note_leaving(target, incarnation, now)

    def note_incarnation(
        self,
        target: TargetName,
        incarnation: int,
        now: Instant,
    ) -> None:
        """Take a target's own incarnation."""
        self._targets.note_incarnation(target, incarnation)

    def list_targets(self, service: str) -> tuple[TargetView, ...]:
        """Return every target of a service, leaving ones marked."""
        return self._targets.list_targets(service)

    def take_changed_services(self) -> frozenset[str]:
        """Return the services whose targets changed since the last call."""
        return self._targets.take_changed_services()

    def take_news(self) -> bool:
        """Return whether something is to be told to peers at once."""
        return self._targets.take_news()

    def note_exchange(self, exchange: PeerExchange, now: Instant) -> bool:
        """Take a peer's message; false if it is older than one taken.

        That a target left stays true, however late the message comes.
        """
        for left in exchange.leaving:
            self.note_leaving(TargetName(left.target), left.incarnation, now)
        if not self._book.note_exchange(exchange, now):
            return False
        for word in exchange.instances:
            self._book.note_word(word, now)
        return True

    def note_peer_silent(self, peer: InstanceName, now: Instant) -> None:
        """Take that a peer did not answer here."""
        self._book.note_silent(peer)

    def find_standing(self, peer: InstanceName, now: Instant) -> PeerStanding:
        """Return what may be concluded of a known peer."""
        return self._book.find_standing(peer, now)

    def choose_peers(self, now: Instant) -> Addresses:
        """Return every peer of a small fleet, some of a large one in turn.

        Peers that do not answer are asked ever less often, and seeds of
        which no peer is heard are asked beside.
        """
        self._round += 1
        self._book.forget(now)
        if self._round % FORGET_ROUNDS == 0:
            self._targets.forget(now)
        fan_out = DIRECT_PEERS
        if len(self._book.peers) > DIRECT_PEERS:
            fan_out = FAN_OUT if self._round % ROUNDS_OF_LARGE_FLEET else 0
        chosen: list[InstanceName] = []
        tried = 0
        while len(chosen) < fan_out and tried < len(self._book.peers):
            tried += 1
            name = self._take_turn()
            if name not in chosen and self._is_due(name):
                chosen.append(name)
        return self._find_addresses(chosen) + self._choose_seeds(now)

    def choose_news_peers(self, now: Instant) -> Addresses:
        """Return peers to tell news to at once, at random."""
        names = [
            name
            for name, peer in self._book.peers.items()
            if peer.silences < SUSPECT_SILENCES
        ]
        if len(names) > NEWS_FAN_OUT:
            picked = self._generator.choice(
                len(names),
                NEWS_FAN_OUT,
                replace=False,
            )
            names = [names[at] for at in picked]
        return self._find_addresses(names)

    def list_successors(self, now: Instant) -> Addresses:
        """Return live peers that may answer for this instance, in order."""
        live = [
            name
            for name, peer in self._book.peers.items()
            if self._book.is_live(peer, now) and not peer.stopping
        ]
        live.sort(key=self._score)
        return self._find_addresses(live[:DIRECT_PEERS])

    def is_chosen(self, count: int, salt: str, now: Instant) -> bool:
        """Return whether this is one of ``count`` live instances by hash."""
        own = _hash(f'{salt}/{self._identity.name}')
        ahead = sum(
            _hash(f'{salt}/{name}') > own
            for name, peer in self._book.peers.items()
            if self._book.is_live(peer, now)
        )
        return ahead < count

    def list_live(self, now: Instant) -> frozenset[InstanceIdentity]:
        """Return the instances heard from, this one included.

        Asked many times a second, it is worked out anew when a peer comes,
        goes or is heard again, and otherwise a few times a second.
        """
        turn = (self._book.version, now.monotonic_s // LIVE_INTERVAL_S)
        if turn != self._live_turn:
            self._live_turn = turn
            live = {
                InstanceIdentity(name, peer.incarnation)
                for name, peer in self._book.peers.items()
                if self._book.is_live(peer, now)
            }
            self._live = frozenset((self._identity, *live))
        return self._live

    def count_expected(self) -> int:
        """Return how many instances there should be.

        A peer that went silent counts: it may serve behind a partition.
        """
        return 1 + len(self._book.peers)

    def find_address(
        self,
        peer: InstanceName,
        incarnation: int,
    ) -> str | None:
        """Return the address of one incarnation."""
        known = self._book.peers.get(peer)
        if known is None or known.incarnation != incarnation:
            return None
        return known.address

    def fill_exchange(self, now: Instant) -> PeerExchange:
        """Return this instance's message on instances and targets."""
        self._sequence += 1
        return PeerExchange(
            sender=self._identity.name,
            incarnation=self._identity.incarnation,
            sequence=self._sequence,
            address=self._address,
            revision=0,
            digest='',
            stopping=self._stopping,
            instances=tuple(self._book.list_words(self._take_spoken())),
            leaving=tuple(self._targets.list_words(now)),
        )

    def note_stopping(self) -> None:
        """Mark this instance as stopping."""
        self._stopping = True

    def _take_turn(self) -> InstanceName:
        self._turn = [one for one in self._turn if one in self._book.peers]
        if not self._turn:
            names = sorted(self._book.peers)
            order = self._generator.permutation(len(names))
            self._turn = [names[at] for at in order]
        return self._turn.pop()

    def _take_spoken(self) -> list[InstanceName]:
        words: list[InstanceName] = []
        if len(self._spoken) < INSTANCE_WORDS:
            self._spoken.extend(sorted(self._book.peers))
        while self._spoken and len(words) < INSTANCE_WORDS:
            name = self._spoken.pop(0)
            if name in self._book.peers and name not in words:
                words.append(name)
        return words

    def _is_due(self, name: InstanceName) -> bool:
        silences = self._book.peers[name].silences
        if silences < SUSPECT_SILENCES:
            return True
        every = min(
            2 ** (silences + 1 - SUSPECT_SILENCES), MAXIMUM_BACK_OFF_ROUNDS
        )
        return self._round % every == 0

    def _choose_seeds(self, now: Instant) -> Addresses:
        heard = {
            peer.address
            for peer in self._book.peers.values()
            if self._book.is_live(peer, now)
        }
        missing = [
            one
            for one in self._seeds
            if one not in heard and one != self._address
        ]
        if not missing:
            return ()
        start = (self._round * SEEDS_A_ROUND) % len(missing)
        turned = missing[start:] + missing[:start]
        return tuple(
            (InstanceName(f'{SEED_PREFIX}{one}'), one)
            for one in turned[:SEEDS_A_ROUND]
        )

    def _find_addresses(self, names: list[InstanceName]) -> Addresses:
        return tuple((one, self._book.peers[one].address) for one in names)

    def _score(self, name: InstanceName) -> int:
        return _hash(f'{self._identity.name}/{name}')


def _hash(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode())


def make_exchange_fleet(
    identity: InstanceIdentity,
    address: str,
    seeds: tuple[str, ...],
    seed: int = 0,
) -> ExchangeFleet:
    """Return a fleet that knows only this instance.

    :param address: ``host:port`` that peers reach this instance at.
    :param seeds: addresses of peers whose names are not known yet.
    :param seed: seed of the order in which peers are asked.
    """
    return ExchangeFleet(
        identity,
        address,
        seeds,
        np.random.default_rng(seed),
        PeerBook(identity),
    )
