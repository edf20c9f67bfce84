"""The other instances: who is heard, and since when."""

from attrs import define, field, frozen

HEARTBEAT_INTERVAL_S = 0.5  # between two words of an instance in a small fleet
HEARTBEAT_INTERVAL_PER_PEER_S = (
    0.03  # more for each instance, to bound words a second
)
MISSED_HEARTBEATS_LIMIT = 5  # missed words; its runs are no longer counted then
GOSSIPED_PEERS = 4  # instances named in one word, in turn
PEER_EXPIRY_S = 30.0  # after that long an instance is no longer spoken to


@frozen
class Heartbeat:
    """What an instance says of itself, every half second.

    :ivar origin: instance and its life, by which its runs are known.
    :ivar version: version of its document, zero without one.
    :ivar revision: the store's revision that it has seen.
    :ivar is_away: whether the store does not answer it.
    """

    ip: str
    origin: str
    failure_domain: str
    version: int
    revision: int
    store_unreachable: bool
    known_peers: tuple[str, ...]


@define
class Peer:
    """One other instance.

    :ivar last_heartbeat_s: monotonic seconds of its last word.
    """

    ip: str
    origin: str = ''
    failure_domain: str = ''
    version: int = 0
    revision: int = 0
    store_unreachable: bool = False
    last_heartbeat_s: float = float('-inf')


@frozen
class HeartbeatResult:
    """What a word changed.

    :ivar is_new: whether the instance was not heard before, or is back.
    :ivar ended_origin: an earlier life of the instance that is over.
    """

    is_new: bool
    replaced_origin: str


@define
class PeerTable:
    """Other instances by IP number."""

    own_ip: str
    peers: dict[str, Peer] = field(factory=dict)
    _gossiped: dict[str, float] = field(factory=dict)

    def record_heartbeat(
        self, word: Heartbeat, now_s: float
    ) -> HeartbeatResult:
        """Take a word."""
        peer = self.peers.get(word.ip)
        if peer is None:
            peer = Peer(word.ip)
            self.peers[word.ip] = peer
        was_silent = (
            now_s - peer.last_heartbeat_s > self.compute_peer_timeout_s()
        )
        is_new = peer.origin != word.origin or was_silent
        ended = peer.origin if peer.origin != word.origin else ''
        peer.origin = word.origin
        peer.failure_domain = word.failure_domain
        peer.version = word.version
        peer.revision = word.revision
        peer.store_unreachable = word.store_unreachable
        peer.last_heartbeat_s = now_s
        for ip in word.known_peers:
            if ip not in {self.own_ip, word.ip}:
                self._gossiped.setdefault(ip, now_s)
        return HeartbeatResult(is_new, ended)

    def list_live(self, now_s: float) -> list[str]:
        """Return the instances that are told what this one does."""
        return [
            peer.ip
            for peer in self.peers.values()
            if now_s - peer.last_heartbeat_s <= self.compute_peer_timeout_s()
        ]

    def list_live_by_domain(self, now_s: float) -> dict[str, list[str]]:
        """Return the instances that listen, by failure domain."""
        domains: dict[str, list[str]] = {}
        for ip in self.list_live(now_s):
            domain = self.peers[ip].failure_domain
            domains.setdefault(domain, []).append(ip)
        return domains

    def list_gossiped(self, turn: int, now_s: float) -> tuple[str, ...]:
        """Return a few instances to name in a word, others each turn."""
        listeners = self.list_live(now_s)
        if len(listeners) <= GOSSIPED_PEERS:
            return tuple(listeners)
        begin = turn * GOSSIPED_PEERS
        return tuple(
            listeners[(begin + step) % len(listeners)]
            for step in range(GOSSIPED_PEERS)
        )

    def compute_heartbeat_interval_s(self) -> float:
        """Return seconds between two words at the fleet's size."""
        return max(
            HEARTBEAT_INTERVAL_S,
            HEARTBEAT_INTERVAL_PER_PEER_S * len(self.peers),
        )

    def compute_peer_timeout_s(self) -> float:
        """Return seconds without a word after which one counts as gone."""
        return MISSED_HEARTBEATS_LIMIT * self.compute_heartbeat_interval_s()

    def list_heartbeat_receivers(
        self, seeds: tuple[str, ...], now_s: float
    ) -> list[str]:
        """Return the instances that hear this one's words: all known ones."""
        greeted = dict.fromkeys(seeds)
        for ip, since_s in tuple(self._gossiped.items()):
            if now_s - since_s > PEER_EXPIRY_S:
                self._gossiped.pop(ip)
            else:
                greeted[ip] = None
        for peer in tuple(self.peers.values()):
            if now_s - peer.last_heartbeat_s > PEER_EXPIRY_S:
                self.peers.pop(peer.ip)
            else:
                greeted[peer.ip] = None
        greeted.pop(self.own_ip, None)
        return list(greeted)

    def expire_silent(self, now_s: float) -> list[str]:
        """Return lives that fell silent since they were last asked for."""
        silent = [
            peer
            for peer in self.peers.values()
            if peer.origin
            and now_s - peer.last_heartbeat_s > self.compute_peer_timeout_s()
        ]
        ended = [peer.origin for peer in silent]
        for peer in silent:
            peer.origin = ''
        return ended

    def count_instances(self, now_s: float) -> int:
        """Return how many instances run, with this one."""
        return 1 + len(self.list_live(now_s))
