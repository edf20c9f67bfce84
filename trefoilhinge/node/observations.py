"""Keeps what a node has seen, for its status and nothing else.

No decision reads this: the cores of the apps keep what they decide by.
"""

from collections import Counter
from typing import Any

from attrs import define, evolve, field, frozen

from trefoilhinge.conf.generated.messages import PeerExchange
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.effects import Effect, RefuseCall
from trefoilhinge.core.events import EngineStateRead, Event, LoadRead
from trefoilhinge.core.identifiers import InstanceName, TargetName
from trefoilhinge.core.reports import LoadReport, Reservation
from trefoilhinge.core.verdicts import RefusalCode

MAXIMUM_ENTRIES = 8192


@frozen
class HeardPeer:
    """The latest message of a peer.

    :ivar heard_s: monotonic seconds at which it came.
    """

    name: InstanceName
    incarnation: int
    revision: int
    digest: str
    stopping: bool
    heard_s: float


@frozen
class SeenTarget:
    """The latest that a target said.

    :ivar seen_s: monotonic seconds at which the load report was measured.
    :ivar unanswered: reads in a row that got no answer.
    """

    load: LoadReport | None = None
    seen_s: float = 0
    unanswered: int = 0
    holdings: tuple[Reservation, ...] = ()


@define
class Observations:
    """What one instance has seen, bounded in size."""

    peers: dict[InstanceName, HeardPeer] = field(factory=dict)
    targets: dict[TargetName, SeenTarget] = field(factory=dict)
    refusals: Counter[RefusalCode] = field(factory=Counter)

    def note(
        self,
        event: Event,
        effects: list[Effect],
        now: Instant,
    ) -> None:
        """Take an event and what the node decided on it."""
        if isinstance(event, LoadRead):
            self._note_load(event, now)
        elif isinstance(event, EngineStateRead):
            self._note_state(event)
        for effect in effects:
            if isinstance(effect, RefuseCall):
                self.refusals[effect.refusal.code] += 1

    def note_exchange(self, exchange: PeerExchange, now: Instant) -> None:
        """Take a peer's message, unless a newer incarnation has spoken."""
        name = InstanceName(exchange.sender)
        known = self.peers.pop(name, None)
        if known is not None and known.incarnation > exchange.incarnation:
            self.peers[name] = known
            return
        self.peers[name] = HeardPeer(
            name,
            exchange.incarnation,
            exchange.revision,
            exchange.digest,
            exchange.stopping,
            now.monotonic_s,
        )
        _bound(self.peers)

    def _note_load(self, event: LoadRead, now: Instant) -> None:
        seen = self.targets.pop(event.target, SeenTarget())
        if event.report is None:
            seen = evolve(seen, unanswered=seen.unanswered + 1)
        else:
            seen = evolve(
                seen,
                load=event.report,
                seen_s=now.monotonic_s - event.report.age_s,
                unanswered=0,
            )
        self.targets[event.target] = seen
        _bound(self.targets)

    def _note_state(self, event: EngineStateRead) -> None:
        if event.state is None:
            return
        seen = self.targets.pop(event.target, SeenTarget())
        seen = evolve(seen, holdings=event.state.reservations)
        self.targets[event.target] = seen
        _bound(self.targets)


def _bound(entries: dict[Any, Any]) -> None:
    # The entry that was not renewed for longest stands first.
    if len(entries) > MAXIMUM_ENTRIES:
        del entries[next(iter(entries))]
