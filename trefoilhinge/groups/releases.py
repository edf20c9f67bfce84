"""Releases of holdings, each repeated until its engine confirms it."""

from attrs import define, field

from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.effects import ReleaseHolding
from trefoilhinge.core.events import HoldingReleased
from trefoilhinge.core.identifiers import ReservationTag, TargetName

REPEAT_S = 1.0
MAXIMUM_REPEAT_S = 8.0


@define
class _Release:
    effect: ReleaseHolding
    expires_wall_s: float
    due_s: float
    delay_s: float = REPEAT_S


@define
class PendingReleases:
    """Releases that no engine has confirmed yet.

    Past the expiry of the holding the repeats end: an engine that comes back
    later tells of the holding in its state, and it is swept then.
    """

    _pending: dict[ReservationTag, _Release] = field(factory=dict)

    def begin(
        self,
        target: TargetName,
        address: str,
        tag: ReservationTag,
        expires_wall_s: float,
        now: Instant,
    ) -> ReleaseHolding:
        """Return the order to release and remember to repeat it."""
        effect = ReleaseHolding(target, address, tag)
        due_s = now.monotonic_s + REPEAT_S
        self._pending[tag] = _Release(effect, expires_wall_s, due_s)
        return effect

    def confirm(self, event: HoldingReleased) -> None:
        """Take an engine's answer; without one the release is repeated."""
        if event.succeeded:
            self._pending.pop(event.tag, None)

    def repeat(self, now: Instant) -> tuple[ReleaseHolding, ...]:
        """Return the orders whose repeat is due."""
        due = []
        for tag, one in tuple(self._pending.items()):
            if one.due_s > now.monotonic_s:
                continue
            if one.expires_wall_s < now.wall_s:
                self._pending.pop(tag)
                continue
            one.delay_s = min(MAXIMUM_REPEAT_S, 2 * one.delay_s)
            one.due_s = now.monotonic_s + one.delay_s
            due.append(one.effect)
        return tuple(due)

    def list_tags(self) -> tuple[ReservationTag, ...]:
        """Return the tags that are not confirmed."""
        return tuple(self._pending)

    def has(self, tag: ReservationTag) -> bool:
        """Return whether a release of a tag is not confirmed yet."""
        return tag in self._pending
