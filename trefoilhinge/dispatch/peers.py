"""The other instances: who is heard, and since when."""

from attrs import define, field, frozen

WORD_PAUSE_S = 0.5  # between two words of an instance in a small fleet
WORD_PAUSE_EACH_S = 0.03  # more for each instance, to bound words a second
SILENT_PAUSES = 5  # missed words; its runs are no longer counted then
NAMED_PEERS = 4  # instances named in one word, in turn
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
    failure_domain: str
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
    failure_domain: str = ''
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
        was_silent = now_s - peer.heard_s > self.find_silent_s()
        is_new = peer.origin != word.origin or was_silent
        ended = peer.origin if peer.origin != word.origin else ''
        peer.origin = word.origin
        peer.failure_domain = word.failure_domain
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
            if now_s - peer.heard_s <= self.find_silent_s()
        ]

    def list_domains(self, now_s: float) -> dict[str, list[str]]:
        """Return the instances that listen, by failure domain."""
        domains: dict[str, list[str]] = {}
        for ip in self.list_listeners(now_s):
            domain = self.peers[ip].failure_domain
            domains.setdefault(domain, []).append(ip)
        return domains

    def list_named(self, turn: int, now_s: float) -> tuple[str, ...]:
        """Return a few instances to name in a word, others each turn."""
        listeners = self.list_listeners(now_s)
        if len(listeners) <= NAMED_PEERS:
            return tuple(listeners)
        begin = turn * NAMED_PEERS
        return tuple(
            listeners[(begin + step) % len(listeners)]
            for step in range(NAMED_PEERS)
        )

    def find_word_pause_s(self) -> float:
        """Return seconds between two words at the fleet's size."""
        return max(WORD_PAUSE_S, WORD_PAUSE_EACH_S * len(self.peers))

    def find_silent_s(self) -> float:
        """Return seconds without a word after which one counts as gone."""
        return SILENT_PAUSES * self.find_word_pause_s()

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
            if peer.origin and now_s - peer.heard_s > self.find_silent_s()
        ]
        ended = [peer.origin for peer in silent]
        for peer in silent:
            peer.origin = ''
        return ended

    def count_instances(self, now_s: float) -> int:
        """Return how many instances run, with this one."""
        return 1 + len(self.list_listeners(now_s))
