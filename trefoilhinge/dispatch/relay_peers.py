"""Choice of the instance that serves a call for one without targets."""

from collections import Counter
from collections.abc import Collection, Iterable

import xxhash
from attrs import define, field

from trefoilhinge.dispatch.peers import Peer

# An announcement is repeated more often; the last one may be lost.
ANNOUNCEMENT_EXPIRY_S = 3.0
REFUSAL_EXPIRY_S = 1.0  # before a peer that refused a call is asked again
# A cut often takes a whole failure domain, and its instances need about this
# long to notice and announce it.
DOMAIN_SUSPICION_S = 1.0


@define
class RelayPeers:
    """What is known of the peers that may serve calls for this instance."""

    _unreachable: dict[str, tuple[frozenset[str], float]] = field(factory=dict)
    _refused_until_s: dict[tuple[str, str], float] = field(factory=dict)
    _active: Counter[str] = field(factory=Counter)

    def record_announcement(
        self, ip: str, services: Collection[str], now_s: float
    ) -> bool:
        """Record the services whose targets a peer does not reach.

        :return: whether there are more of them than before.
        """
        known, until_s = self._unreachable.pop(ip, (frozenset(), now_s))
        if services:
            self._unreachable[ip] = (
                frozenset(services),
                now_s + ANNOUNCEMENT_EXPIRY_S,
            )
        return until_s < now_s or bool(frozenset(services) - known)

    def record_refusal(self, ip: str, service: str, now_s: float) -> None:
        """Record that a peer could not serve a call."""
        for key, until_s in tuple(self._refused_until_s.items()):
            if until_s <= now_s:
                self._refused_until_s.pop(key)
        self._refused_until_s[ip, service] = now_s + REFUSAL_EXPIRY_S

    def record_start(self, ip: str) -> None:
        """Count a call that is sent to a peer."""
        self._active[ip] += 1

    def record_end(self, ip: str) -> None:
        """Count the end of a call that was sent to a peer."""
        self._active[ip] -= 1
        if not self._active[ip]:
            self._active.pop(ip)

    def may_reach(self, ip: str, service: str, now_s: float) -> bool:
        """Return whether a peer may reach targets of a service."""
        services, until_s = self._unreachable.get(ip, (frozenset(), now_s))
        if until_s > now_s and service in services:
            return False
        refused_until_s = self._refused_until_s.get((ip, service), now_s)
        return refused_until_s <= now_s

    def choose(
        self,
        peers: Iterable[Peer],
        service: str,
        own_domain: str,
        unreachable_s: float,
        request_id: str,
        now_s: float,
    ) -> str | None:
        """Choose the peer with the fewest calls of this instance.

        Among equals, one of the own failure domain is preferred, unless the
        targets became unreachable a moment ago.

        :param peers: live peers that were not asked yet.
        :param unreachable_s: seconds for which this instance has not reached
            the service.
        :return: IP address of the peer, ``None`` if none may reach a target.
        """
        prefers_own = unreachable_s >= DOMAIN_SUSPICION_S
        found = [
            (
                self._active[peer.ip],
                (peer.failure_domain == own_domain) is not prefers_own,
                xxhash.xxh32_intdigest(f'{request_id} {peer.ip}'.encode()),
                peer.ip,
            )
            for peer in peers
            if self.may_reach(peer.ip, service, now_s)
        ]
        return min(found)[-1] if found else None
