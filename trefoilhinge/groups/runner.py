"""Runner that prepares groups of engines and releases their reservations.

Members are reserved one after the other in the order of their names, all or
none, so that two groups cannot deadlock. Then the segments are prefilled in
order. Each uses the KV cache of the segments before it, which is exported and
imported along the chain. The last member decodes.
"""

from attrs import define, evolve, field

from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.effects import Effect, ReleaseHolding, RunGroupStep
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
from trefoilhinge.core.reports import Reservation
from trefoilhinge.groups.interfaces import (
    GroupFailed,
    GroupProgress,
    GroupReady,
)
from trefoilhinge.groups.releases import PendingReleases
from trefoilhinge.groups.tags import format_owner, make_tag, parse_tag
from trefoilhinge.membership.interfaces import TargetView
from trefoilhinge.routing.interfaces import GroupMember

# Largest assumed skew between the wall clocks of instances.
CLOCK_SKEW_MARGIN_S = 5.0
# Time past the expiry in which a live owner may still release its reservation
# itself, for example after its engine was unreachable.
OWNER_GRACE_S = 15.0
RESERVE = 'reserve'
PREFILL = 'prefill'
EXPORT = 'export'
IMPORT = 'import'

Outcome = tuple[tuple[Effect, ...], GroupProgress]


@define
class _Member:
    """Member of a group and the state of its reservation.

    :ivar assignment: engine and segment of the prompt.
    :ivar tag: tag of the reservation.
    :ivar tokens: KV memory to reserve, in tokens.
    :ivar reservation_sent: whether the reservation was sent, so that the
        engine may hold memory.
    """

    assignment: GroupMember
    tag: ReservationTag
    tokens: int
    reservation_sent: bool = False

    @property
    def target(self) -> TargetView:
        return self.assignment.target


@define
class _Group:
    """Group that is being prepared or that serves its call.

    :ivar attempt: attempt that the group serves.
    :ivar members: members in the order of their segments.
    :ivar steps: remaining steps, each with the index of its member.
    :ivar expires_wall_s: wall seconds at which the reservations expire.
    :ivar deadline_s: monotonic seconds of the call's deadline.
    :ivar handle: engine's identifier of the latest export.
    :ivar awaited_step: step whose answer is awaited, and tag of its member.
    """

    attempt: AttemptId
    members: tuple[_Member, ...]
    steps: list[tuple[str, int]]
    expires_wall_s: float
    deadline_s: float
    handle: str = ''
    awaited_step: tuple[str, ReservationTag] | None = None

    def is_late(self, now: Instant) -> bool:
        """Return whether the reservations may have expired by either clock."""
        return (
            now.monotonic_s >= self.deadline_s
            or now.wall_s >= self.expires_wall_s
        )


