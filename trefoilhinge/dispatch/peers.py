"""Membership of the other instances, from their heartbeats."""

from attrs import define, field, frozen

HEARTBEAT_INTERVAL_S = 0.5  # in a small fleet; longer in a large one
# The interval is at least this long for each known instance, which bounds the
# heartbeats that an instance sends and receives per second.
HEARTBEAT_INTERVAL_PER_PEER_S = 0.03
# Missed heartbeats after which the runs of an instance are no longer counted.
MISSED_HEARTBEATS_LIMIT = 5
GOSSIPED_PEERS = 4  # instances named in one heartbeat, in rotation
PEER_EXPIRY_S = 30.0  # a silent instance gets heartbeats for this long


@frozen
class Heartbeat:
    """Periodic message in which an instance reports its state.

    :ivar origin: incarnation of the instance, which identifies its runs.
    :ivar version: version of its document, zero if it has none.
    :ivar revision: latest revision of the store that it has read.
    :ivar store_unreachable: whether the store does not answer it.
    :ivar known_peers: IP addresses of some of the instances that it knows.
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
    """State of one other instance, from its last heartbeat.

    :ivar origin: its incarnation; empty if unknown or after its timeout.
    :ivar last_heartbeat_s: monotonic seconds of its last heartbeat.
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
    """Change that a heartbeat brought.

    :ivar is_new: whether the instance was unknown, restarted or silent.
    :ivar replaced_origin: previous incarnation of the instance if it
        restarted, else empty.
    """

    is_new: bool
    replaced_origin: str


@define
class PeerTable:
    """The other instances.

    :ivar peers: instances by IP address.
    :ivar discovered_s: monotonic seconds at which an instance that was not
        known before was last heard.
    """

    own_ip: str
    peers: dict[str, Peer] = field(factory=dict)
    discovered_s: float = float('-inf')
    _gossiped: dict[str, float] = field(factory=dict)

    def record_heartbeat(
        self, heartbeat: Heartbeat, now_s: float
    ) -> HeartbeatResult:
        """Update the sender's state; return what changed."""
        peer = self.peers.get(heartbeat.ip)
        if peer is None:
            peer = Peer(heartbeat.ip)
            self.peers[heartbeat.ip] = peer
            self.discovered_s = now_s
        was_silent = (
            now_s - peer.last_heartbeat_s > self.compute_peer_timeout_s()
        )
        is_new = peer.origin != heartbeat.origin or was_silent
        replaced = peer.origin if peer.origin != heartbeat.origin else ''
        peer.origin = heartbeat.origin
        peer.failure_domain = heartbeat.failure_domain
        peer.version = heartbeat.version
        peer.revision = heartbeat.revision
        peer.store_unreachable = heartbeat.store_unreachable
        peer.last_heartbeat_s = now_s
        for ip in heartbeat.known_peers:
            if ip not in {self.own_ip, heartbeat.ip}:
                self._gossiped.setdefault(ip, now_s)
        return HeartbeatResult(is_new, replaced)

    def list_live(self, now_s: float) -> list[str]:
        """Return the IP addresses of the instances within their timeout."""
        oldest_s = now_s - self.compute_peer_timeout_s()
        return [
            peer.ip
            for peer in self.peers.values()
            if peer.last_heartbeat_s >= oldest_s
        ]

    def list_live_by_domain(self, now_s: float) -> dict[str, list[str]]:
        """Return the IP addresses of live instances, by failure domain."""
        domains: dict[str, list[str]] = {}
        for ip in self.list_live(now_s):
            domain = self.peers[ip].failure_domain
            domains.setdefault(domain, []).append(ip)
        return domains

    def list_gossiped(self, sequence: int, now_s: float) -> tuple[str, ...]:
        """Return the instances to name in a heartbeat, in rotation.

        :param sequence: number of the heartbeat.
        """
        live = self.list_live(now_s)
        if len(live) <= GOSSIPED_PEERS:
            return tuple(live)
        start = sequence * GOSSIPED_PEERS
        return tuple(
            live[(start + offset) % len(live)]
            for offset in range(GOSSIPED_PEERS)
        )

    def compute_heartbeat_interval_s(self) -> float:
        """Return seconds between two heartbeats at the fleet's size."""
        return max(
            HEARTBEAT_INTERVAL_S,
            HEARTBEAT_INTERVAL_PER_PEER_S * len(self.peers),
        )

    def compute_peer_timeout_s(self) -> float:
        """Return seconds of silence after which an instance is not live."""
        return MISSED_HEARTBEATS_LIMIT * self.compute_heartbeat_interval_s()

    def list_heartbeat_receivers(
        self, seeds: tuple[str, ...], now_s: float
    ) -> list[str]:
        """Return the IP addresses that this instance's heartbeats go to.

        These are the seeds and all instances that are known or were named by
        a peer. Instances that were last heard or named more than
        ``PEER_EXPIRY_S`` ago are removed.
        """
        receivers = dict.fromkeys(seeds)
        for ip, since_s in tuple(self._gossiped.items()):
            if now_s - since_s > PEER_EXPIRY_S:
                self._gossiped.pop(ip)
            else:
                receivers[ip] = None
        for peer in tuple(self.peers.values()):
            if now_s - peer.last_heartbeat_s > PEER_EXPIRY_S:
                self.peers.pop(peer.ip)
            else:
                receivers[peer.ip] = None
        receivers.pop(self.own_ip, None)
        return list(receivers)

    def remove(self, origin: str) -> bool:
        """Remove an incarnation that has ended; return whether it was known."""
        for peer in tuple(self.peers.values()):
            if peer.origin == origin:
                self.peers.pop(peer.ip)
                return True
        return False

    def expire_silent(self, now_s: float) -> list[str]:
        """Return incarnations whose timeout has passed since the last call."""
        oldest_s = now_s - self.compute_peer_timeout_s()
        silent = [
            peer
            for peer in self.peers.values()
            if peer.origin and peer.last_heartbeat_s < oldest_s
        ]
        ended = [peer.origin for peer in silent]
        for peer in silent:
            peer.origin = ''
        return ended

    def count_known(self) -> int:
        """Return the number of instances that are live or were lately."""
        return 1 + len(self.peers)

    def count_instances(self, now_s: float) -> int:
        """Return the number of live instances, including this one."""
        return 1 + len(self.list_live(now_s))
