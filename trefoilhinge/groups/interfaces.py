"""What a node needs of groups of engines."""

from typing import Protocol

from attrs import frozen

from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.effects import Effect
from trefoilhinge.core.events import (
    EngineStateRead,
    GroupStepEnded,
    HoldingReleased,
)
from trefoilhinge.core.identifiers import (
    AttemptId,
    InstanceIdentity,
    ReservationTag,
)
from trefoilhinge.core.profiles import CallProfile
from trefoilhinge.membership.interfaces import TargetView
from trefoilhinge.routing.interfaces import GroupMember


@frozen
class GroupReady:
    """Every segment is in place: the leader may be sent the call."""

    attempt: AttemptId
    leader: TargetView
    tag: ReservationTag


@frozen
class GroupFailed:
    """The group was given up and its holdings are being released."""

    attempt: AttemptId


GroupProgress = GroupReady | GroupFailed | None


class GroupRunner(Protocol):
    """Prepares groups of engines and releases what they hold."""

    def start(
        self,
        attempt: AttemptId,
        profile: CallProfile,
        members: tuple[GroupMember, ...],
        now: Instant,
    ) -> tuple[Effect, ...]:
        """Begin to reserve memory for a group."""
        ...

    def note_step(
        self,
        event: GroupStepEnded,
        now: Instant,
    ) -> tuple[tuple[Effect, ...], GroupProgress]:
        """Take the end of a step; return effects and what it led to."""
        ...

    def release(
        self,
        attempt: AttemptId,
        now: Instant,
    ) -> tuple[Effect, ...]:
        """Release every holding of an attempt; harmless when repeated."""
        ...

    def note_released(self, event: HoldingReleased, now: Instant) -> None:
        """Take an engine's answer to a release."""
        ...

    def note_state(
        self,
        event: EngineStateRead,
        live: frozenset[InstanceIdentity],
        now: Instant,
    ) -> tuple[Effect, ...]:
        """Release what an engine holds for owners that are gone."""
        ...

    def act(self, now: Instant) -> tuple[Effect, ...]:
        """Repeat releases that were not confirmed."""
        ...

    def list_held(self) -> tuple[ReservationTag, ...]:
        """Return the tags that are held or not yet confirmed released."""
        ...
