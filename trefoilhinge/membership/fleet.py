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
    GOSSIPED_PEERS,
    MAXIMUM_DIRECT_PEERS,
    UNANSWERED_LIMIT,
    PeerState,
    PeerTable,
)
from trefoilhinge.membership.targets import TargetTable

LARGE_FLEET_FAN_OUT = 1
# A large fleet tells news at once and talks in every second round only.
LARGE_FLEET_SKIP_INTERVAL_ROUNDS = 2
URGENT_FAN_OUT = 8
SEEDS_PER_ROUND = 2
MAXIMUM_BACKOFF_ROUNDS = 32
TARGET_EXPIRY_INTERVAL_ROUNDS = 16
LIVE_CACHE_INTERVAL_S = 0.25
SEED_NAME_PREFIX = 'seed:'

PeerAddresses = tuple[tuple[InstanceName, str], ...]


@define
class GossipFleet:
    """Keeps peers by what they say and targets by every word of them."""

    _identity: InstanceIdentity
    _address: str
    _seeds: tuple[str, ...]
    _generator: np.random.Generator
    _peer_table: PeerTable
    _target_table: TargetTable = field(factory=TargetTable)
    _stopping: bool = False
    _sequence: int = 0
    _round: int = 0
    _rotation: list[InstanceName] = field(factory=list)
    _gossip_queue: list[InstanceName] = field(factory=list)
    _live_cache: frozenset[InstanceIdentity] = frozenset()
    _live_cache_key: tuple[int, float] | None = None

    def configure(self, document: Document, now: Instant) -> None:
        """Take the document's targets."""
        self._target_table.configure(document)

    def note_listed(self, listed: InstancesListed, now: Instant) -> None:
        """Take the platform's lists; carry on without them."""
        if listed.instances is None:
            return
        addresses = {one.name: one.address for one in listed.instances}
        self._peer_table.note_listed(addresses, now)
        self._target_table.note_listed(listed.targets, now)

    def note_leaving(
        self,
        target: TargetName,
        incarnation: int,
        now: Instant,
    ) -> None:
        """Take that an incarnation of a target is leaving."""
        self._target_table.note_leaving(target, incarnation, now)

    def note_incarnation(
        self,
        target: TargetName,
        incarnation: int,
        now: Instant,
    ) -> None:
        """Take a target's own incarnation."""
        self._target_table.note_incarnation(target, incarnation)

    def list_targets(self, service: str) -> tuple[TargetView, ...]:
        """Return every target of a service, leaving ones marked."""
        return self._target_table.list_targets(service)

    def take_changed_services(self) -> frozenset[str]:
        """Return the services whose targets changed since the last call."""
        return self._target_table.take_changed_services()

    def take_urgent_update(self) -> bool:
        """Return whether something is to be told to peers at once."""
        return self._target_table.take_urgent_update()

    def note_exchange(self, exchange: PeerExchange, now: Instant) -> bool:
        """Take a peer's message; false if it is older than one taken.

        That a target left stays true, however late the message comes.
        """
        for left in exchange.leaving:
            self.note_leaving(TargetName(left.target), left.incarnation, now)
        if not self._peer_table.note_exchange(exchange, now):
            return False
        for gossip in exchange.instances:
            self._peer_table.note_gossip(gossip, now)
        return True

    def note_peer_silent(self, peer: InstanceName, now: Instant) -> None:
        """Take that a peer did not answer here."""
        self._peer_table.note_unanswered(peer)

    def find_peer_state(self, peer: InstanceName, now: Instant) -> PeerState:
        """Return what may be concluded of a known peer."""
        return self._peer_table.find_peer_state(peer, now)

    def choose_peers(self, now: Instant) -> PeerAddresses:
        """Return every peer of a small fleet, some of a large one in turn.

        Peers that do not answer are asked ever less often, and seeds of
        which no peer is heard are asked beside.
        """
        self._round += 1
        self._peer_table.remove_expired(now)
        if self._round % TARGET_EXPIRY_INTERVAL_ROUNDS == 0:
            self._target_table.remove_expired(now)
        fan_out = MAXIMUM_DIRECT_PEERS
        if len(self._peer_table.peers) > MAXIMUM_DIRECT_PEERS:
            fan_out = (
                LARGE_FLEET_FAN_OUT
                if self._round % LARGE_FLEET_SKIP_INTERVAL_ROUNDS
                else 0
            )
        chosen: list[InstanceName] = []
        tried = 0
        while len(chosen) < fan_out and tried < len(self._peer_table.peers):
            tried += 1
            name = self._pop_next_peer()
            if name not in chosen and self._is_due(name):
                chosen.append(name)
        return self._find_addresses(chosen) + self._choose_seeds(now)

    def choose_update_peers(self, now: Instant) -> PeerAddresses:
        """Return peers to tell news to at once, at random."""
        names = [
            name
            for name, peer in self._peer_table.peers.items()
            if peer.unanswered_messages < UNANSWERED_LIMIT
        ]
        if len(names) > URGENT_FAN_OUT:
            picked = self._generator.choice(
                len(names),
                URGENT_FAN_OUT,
                replace=False,
            )
            names = [names[at] for at in picked]
        return self._find_addresses(names)

    def list_successors(self, now: Instant) -> PeerAddresses:
        """Return live peers that may answer for this instance, in order."""
        live = [
            name
            for name, peer in self._peer_table.peers.items()
            if self._peer_table.is_live(peer, now) and not peer.stopping
        ]
        live.sort(key=self._score)
        return self._find_addresses(live[:MAXIMUM_DIRECT_PEERS])

    def is_chosen(self, count: int, salt: str, now: Instant) -> bool:
        """Return whether this is one of ``count`` live instances by hash."""
        own_hash = _hash(f'{salt}/{self._identity.name}')
        higher_count = sum(
            _hash(f'{salt}/{name}') > own_hash
            for name, peer in self._peer_table.peers.items()
            if self._peer_table.is_live(peer, now)
        )
        return higher_count < count

    def list_live(self, now: Instant) -> frozenset[InstanceIdentity]:
        """Return the instances heard from, this one included.

        Asked many times a second, it is worked out anew when a peer comes,
        goes or is heard again, and otherwise a few times a second.
        """
        cache_key = (
            self._peer_table.version,
            now.monotonic_s // LIVE_CACHE_INTERVAL_S,
        )
        if cache_key != self._live_cache_key:
            self._live_cache_key = cache_key
            live = {
                InstanceIdentity(name, peer.incarnation)
                for name, peer in self._peer_table.peers.items()
                if self._peer_table.is_live(peer, now)
            }
            self._live_cache = frozenset((self._identity, *live))
        return self._live_cache

    def count_expected(self) -> int:
        """Return how many instances there should be.

        A peer that went silent counts: it may serve behind a partition.
        """
        return 1 + len(self._peer_table.peers)

    def find_address(
        self,
        peer: InstanceName,
        incarnation: int,
    ) -> str | None:
        """Return the address of one incarnation."""
        known = self._peer_table.peers.get(peer)
        if known is None or known.incarnation != incarnation:
            return None
        return known.address

    def compose_exchange(self, now: Instant) -> PeerExchange:
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
            instances=tuple(
                self._peer_table.list_gossip(self._pop_gossiped_peers())
            ),
            leaving=tuple(self._target_table.list_leaving(now)),
        )

    def note_stopping(self) -> None:
        """Mark this instance as stopping."""
        self._stopping = True

    def _pop_next_peer(self) -> InstanceName:
        self._rotation = [
            one for one in self._rotation if one in self._peer_table.peers
        ]
        if not self._rotation:
            names = sorted(self._peer_table.peers)
            order = self._generator.permutation(len(names))
            self._rotation = [names[at] for at in order]
        return self._rotation.pop()

    def _pop_gossiped_peers(self) -> list[InstanceName]:
        names: list[InstanceName] = []
        if len(self._gossip_queue) < GOSSIPED_PEERS:
            self._gossip_queue.extend(sorted(self._peer_table.peers))
        while self._gossip_queue and len(names) < GOSSIPED_PEERS:
            name = self._gossip_queue.pop(0)
            if name in self._peer_table.peers and name not in names:
                names.append(name)
        return names

    def _is_due(self, name: InstanceName) -> bool:
        unanswered_messages = self._peer_table.peers[name].unanswered_messages
        if unanswered_messages < UNANSWERED_LIMIT:
            return True
        interval_rounds = min(
            2 ** (unanswered_messages + 1 - UNANSWERED_LIMIT),
            MAXIMUM_BACKOFF_ROUNDS,
        )
        return self._round % interval_rounds == 0

    def _choose_seeds(self, now: Instant) -> PeerAddresses:
        live_addresses = {
            peer.address
            for peer in self._peer_table.peers.values()
            if self._peer_table.is_live(peer, now)
        }
        unheard_seeds = [
            one
            for one in self._seeds
            if one not in live_addresses and one != self._address
        ]
        if not unheard_seeds:
            return ()
        start = (self._round * SEEDS_PER_ROUND) % len(unheard_seeds)
        rotated = unheard_seeds[start:] + unheard_seeds[:start]
        return tuple(
            (InstanceName(f'{SEED_NAME_PREFIX}{one}'), one)
            for one in rotated[:SEEDS_PER_ROUND]
        )

    def _find_addresses(self, names: list[InstanceName]) -> PeerAddresses:
        return tuple(
            (one, self._peer_table.peers[one].address) for one in names
        )

    def _score(self, name: InstanceName) -> int:
        return _hash(f'{self._identity.name}/{name}')


def _hash(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode())


def make_gossip_fleet(
    identity: InstanceIdentity,
    address: str,
    seeds: tuple[str, ...],
    seed: int = 0,
) -> GossipFleet:
    """Return a fleet that knows only this instance.

    :param address: ``host:port`` that peers reach this instance at.
    :param seeds: addresses of peers whose names are not known yet.
    :param seed: seed of the order in which peers are asked.
    """
    return GossipFleet(
        identity,
        address,
        seeds,
        np.random.default_rng(seed),
        PeerTable(identity),
    )
