"""What this instance knows of each peer, and from whom."""

import enum

from attrs import define, field

from trefoilhinge.conf.generated.messages import InstanceWord, PeerExchange
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.identifiers import InstanceIdentity, InstanceName

BASE_PEER_TIMEOUT_S = 5.0
MAXIMUM_DIRECT_PEERS = 8
GOSSIPED_PEERS = 12
UNANSWERED_LIMIT = 3
STOPPED_PEER_EXPIRY_S = 30.0
UNLISTED_PEER_EXPIRY_S = 120.0
SILENT_PEER_EXPIRY_S = 7200.0
MAXIMUM_PEERS = 2048


class PeerState(enum.StrEnum):
    """What this instance may conclude of a peer."""

    LIVE = 'live'
    # It does not answer here, but others hear it.
    UNREACHABLE = 'unreachable'
    # Nobody has heard it for the live window; it may be cut off or dead.
    SUSPECT = 'suspect'
    STOPPED = 'stopped'


@define
class Peer:
    """One peer.

    :ivar heartbeat: largest sequence number known of this incarnation.
    :ivar taken: largest sequence number of a message taken from it.
    :ivar heard_s: monotonic seconds at which its heartbeat last grew.
    :ivar known_s: monotonic seconds at which it became known.
    :ivar silences: messages in a row that it did not answer.
    :ivar listed: whether the platform's latest list names it, none before
        the first list.
    """

    address: str
    added_s: float
    incarnation: int = 0
    heartbeat: int = 0
    last_sequence: int = -1
    last_heartbeat_s: float | None = None
    stopping: bool = False
    unanswered_messages: int = 0
    listed: bool | None = None

    @property
    def last_update_s(self) -> float:
        """Return when anything was last learned of it."""
        return (
            self.added_s
            if self.last_heartbeat_s is None
            else self.last_heartbeat_s
        )


@define
class PeerTable:
    """Every peer by name; forgets those that are gone.

    :ivar version: number that grows when a peer comes, goes or is heard again.
    """

    _identity: InstanceIdentity
    peers: dict[InstanceName, Peer] = field(factory=dict)
    version: int = 0

    def note_listed(
        self,
        addresses: dict[InstanceName, str],
        now: Instant,
    ) -> None:
        """Take the platform's list, by name; it lags and proves no life."""
        for name, address in addresses.items():
            if name == self._identity.name:
                continue
            peer = self.peers.get(name)
            if peer is None:
                self.peers[name] = Peer(address, now.monotonic_s, listed=True)
            elif (
                peer.last_heartbeat_s is None
                or peer.unanswered_messages >= UNANSWERED_LIMIT
            ):
                # A replaced instance may have moved.
                peer.address = address
        for known, peer in self.peers.items():
            peer.listed = known in addresses
        self.remove_expired(now)

    def note_exchange(self, exchange: PeerExchange, now: Instant) -> bool:
        """Take a message of a peer; false if a newer one was taken."""
        name = InstanceName(exchange.sender)
        if name == self._identity.name:
            return False
        peer = self.peers.get(name)
        if peer is not None and exchange.incarnation < peer.incarnation:
            return False
        if peer is None or exchange.incarnation > peer.incarnation:
            peer = self._add_incarnation(name, exchange.incarnation, now)
        if exchange.sequence <= peer.last_sequence:
            return False
        peer.address = exchange.address or peer.address
        peer.last_sequence = exchange.sequence
        peer.heartbeat = max(peer.heartbeat, exchange.sequence)
        self._record_heartbeat(peer, now)
        peer.stopping = peer.stopping or exchange.stopping
        peer.unanswered_messages = 0
        return True

    def note_gossip(self, gossip: InstanceWord, now: Instant) -> None:
        """Take what a peer says of another.

        One word of an unknown instance proves no life: only a heartbeat
        that grows does, else peers would keep a dead one alive for ever.
        """
        name = InstanceName(gossip.name)
        if name == self._identity.name:
            return
        peer = self.peers.get(name)
        if peer is None or gossip.incarnation > peer.incarnation:
            peer = self._add_incarnation(name, gossip.incarnation, now)
            peer.address = gossip.address
            peer.heartbeat = gossip.heartbeat
            peer.stopping = gossip.stopping
            return
        if gossip.incarnation < peer.incarnation:
            return
        peer.stopping = peer.stopping or gossip.stopping
        if gossip.heartbeat > peer.heartbeat:
            peer.heartbeat = gossip.heartbeat
            self._record_heartbeat(peer, now)

    def note_unanswered(self, name: InstanceName) -> None:
        """Take that a peer did not answer here."""
        peer = self.peers.get(name)
        if peer is not None:
            peer.unanswered_messages += 1

    def find_peer_state(self, name: InstanceName, now: Instant) -> PeerState:
        """Return what may be concluded of a known peer."""
        peer = self.peers[name]
        if self.is_live(peer, now):
            if peer.unanswered_messages >= UNANSWERED_LIMIT:
                return PeerState.UNREACHABLE
            return PeerState.LIVE
        if peer.stopping:
            return PeerState.STOPPED
        return PeerState.SUSPECT

    def is_live(self, peer: Peer, now: Instant) -> bool:
        """Return whether a peer was heard, here or by others, lately."""
        if peer.last_heartbeat_s is None:
            return False
        return (
            now.monotonic_s - peer.last_heartbeat_s
            < self._compute_peer_timeout_s()
        )

    def list_gossip(self, names: list[InstanceName]) -> list[InstanceWord]:
        """Return what this instance says of some peers."""
        return [
            InstanceWord(
                name=name,
                incarnation=peer.incarnation,
                address=peer.address,
                stopping=peer.stopping,
                heartbeat=peer.heartbeat,
            )
            for name in names
            if (peer := self.peers[name]).last_heartbeat_s is not None
        ]

    def remove_expired(self, now: Instant) -> None:
        """Drop peers that are gone, also while no list can be read."""
        expired = tuple(
            name for name, peer in self.peers.items() if _is_expired(peer, now)
        )
        for name in expired:
            del self.peers[name]
            self.version += 1

    def _record_heartbeat(self, peer: Peer, now: Instant) -> None:
        if not self.is_live(peer, now):
            self.version += 1
        peer.last_heartbeat_s = now.monotonic_s

    def _compute_peer_timeout_s(self) -> float:
        # With more peers than are asked directly, heartbeats travel in
        # rotating words, some of which come with each message.
        count = len(self.peers)
        if count <= MAXIMUM_DIRECT_PEERS:
            return BASE_PEER_TIMEOUT_S
        return BASE_PEER_TIMEOUT_S + 3 * count / GOSSIPED_PEERS

    def _add_incarnation(
        self,
        name: InstanceName,
        incarnation: int,
        now: Instant,
    ) -> Peer:
        known = self.peers.get(name)
        peer = Peer('', now.monotonic_s, incarnation)
        if known is not None:
            peer.address = known.address
            peer.listed = known.listed
        elif len(self.peers) >= MAXIMUM_PEERS:
            del self.peers[min(self.peers, key=self._get_last_update_s)]
        self.peers[name] = peer
        self.version += 1
        return peer

    def _get_last_update_s(self, name: InstanceName) -> float:
        return self.peers[name].last_update_s


def _is_expired(peer: Peer, now: Instant) -> bool:
    idle_s = now.monotonic_s - peer.last_update_s
    if peer.stopping:
        return idle_s > STOPPED_PEER_EXPIRY_S
    if peer.listed is None:
        return idle_s > SILENT_PEER_EXPIRY_S
    return not peer.listed and idle_s > UNLISTED_PEER_EXPIRY_S
