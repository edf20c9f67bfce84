"""Fleet membership by gossip between instances."""

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
# A large fleet sends nothing in every second round, as urgent updates are sent
# at once anyway.
LARGE_FLEET_SKIP_INTERVAL_ROUNDS = 2
URGENT_FAN_OUT = 8
SEEDS_PER_ROUND = 2
MAXIMUM_BACKOFF_ROUNDS = 32
TARGET_EXPIRY_INTERVAL_ROUNDS = 16
LIVE_CACHE_INTERVAL_S = 0.25
# Prefix of the names of seeds, of which only the address is known.
SEED_NAME_PREFIX = 'seed:'

PeerAddresses = tuple[tuple[InstanceName, str], ...]


@define
class GossipFleet:
    """Tracks peers by their messages and targets by reports of any source.

    :ivar _sequence: sequence number of the last message composed.
    :ivar _round: number of the current round of messages.
    :ivar _rotation: peers that are still to be chosen in this rotation.
    :ivar _gossip_queue: peers to include in the next messages, in order.
    """

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
        """Apply the targets of a document."""
        self._target_table.configure(document)

    def note_listed(self, listed: InstancesListed, now: Instant) -> None:
        """Record the platform's lists; without them nothing changes."""
        if listed.instances is None:
            return
        addresses = {
            instance.name: instance.address for instance in listed.instances
        }
        self._peer_table.note_listed(addresses, now)
        self._target_table.note_listed(listed.targets, now)

    def note_leaving(
        self,
        target: TargetName,
        incarnation: int,
        now: Instant,
    ) -> None:
        """Record that an incarnation of a target is leaving."""
        self._target_table.note_leaving(target, incarnation, now)

    def note_incarnation(
        self,
        target: TargetName,
        incarnation: int,
        now: Instant,
    ) -> None:
        """Record the incarnation that a target reported."""
        self._target_table.note_incarnation(target, incarnation)

    def list_targets(self, service: str) -> tuple[TargetView, ...]:
        """Return all targets of a service, including leaving ones."""
        return self._target_table.list_targets(service)

    def take_changed_services(self) -> frozenset[str]:
        """Return the services whose targets changed since the last call."""
        return self._target_table.take_changed_services()

    def take_urgent_update(self) -> bool:
        """Return whether there is an update to send to peers at once."""
        return self._target_table.take_urgent_update()

    def note_exchange(self, exchange: PeerExchange, now: Instant) -> bool:
        """Record a peer's message; false if it is out of date.

        Leaving targets are recorded even from an outdated message, as a
        report that an incarnation is leaving remains true.
        """
        for leaving in exchange.leaving:
            self.note_leaving(
                TargetName(leaving.target), leaving.incarnation, now
            )
        if not self._peer_table.note_exchange(exchange, now):
            return False
        for gossip in exchange.instances:
            self._peer_table.note_gossip(gossip, now)
        return True

    def note_peer_silent(self, peer: InstanceName, now: Instant) -> None:
        """Record that a peer did not reply to this instance."""
        self._peer_table.note_unanswered(peer)

    def find_peer_state(self, peer: InstanceName, now: Instant) -> PeerState:
        """Return the state of a known peer."""
        return self._peer_table.find_peer_state(peer, now)

    def choose_peers(self, now: Instant) -> PeerAddresses:
        """Start a round; return the peers to send to.

        These are all peers of a small fleet and a rotating choice of a large
        one. Peers that do not reply are chosen with exponential backoff.
        Seed addresses that no live peer has are included as well.
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
        """Return random peers to send an urgent update to.

        Peers that do not reply are left out.
        """
        names = [
            name
            for name, peer in self._peer_table.peers.items()
            if peer.unanswered_messages < UNANSWERED_LIMIT
        ]
        if len(names) > URGENT_FAN_OUT:
            indices = self._generator.choice(
                len(names),
                URGENT_FAN_OUT,
                replace=False,
            )
            names = [names[index] for index in indices]
        return self._find_addresses(names)

    def list_successors(self, now: Instant) -> PeerAddresses:
        """Return live peers that may adopt this instance's ledger, in order."""
        live = [
            name
            for name, peer in self._peer_table.peers.items()
            if self._peer_table.is_live(peer, now) and not peer.stopping
        ]
        live.sort(key=self._score)
        return self._find_addresses(live[:MAXIMUM_DIRECT_PEERS])

    def is_selected(self, count: int, salt: str, now: Instant) -> bool:
        """Return whether this instance is among ``count`` selected live ones.

        Rendezvous hashing lets instances with the same view of the fleet
        agree on the selection without messages.

        :param salt: text that varies the selection.
        """
        own_hash = _hash(f'{salt}/{self._identity.name}')
        higher_count = sum(
            _hash(f'{salt}/{name}') > own_hash
            for name, peer in self._peer_table.peers.items()
            if self._peer_table.is_live(peer, now)
        )
        return higher_count < count

    def list_live(self, now: Instant) -> frozenset[InstanceIdentity]:
        """Return the live instances, including this one.

        As this is called many times a second, the result is cached until a
        peer is added, restarted, removed or live again, for at most
        ``LIVE_CACHE_INTERVAL_S``.
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
        """Return the expected number of instances, including this one.

        Silent peers count, as they may serve calls behind a network partition.
        """
        return 1 + len(self._peer_table.peers)

    def find_address(
        self,
        peer: InstanceName,
        incarnation: int,
    ) -> str | None:
        """Return the address of an incarnation, ``None`` if unknown."""
        known_peer = self._peer_table.peers.get(peer)
        if known_peer is None or known_peer.incarnation != incarnation:
            return None
        return known_peer.address

    def compose_exchange(self, now: Instant) -> PeerExchange:
        """Return a message on known instances and leaving targets."""
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
            name for name in self._rotation if name in self._peer_table.peers
        ]
        if not self._rotation:
            names = sorted(self._peer_table.peers)
            order = self._generator.permutation(len(names))
            self._rotation = [names[index] for index in order]
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
            address
            for address in self._seeds
            if address not in live_addresses and address != self._address
        ]
        if not unheard_seeds:
            return ()
        start = (self._round * SEEDS_PER_ROUND) % len(unheard_seeds)
        rotated = unheard_seeds[start:] + unheard_seeds[:start]
        return tuple(
            (InstanceName(f'{SEED_NAME_PREFIX}{address}'), address)
            for address in rotated[:SEEDS_PER_ROUND]
        )

    def _find_addresses(self, names: list[InstanceName]) -> PeerAddresses:
        return tuple(
            (name, self._peer_table.peers[name].address) for name in names
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

    :param identity: name and incarnation of this instance.
    :param address: ``host:port`` at which peers reach this instance.
    :param seeds: addresses of peers whose names are not known yet.
    :param seed: random seed of the choice and order of peers.
    """
    return GossipFleet(
        identity,
        address,
        seeds,
        np.random.default_rng(seed),
        PeerTable(identity),
    )