@define
class ChainGroupRunner:
    """Runs groups as chains of segments."""

    _identity: InstanceIdentity
    _groups: dict[AttemptId, _Group] = field(factory=dict)
    _releases: PendingReleases = field(factory=PendingReleases)

    def start(
        self,
        attempt: AttemptId,
        profile: CallProfile,
        members: tuple[GroupMember, ...],
        now: Instant,
    ) -> tuple[Effect, ...]:
        """Start reserving memory for a group."""
        remaining_s = profile.deadline_s - now.monotonic_s
        group_members = tuple(
            self._make_member(attempt, profile, members, index)
            for index in range(len(members))
        )
        group = _Group(
            attempt,
            group_members,
            _list_steps(group_members),
            now.wall_s + remaining_s,
            profile.deadline_s,
        )
        self._groups[attempt] = group
        return (self._run_next(group),)

    def note_step(self, event: GroupStepEnded, now: Instant) -> Outcome:
        """Record the end of a step; return effects and the group's progress."""
        group = self._groups.get(event.attempt)
        if group is None or group.awaited_step != (event.step, event.tag):
            # The answer is late. If the step reserved memory after the release
            # had been sent, the engine's state shows the reservation and it is
            # released then.
            return (), None
        group.awaited_step = None
        if not event.succeeded or group.is_late(now):
            return self.release(event.attempt, now), GroupFailed(event.attempt)
        if event.step == EXPORT:
            group.handle = event.handle
        if group.steps:
            return (self._run_next(group),), None
        leader = group.members[-1]
        return (), GroupReady(event.attempt, leader.target, leader.tag)

    def release(
        self,
        attempt: AttemptId,
        now: Instant,
    ) -> tuple[Effect, ...]:
        """Release all reservations of an attempt; idempotent."""
        group = self._groups.pop(attempt, None)
        if group is None:
            return ()
        return tuple(
            self._releases.begin(
                member.target.name,
                member.target.address,
                member.tag,
                group.expires_wall_s,
                now,
            )
            for member in group.members
            if member.reservation_sent
        )

    def note_released(self, event: HoldingReleased, now: Instant) -> None:
        """Record an engine's answer to a release."""
        self._releases.confirm(event)

    def note_state(
        self,
        event: EngineStateRead,
        live: frozenset[InstanceIdentity],
        now: Instant,
    ) -> tuple[Effect, ...]:
        """Release the orphaned reservations in an engine's state."""
        if event.state is None:
            return ()
        return tuple(
            ReleaseHolding(event.target, event.address, reservation.tag)
            for reservation in event.state.reservations
            if self._is_orphaned(reservation, live, now)
        )

    def retry_releases(self, now: Instant) -> tuple[Effect, ...]:
        """Retry the releases that are not confirmed."""
        return self._releases.take_due(now)

    def list_unreleased(self) -> tuple[ReservationTag, ...]:
        """Return the tags of reservations not confirmed as released."""
        reserved = tuple(
            member.tag
            for group in self._groups.values()
            for member in group.members
            if member.reservation_sent
        )
        return (*reserved, *self._releases.list_tags())

    def _make_member(
        self,
        attempt: AttemptId,
        profile: CallProfile,
        members: tuple[GroupMember, ...],
        index: int,
    ) -> _Member:
        member = members[index]
        tokens = member.tokens
        if index == len(members) - 1:
            tokens += profile.output_tokens
        return _Member(
            member,
            make_tag(self._identity, attempt, index),
            tokens,
        )

    def _run_next(self, group: _Group) -> RunGroupStep:
        step, index = group.steps.pop(0)
        member = group.members[index]
        group.awaited_step = (step, member.tag)
        effect = RunGroupStep(
            attempt=group.attempt,
            target=member.target.name,
            address=member.target.address,
            tag=member.tag,
            step=step,
            first_token=member.assignment.first_token,
            tokens=member.assignment.tokens,
            owner=format_owner(self._identity),
            expires_wall_s=group.expires_wall_s,
        )
        if step == RESERVE:
            member.reservation_sent = True
            return evolve(effect, tokens=member.tokens)
        if step == IMPORT:
            source = group.members[index - 1].target.address
            return evolve(effect, handle=group.handle, source=source)
        return effect

    def _is_orphaned(
        self,
        reservation: Reservation,
        live: frozenset[InstanceIdentity],
        now: Instant,
    ) -> bool:
        read = parse_tag(reservation.tag)
        if read is None:
            # The tag is not in this project's format: its owner manages the
            # reservation.
            return False
        if read.owner == self._identity:
            return reservation.tag not in self.list_unreleased()
        # Past the expiry the request has ended and the reservation is unused. A
        # live owner is given more time to release it first.
        margin_s = OWNER_GRACE_S if read.owner in live else CLOCK_SKEW_MARGIN_S
        return now.wall_s > reservation.expires_wall_s + margin_s


def _list_steps(members: tuple[_Member, ...]) -> list[tuple[str, int]]:
    """Return the steps of a group, each with the index of its member."""
    order = sorted(
        range(len(members)),
        key=lambda index: members[index].target.name,
    )
    steps = [(RESERVE, index) for index in order]
    for index, _ in enumerate(members):
        if index:
            steps.append((EXPORT, index - 1))
            steps.append((IMPORT, index))
        steps.append((PREFILL, index))
    return steps


def make_chain_group_runner(identity: InstanceIdentity) -> ChainGroupRunner:
    """Return a runner without any groups.

    :param identity: instance and incarnation that own the reservations.
    """
    return ChainGroupRunner(identity)
