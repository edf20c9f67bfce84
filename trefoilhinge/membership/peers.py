"""What this instance knows of each peer, and from whom."""

import enum

from attrs import define, field

from trefoilhinge.conf.generated.messages import InstanceWord, PeerExchange
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.identifiers import InstanceIdentity, InstanceName

LIVE_S = 5.0
DIRECT_PEERS = 8
INSTANCE_WORDS = 12
SUSPECT_SILENCES = 3
FORGET_STOPPED_S = 30.0
FORGET_UNLISTED_S = 120.0
FORGET_SILENT_S = 7200.0
MAXIMUM_PEERS = 2048


class PeerStanding(enum.StrEnum):
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
    known_s: float
    incarnation: int = 0
    heartbeat: int = 0
    taken: int = -1
    heard_s: float | None = None
    stopping: bool = False
    silences: int = 0
    listed: bool | None = None

    @property
    def last_s(self) -> float:
        """Return when anything was last learned of it."""
        return self.known_s if self.heard_s is None else self.heard_s


@define
class PeerBook:
    """Every peer by name; forgets those that are gone.

    :ivar version: number that grows when a peer comes, goes or is heard again.
    """

    _own: InstanceIdentity
    peers: dict[InstanceName, Peer] = field(factory=dict)
    version: int = 0

    def note_listed(
        self,
        addresses: dict[InstanceName, str],
        now: Instant,
    ) -> None:
        """Take the platform's list, by name; it lags and proves no life."""
        for name, address in addresses.items():
            if name == self._own.name:
                continue
            peer = self.peers.get(name)
            if peer is None:
                self.peers[name] = Peer(address, now.monotonic_s, listed=True)
            elif peer.heard_s is None or peer.silences >= SUSPECT_SILENCES:
                # A replaced instance may have moved.
                peer.address = address
        for known, peer in self.peers.items():
            peer.listed = known in addresses
        self.forget(now)

    def note_exchange(self, exchange: PeerExchange, now: Instant) -> bool:
        """Take a message of a peer; false if a newer one was taken."""
        name = InstanceName(exchange.sender)
        if name == self._own.name:
            return False
        peer = self.peers.get(name)
        if peer is not None and exchange.incarnation < peer.incarnation:
            return False
        if peer is None or exchange.incarnation > peer.incarnation:
            peer = self._replace(name, exchange.incarnation, now)
        if exchange.sequence <= peer.taken:
            return False
        peer.address = exchange.address or peer.address
        peer.taken = exchange.sequence
        peer.heartbeat = max(peer.heartbeat, exchange.sequence)
        self._note_heard(peer, now)
        peer.stopping = peer.stopping or exchange.stopping
        peer.silences = 0
        return True

    def note_word(self, word: InstanceWord, now: Instant) -> None:
        """Take what a peer says of another.

        One word of an unknown instance proves no life: only a heartbeat
        that grows does, else peers would keep a dead one alive for ever.
        """
        name = InstanceName(word.name)
        if name == self._own.name:
            return
        peer = self.peers.get(name)
        if peer is None or word.incarnation > peer.incarnation:
            peer = self._replace(name, word.incarnation, now)
            peer.address = word.address
            peer.heartbeat = word.heartbeat
            peer.stopping = word.stopping
            return
        if word.incarnation < peer.incarnation:
            return
        peer.stopping = peer.stopping or word.stopping
        if word.heartbeat > peer.heartbeat:
            peer.heartbeat = word.heartbeat
            self._note_heard(peer, now)

    def note_silent(self, name: InstanceName) -> None:
        """Take that a peer did not answer here."""
        peer = self.peers.get(name)
        if peer is not None:
            peer.silences += 1

    def find_standing(self, name: InstanceName, now: Instant) -> PeerStanding:
        """Return what may be concluded of a known peer."""
        peer = self.peers[name]
        if self.is_live(peer, now):
            if peer.silences >= SUSPECT_SILENCES:
                return PeerStanding.UNREACHABLE
            return PeerStanding.LIVE
        if peer.stopping:
            return PeerStanding.STOPPED
        return PeerStanding.SUSPECT

    def is_live(self, peer: Peer, now: Instant) -> bool:
        """Return whether a peer was heard, here or by others, lately."""
        if peer.heard_s is None:
            return False
        return now.monotonic_s - peer.heard_s < self._find_window_s()

    def list_words(self, names: list[InstanceName]) -> list[InstanceWord]:
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
            if (peer := self.peers[name]).heard_s is not None
        ]

    def forget(self, now: Instant) -> None:
        """Drop peers that are gone, also while no list can be read."""
        gone = tuple(
            name for name, peer in self.peers.items() if _is_gone(peer, now)
        )
        for name in gone:
            del self.peers[name]
            self.version += 1

    def _note_heard(self, peer: Peer, now: Instant) -> None:
        if not self.is_live(peer, now):
            self.version += 1
        peer.heard_s = now.monotonic_s

    def _find_window_s(self) -> float:
        # With more peers than are asked directly, heartbeats travel in
        # rotating words, some of which come with each message.
        count = len(self.peers)
        if count <= DIRECT_PEERS:
            return LIVE_S
        return LIVE_S + 3 * count / INSTANCE_WORDS

    def _replace(
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
            del self.peers[min(self.peers, key=self._find_last)]
        self.peers[name] = peer
        self.version += 1
        return peer

    def _find_last(self, name: InstanceName) -> float:
        return self.peers[name].last_s


def _is_gone(peer: Peer, now: Instant) -> bool:
    silent_s = now.monotonic_s - peer.last_s
    if peer.stopping:
        return silent_s > FORGET_STOPPED_S
    if peer.listed is None:
        return silent_s > FORGET_SILENT_S
    return not peer.listed and silent_s > FORGET_UNLISTED_S
