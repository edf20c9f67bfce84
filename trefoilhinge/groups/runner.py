"""Runs groups of engines; no router places on a group yet."""

from attrs import define

from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.effects import Effect
from trefoilhinge.core.events import (
    EngineStateRead,
    GroupStepEnded,
    HoldingReleased,
)
from trefoilhinge.core.identifiers import (
    AttemptId,
    HoldingTag,
    InstanceIdentity,
)
from trefoilhinge.core.profiles import CallProfile
from trefoilhinge.node.parts import GroupFailed, GroupMember, GroupProgress


@define
class NoGroupRunner:
    """Gives every group up before it reserves anything."""

    def start(
        self,
        attempt: AttemptId,
        profile: CallProfile,
        members: tuple[GroupMember, ...],
        now: Instant,
    ) -> tuple[Effect, ...]:
        """Reserve nothing."""
        return ()

    def note_step(
        self,
        event: GroupStepEnded,
        now: Instant,
    ) -> tuple[tuple[Effect, ...], GroupProgress]:
        """Give up."""
        return (), GroupFailed(event.attempt)

    def release(
        self,
        attempt: AttemptId,
        now: Instant,
    ) -> tuple[Effect, ...]:
        """Hold nothing, so release nothing."""
        return ()

    def note_released(self, event: HoldingReleased, now: Instant) -> None:
        """Hold nothing."""

    def note_state(
        self,
        event: EngineStateRead,
        live: frozenset[InstanceIdentity],
        now: Instant,
    ) -> tuple[Effect, ...]:
        """Sweep nothing yet."""
        return ()

    def act(self, now: Instant) -> tuple[Effect, ...]:
        """Repeat nothing."""
        return ()

    def list_held(self) -> tuple[HoldingTag, ...]:
        """Hold nothing."""
        return ()


def make_no_group_runner() -> NoGroupRunner:
    """Return a runner that holds nothing."""
    return NoGroupRunner()
