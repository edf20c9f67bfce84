"""Interface of engine groups to a node."""

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
    """All segments are prefilled and the call may be sent to the leader.

    :ivar attempt: attempt that the group serves.
    :ivar leader: last member, which decodes.
    :ivar tag: tag of the leader's reservation.
    """

    attempt: AttemptId
    leader: TargetView
    tag: ReservationTag


@frozen
class GroupFailed:
    """The group could not be prepared; its reservations are being released.

    :ivar attempt: attempt that the group was to serve.
    """

    attempt: AttemptId


GroupProgress = GroupReady | GroupFailed | None


class GroupRunner(Protocol):
    """Prepares groups of engines and releases their reservations."""

    def start(
        self,
        attempt: AttemptId,
        profile: CallProfile,
        members: tuple[GroupMember, ...],
        now: Instant,
    ) -> tuple[Effect, ...]:
        """Start reserving memory for a group."""
        ...

    def note_step(
        self,
        event: GroupStepEnded,
        now: Instant,
    ) -> tuple[tuple[Effect, ...], GroupProgress]:
        """Record the end of a step; return effects and the group's progress."""
        ...

    def release(
        self,
        attempt: AttemptId,
        now: Instant,
    ) -> tuple[Effect, ...]:
        """Release all reservations of an attempt; idempotent."""
        ...

    def note_released(self, event: HoldingReleased, now: Instant) -> None:
        """Record an engine's answer to a release."""
        ...

    def note_state(
        self,
        event: EngineStateRead,
        live: frozenset[InstanceIdentity],
        now: Instant,
    ) -> tuple[Effect, ...]:
        """Release the orphaned reservations in an engine's state.

        :param live: instances and incarnations that are live.
        """
        ...

    def retry_releases(self, now: Instant) -> tuple[Effect, ...]:
        """Retry the releases that are not confirmed."""
        ...

    def list_unreleased(self) -> tuple[ReservationTag, ...]:
        """Return the tags of reservations not confirmed as released."""
        ...
