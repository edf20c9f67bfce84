"""Recent reports of peers and targets, kept for the status of a node.

No decision depends on them: the cores of the apps keep their own state.
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
class PeerObservation:
    """Latest message of a peer.

    :ivar received_s: monotonic seconds at which it was received.
    """

    name: InstanceName
    incarnation: int
    revision: int
    digest: str
    stopping: bool
    received_s: float


@frozen
class TargetObservation:
    """Latest reports of a target.

    :ivar measured_s: monotonic seconds at which the load was measured.
    :ivar unanswered: consecutive load reads without a response.
    :ivar reservations: KV-cache memory reserved at the target outside of
        running streams.
    """

    load: LoadReport | None = None
    measured_s: float = 0
    unanswered: int = 0
    reservations: tuple[Reservation, ...] = ()


@define
class Observations:
    """Observations of one instance, at most ``MAXIMUM_ENTRIES`` of each kind.

    :ivar peers: latest message by peer.
    :ivar targets: latest reports by target.
    :ivar refusals: number of refused calls by code.
    """

    peers: dict[InstanceName, PeerObservation] = field(factory=dict)
    targets: dict[TargetName, TargetObservation] = field(factory=dict)
    refusals: Counter[RefusalCode] = field(factory=Counter)

    def note(
        self,
        event: Event,
        effects: list[Effect],
        now: Instant,
    ) -> None:
        """Record an event and the effects that it led to."""
        if isinstance(event, LoadRead):
            self._note_load(event, now)
        elif isinstance(event, EngineStateRead):
            self._note_engine_state(event)
        for effect in effects:
            if isinstance(effect, RefuseCall):
                self.refusals[effect.refusal.code] += 1

    def note_exchange(self, exchange: PeerExchange, now: Instant) -> None:
        """Record a peer's message unless a newer incarnation is known."""
        name = InstanceName(exchange.sender)
        known = self.peers.pop(name, None)
        if known is not None and known.incarnation > exchange.incarnation:
            self.peers[name] = known
            return
        self.peers[name] = PeerObservation(
            name,
            exchange.incarnation,
            exchange.revision,
            exchange.digest,
            exchange.stopping,
            now.monotonic_s,
        )
        _evict_oldest(self.peers)

    def _note_load(self, event: LoadRead, now: Instant) -> None:
        observed = self.targets.pop(event.target, TargetObservation())
        if event.report is None:
            observed = evolve(observed, unanswered=observed.unanswered + 1)
        else:
            observed = evolve(
                observed,
                load=event.report,
                measured_s=now.monotonic_s - event.report.age_s,
                unanswered=0,
            )
        self.targets[event.target] = observed
        _evict_oldest(self.targets)

    def _note_engine_state(self, event: EngineStateRead) -> None:
        if event.state is None:
            return
        observed = self.targets.pop(event.target, TargetObservation())
        observed = evolve(observed, reservations=event.state.reservations)
        self.targets[event.target] = observed
        _evict_oldest(self.targets)


def _evict_oldest(entries: dict[Any, Any]) -> None:
    # Entries are in the order of their last update, oldest first.
    if len(entries) > MAXIMUM_ENTRIES:
        del entries[next(iter(entries))]
