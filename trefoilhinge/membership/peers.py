"""Peers of this instance: heartbeats, liveness and expiry."""

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
    """State of a peer, as known to this instance."""

    LIVE = 'live'
    # It does not reply to this instance, but others receive its heartbeats.
    UNREACHABLE = 'unreachable'
    # No heartbeat is known within the timeout: it failed or is partitioned.
    SUSPECT = 'suspect'
    STOPPED = 'stopped'


@define
class Peer:
    """State of one incarnation of a peer.

    :ivar address: ``host:port`` of its listener for peers.
    :ivar added_s: monotonic seconds at which the incarnation was added.
    :ivar incarnation: latest incarnation known, zero if unknown.
    :ivar heartbeat: largest sequence number known of this incarnation, from
        any source.
    :ivar last_sequence: largest sequence number of a message that this
        instance accepted from it.
    :ivar last_heartbeat_s: monotonic seconds of its last accepted message or
        gossiped increase of ``heartbeat``, ``None`` before the first one.
    :ivar stopping: whether it is stopping.
    :ivar unanswered_messages: consecutive messages without a reply.
    :ivar listed: whether the platform's latest list names it, ``None`` before
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
        """Return the monotonic seconds of the last heartbeat or addition."""
        return (
            self.added_s
            if self.last_heartbeat_s is None
            else self.last_heartbeat_s
        )


@define
class PeerTable:
    """Known peers by name.

    :ivar peers: peers by name.
    :ivar version: counter that increases when a peer is added, restarted or
        removed, or becomes live.
    """

    _identity: InstanceIdentity
    peers: dict[InstanceName, Peer] = field(factory=dict)
    version: int = 0

    def note_listed(
        self,
        addresses: dict[InstanceName, str],
        now: Instant,
    ) -> None:
        """Record the platform's list.

        The list may be out of date and is no proof that a peer is live.

        :param addresses: addresses of the listed instances, by name.
        """
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
                # The instance may have been replaced at another address.
                peer.address = address
        for known_name, peer in self.peers.items():
            peer.listed = known_name in addresses
        self.remove_expired(now)

    def note_exchange(self, exchange: PeerExchange, now: Instant) -> bool:
        """Record a message of a peer.

        :return: false if the message is of this instance itself, of an earlier
            incarnation or not newer than the last accepted one.
        """
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
        """Record what a peer reports about another instance.

        The first report of an incarnation does not make it live, only an
        increase of its heartbeat does. Otherwise, peers could keep a failed
        instance live for ever by repeating old reports to each other.
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
        """Record that a peer did not reply to this instance."""
        peer = self.peers.get(name)
        if peer is not None:
            peer.unanswered_messages += 1

    def find_peer_state(self, name: InstanceName, now: Instant) -> PeerState:
        """Return the state of a known peer."""
        peer = self.peers[name]
        if self.is_live(peer, now):
            if peer.unanswered_messages >= UNANSWERED_LIMIT:
                return PeerState.UNREACHABLE
            return PeerState.LIVE
        if peer.stopping:
            return PeerState.STOPPED
        return PeerState.SUSPECT

    def is_live(self, peer: Peer, now: Instant) -> bool:
        """Return whether a heartbeat, direct or gossiped, is recent enough."""
        if peer.last_heartbeat_s is None:
            return False
        return (
            now.monotonic_s - peer.last_heartbeat_s
            < self._compute_peer_timeout_s()
        )

    def list_gossip(self, names: list[InstanceName]) -> list[InstanceWord]:
        """Return the reports to send to peers about some other peers."""
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
        """Remove expired peers, even while no list can be read."""
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
        # Above MAXIMUM_DIRECT_PEERS, most heartbeats arrive by gossip. Each
        # message has only GOSSIPED_PEERS of them in rotation, so the timeout
        # grows with the number of peers.
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
        previous = self.peers.get(name)
        peer = Peer('', now.monotonic_s, incarnation)
        if previous is not None:
            peer.address = previous.address
            peer.listed = previous.listed
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
