"""Reads the states of targets; ordering is not built yet."""

from attrs import define, field

from trefoilhinge.conf.generated.document import Document
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.effects import Effect, ReadEngineState
from trefoilhinge.core.events import EngineStateRead, OrderAnswered
from trefoilhinge.core.identifiers import InstanceIdentity, TargetName
from trefoilhinge.node.parts import TargetView

STATE_INTERVAL_S = 5.0


@define
class ReadingSteward:
    """Asks each target for its state now and then."""

    _asked: dict[TargetName, float] = field(factory=dict)

    def configure(self, document: Document, now: Instant) -> None:
        """Take a document that is now in force."""

    def note_state(
        self,
        event: EngineStateRead,
        now: Instant,
    ) -> tuple[Effect, ...]:
        """Take a target's state."""
        return ()

    def note_answer(
        self,
        event: OrderAnswered,
        now: Instant,
    ) -> tuple[Effect, ...]:
        """Take a target's answer to an order."""
        return ()

    def act(
        self,
        live: frozenset[InstanceIdentity],
        targets: tuple[TargetView, ...],
        now: Instant,
    ) -> tuple[Effect, ...]:
        """Read states that are due."""
        due = []
        for one in targets:
            asked_s = self._asked.get(one.name)
            age_s = STATE_INTERVAL_S
            if asked_s is not None:
                age_s = now.monotonic_s - asked_s
            if age_s >= STATE_INTERVAL_S:
                self._asked[one.name] = now.monotonic_s
                due.append(ReadEngineState(one.name, one.address))
        return tuple(due)

    def note_pause(self, now: Instant) -> None:
        """Hold no lease, so lose none."""


def make_reading_steward() -> ReadingSteward:
    """Return a steward that has read nothing yet."""
    return ReadingSteward()
