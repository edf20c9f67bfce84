"""Limits how often a peer is passed the same document."""

from attrs import define, field

from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.identifiers import InstanceName

FIRST_INTERVAL_S = 2.0
MAXIMUM_INTERVAL_S = 60.0


@define
class _Pass:
    digest: str
    interval_s: float
    due_s: float


@define
class DocumentPasses:
    """Remembers what each peer was passed.

    A peer that cannot use a document, because it finds it invalid, would
    otherwise be sent it whole with every exchange.
    """

    _passes: dict[InstanceName, _Pass] = field(factory=dict)

    def take_due(self, peer: InstanceName, digest: str, now: Instant) -> bool:
        """Return whether a document is to be passed now, and note it."""
        known = self._passes.get(peer)
        if known is None or known.digest != digest:
            due_s = now.monotonic_s + FIRST_INTERVAL_S
            self._passes[peer] = _Pass(digest, FIRST_INTERVAL_S, due_s)
            return True
        if now.monotonic_s < known.due_s:
            return False
        known.interval_s = min(MAXIMUM_INTERVAL_S, known.interval_s * 2)
        known.due_s = now.monotonic_s + known.interval_s
        return True

    def forget(self, live: frozenset[InstanceName]) -> None:
        """Keep only the peers that are live."""
        for peer in self._passes.keys() - live:
            del self._passes[peer]
