"""How a newer document travels from one peer to another.

A peer that hears of a newer document asks one peer for it, and for no more
than what changed since its own. A peer that stays behind without asking, as
one that cannot reach this instance, is passed the document now and then.
"""

from attrs import define, field

from trefoilhinge.conf.generated.messages import PeerExchange
from trefoilhinge.conf.interfaces import DocumentKeeper
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.identifiers import InstanceName

WANT_INTERVAL_S = 1.0
FIRST_INTERVAL_S = 2.0
MAXIMUM_INTERVAL_S = 60.0
MAXIMUM_PASSES = 64
WANT_DELTAS = 'deltas'
WANT_DOCUMENT = 'document'


@define
class _Pass:
    digest: str
    interval_s: float
    due_s: float


@define
class DocumentPasses:
    """Decides what is asked of which peer, and what each is passed."""

    _keeper: DocumentKeeper
    _wanted: str = ''
    _want_due_s: float = 0
    _passes: dict[InstanceName, _Pass] = field(factory=dict)

    def choose_want(self, exchange: PeerExchange, now: Instant) -> str:
        """Return what to ask of the sender of a message, empty if nothing."""
        theirs = (exchange.revision, exchange.digest)
        if theirs <= (self._keeper.revision, self._keeper.digest):
            return ''
        if exchange.document or self._keeper.is_refused(exchange.digest):
            return ''
        if exchange.deltas:
            # They did not fit, or there is a still newer document.
            return WANT_DOCUMENT
        waiting = now.monotonic_s < self._want_due_s
        if exchange.digest == self._wanted and waiting:
            return ''
        self._wanted = exchange.digest
        self._want_due_s = now.monotonic_s + WANT_INTERVAL_S
        return WANT_DELTAS if self._keeper.revision else WANT_DOCUMENT

    def is_due(self, exchange: PeerExchange, now: Instant) -> bool:
        """Return whether the sender, which is behind, is passed the document.

        A peer has time to ask first, and one that refused it is left alone.
        """
        peer = InstanceName(exchange.sender)
        digest = self._keeper.digest
        if exchange.refused == digest:
            return False
        known = self._passes.pop(peer, None)
        if known is None or known.digest != digest:
            due_s = now.monotonic_s + FIRST_INTERVAL_S
            self._note(peer, _Pass(digest, FIRST_INTERVAL_S, due_s))
            return False
        due = now.monotonic_s >= known.due_s
        if due:
            known.interval_s = min(MAXIMUM_INTERVAL_S, known.interval_s * 2)
            known.due_s = now.monotonic_s + known.interval_s
        self._note(peer, known)
        return due

    def _note(self, peer: InstanceName, passed: _Pass) -> None:
        self._passes[peer] = passed
        if len(self._passes) > MAXIMUM_PASSES:
            del self._passes[next(iter(self._passes))]
