"""Prepares groups of engines and releases what they hold.

Members are reserved one after the other in the order of their names, all or
none, so that two groups never wait for each other. Then each segment is
prefilled in order, over the KV of the segments before it, which is exported
and imported along the chain. The last member decodes.
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
from trefoilhinge.groups.tags import format_owner, make_tag, read_tag
from trefoilhinge.membership.interfaces import TargetView
from trefoilhinge.routing.interfaces import GroupMember

# Wall clocks of instances may differ by this much.
CLOCK_MARGIN_S = 5.0
# A live owner that could not reach an engine in time has this long to do so.
OWNER_GRACE_S = 15.0
RESERVE = 'reserve'
PREFILL = 'prefill'
EXPORT = 'export'
IMPORT = 'import'

Outcome = tuple[tuple[Effect, ...], GroupProgress]


@define
class _Member:
    """One member and what is known of its holding.

    :ivar tokens: memory to reserve, in tokens.
    :ivar asked: whether a reservation was sent, so that it may hold memory.
    """

    member: GroupMember
    tag: ReservationTag
    tokens: int
    asked: bool = False

    @property
    def target(self) -> TargetView:
        return self.member.target


@define
class _Group:
    """A group that is being prepared or that serves its call.

    :ivar members: in the order of their segments.
    :ivar steps: steps that are left, the next one first.
    :ivar handle: the engine's name of the latest export.
    :ivar waiting: step whose answer is awaited.
    """

    attempt: AttemptId
    members: tuple[_Member, ...]
    steps: list[tuple[str, int]]
    expires_wall_s: float
    deadline_s: float
    handle: str = ''
    waiting: tuple[str, ReservationTag] | None = None

    def is_late(self, now: Instant) -> bool:
        """Return whether, by either clock, the holdings may be gone."""
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
        """Begin to reserve memory for a group."""
        remaining_s = profile.deadline_s - now.monotonic_s
        kept = tuple(
            self._make_member(attempt, profile, members, number)
            for number in range(len(members))
        )
        group = _Group(
            attempt,
            kept,
            _list_steps(kept),
            now.wall_s + remaining_s,
            profile.deadline_s,
        )
        self._groups[attempt] = group
        return (self._run_next(group),)

    def note_step(self, event: GroupStepEnded, now: Instant) -> Outcome:
        """Take the end of a step; return effects and what it led to."""
        group = self._groups.get(event.attempt)
        if group is None or group.waiting != (event.step, event.tag):
            # A late answer: what it may have reserved shows in the engine's
            # state and is released then, if the release sent was too early.
            return (), None
        group.waiting = None
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
        """Release every holding of an attempt; harmless when repeated."""
        group = self._groups.pop(attempt, None)
        if group is None:
            return ()
        return tuple(
            self._releases.begin(
                one.target.name,
                one.target.address,
                one.tag,
                group.expires_wall_s,
                now,
            )
            for one in group.members
            if one.asked
        )

    def note_released(self, event: HoldingReleased, now: Instant) -> None:
        """Take an engine's answer to a release."""
        self._releases.confirm(event)

    def note_state(
        self,
        event: EngineStateRead,
        live: frozenset[InstanceIdentity],
        now: Instant,
    ) -> tuple[Effect, ...]:
        """Release what an engine holds for owners that are gone."""
        if event.state is None:
            return ()
        return tuple(
            ReleaseHolding(event.target, event.address, holding.tag)
            for holding in event.state.reservations
            if self._is_abandoned(holding, live, now)
        )

    def act(self, now: Instant) -> tuple[Effect, ...]:
        """Repeat releases that were not confirmed."""
        return self._releases.repeat(now)

    def list_held(self) -> tuple[ReservationTag, ...]:
        """Return the tags that are held or not yet confirmed released."""
        held = tuple(
            member.tag
            for group in self._groups.values()
            for member in group.members
            if member.asked
        )
        return (*held, *self._releases.list_tags())

    def _make_member(
        self,
        attempt: AttemptId,
        profile: CallProfile,
        members: tuple[GroupMember, ...],
        number: int,
    ) -> _Member:
        member = members[number]
        tokens = member.tokens
        if number == len(members) - 1:
            tokens += profile.output_tokens
        return _Member(
            member,
            make_tag(self._identity, attempt, number),
            tokens,
        )

    def _run_next(self, group: _Group) -> RunGroupStep:
        step, number = group.steps.pop(0)
        one = group.members[number]
        group.waiting = (step, one.tag)
        effect = RunGroupStep(
            attempt=group.attempt,
            target=one.target.name,
            address=one.target.address,
            tag=one.tag,
            step=step,
            first_token=one.member.first_token,
            tokens=one.member.tokens,
            owner=format_owner(self._identity),
            expires_wall_s=group.expires_wall_s,
        )
        if step == RESERVE:
            one.asked = True
            return evolve(effect, tokens=one.tokens)
        if step == IMPORT:
            source = group.members[number - 1].target.address
            return evolve(effect, handle=group.handle, source=source)
        return effect

    def _is_abandoned(
        self,
        holding: Reservation,
        live: frozenset[InstanceIdentity],
        now: Instant,
    ) -> bool:
        read = read_tag(holding.tag)
        if read is None:
            # Whoever wrote this tag looks after it.
            return False
        if read.owner == self._identity:
            return holding.tag not in self.list_held()
        # Past its expiry the request has ended, so that nobody uses the
        # holding; the owner is only let go first where it is alive.
        margin_s = OWNER_GRACE_S if read.owner in live else CLOCK_MARGIN_S
        return now.wall_s > holding.expires_wall_s + margin_s


def _list_steps(members: tuple[_Member, ...]) -> list[tuple[str, int]]:
    """Return the steps of a group, each with the number of its member."""
    order = sorted(
        range(len(members)),
        key=lambda number: members[number].target.name,
    )
    steps = [(RESERVE, number) for number in order]
    for number, _ in enumerate(members):
        if number:
            steps.append((EXPORT, number - 1))
            steps.append((IMPORT, number))
        steps.append((PREFILL, number))
    return steps


def make_chain_group_runner(identity: InstanceIdentity) -> ChainGroupRunner:
    """Return a runner that holds nothing yet.

    :param identity: incarnation that owns what it reserves.
    """
    return ChainGroupRunner(identity)
