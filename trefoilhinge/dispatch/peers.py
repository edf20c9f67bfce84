"""The other instances: who is heard, and since when."""

from attrs import define, field, frozen

SILENT_S = 2.5  # five missed words; its runs are no longer counted
FORGOTTEN_S = 30.0  # after that long an instance is no longer spoken to


@frozen
class Word:
    """What an instance says of itself, every half second.

    :ivar origin: instance and its life, by which its runs are known.
    :ivar version: version of its document, zero without one.
    :ivar revision: the store's revision that it has seen.
    :ivar is_away: whether the store does not answer it.
    """

    ip: str
    origin: str
    version: int
    revision: int
    is_away: bool
    known: tuple[str, ...]


@define
class Peer:
    """One other instance.

    :ivar heard_s: monotonic seconds of its last word.
    """

    ip: str
    origin: str = ''
    version: int = 0
    revision: int = 0
    is_away: bool = False
    heard_s: float = float('-inf')


@frozen
class Hearing:
    """What a word changed.

    :ivar is_new: whether the instance was not heard before, or is back.
    :ivar ended_origin: an earlier life of the instance that is over.
    """

    is_new: bool
    ended_origin: str


@define
class PeerTable:
    """Other instances by IP number."""

    own_ip: str
    peers: dict[str, Peer] = field(factory=dict)
    _named: dict[str, float] = field(factory=dict)

    def hear(self, word: Word, now_s: float) -> Hearing:
        """Take a word."""
        peer = self.peers.get(word.ip)
        if peer is None:
            peer = Peer(word.ip)
            self.peers[word.ip] = peer
        is_new = peer.origin != word.origin or now_s - peer.heard_s > SILENT_S
        ended = peer.origin if peer.origin != word.origin else ''
        peer.origin = word.origin
        peer.version = word.version
        peer.revision = word.revision
        peer.is_away = word.is_away
        peer.heard_s = now_s
        for ip in word.known:
            if ip not in {self.own_ip, word.ip}:
                self._named.setdefault(ip, now_s)
        return Hearing(is_new, ended)

    def list_listeners(self, now_s: float) -> list[str]:
        """Return the instances that are told what this one does."""
        return [
            peer.ip
            for peer in self.peers.values()
            if now_s - peer.heard_s <= SILENT_S
        ]

    def list_greeted(self, seeds: tuple[str, ...], now_s: float) -> list[str]:
        """Return the instances that hear this one's words: all known ones."""
        greeted = dict.fromkeys(seeds)
        for ip, since_s in tuple(self._named.items()):
            if now_s - since_s > FORGOTTEN_S:
                self._named.pop(ip)
            else:
                greeted[ip] = None
        for peer in tuple(self.peers.values()):
            if now_s - peer.heard_s > FORGOTTEN_S:
                self.peers.pop(peer.ip)
            else:
                greeted[peer.ip] = None
        greeted.pop(self.own_ip, None)
        return list(greeted)

    def drop_silent(self, now_s: float) -> list[str]:
        """Return lives that fell silent since they were last asked for."""
        silent = [
            peer
            for peer in self.peers.values()
            if peer.origin and now_s - peer.heard_s > SILENT_S
        ]
        ended = [peer.origin for peer in silent]
        for peer in silent:
            peer.origin = ''
        return ended

    def count_instances(self, now_s: float) -> int:
        """Return how many instances run, with this one."""
        return 1 + len(self.list_listeners(now_s))
