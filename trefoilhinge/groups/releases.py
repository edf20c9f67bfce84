"""Releases of reservations, each retried until its engine confirms it."""

from attrs import define, field

from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.effects import ReleaseHolding
from trefoilhinge.core.events import HoldingReleased
from trefoilhinge.core.identifiers import ReservationTag, TargetName

INITIAL_RETRY_DELAY_S = 1.0
MAXIMUM_RETRY_DELAY_S = 8.0


@define
class _Release:
    """Release that its engine has not confirmed yet.

    :ivar effect: effect to send again.
    :ivar expires_wall_s: wall seconds at which the reservation expires.
    :ivar due_s: monotonic seconds of the next retry.
    :ivar delay_s: delay before the next retry, in seconds.
    """

    effect: ReleaseHolding
    expires_wall_s: float
    due_s: float
    delay_s: float = INITIAL_RETRY_DELAY_S


@define
class PendingReleases:
    """Releases that are not confirmed by their engines yet.

    Retries end when the reservation expires: an engine that becomes reachable
    again later reports the reservation in its state, and it is released then.
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
        """Return the effect of a release and schedule its retries."""
        effect = ReleaseHolding(target, address, tag)
        due_s = now.monotonic_s + INITIAL_RETRY_DELAY_S
        self._pending[tag] = _Release(effect, expires_wall_s, due_s)
        return effect

    def confirm(self, event: HoldingReleased) -> None:
        """Record an engine's answer; a failed release is retried."""
        if event.succeeded:
            self._pending.pop(event.tag, None)

    def take_due(self, now: Instant) -> tuple[ReleaseHolding, ...]:
        """Return the releases whose retry is due and schedule the next one."""
        due = []
        for tag, release in tuple(self._pending.items()):
            if release.due_s > now.monotonic_s:
                continue
            if release.expires_wall_s < now.wall_s:
                self._pending.pop(tag)
                continue
            release.delay_s = min(MAXIMUM_RETRY_DELAY_S, 2 * release.delay_s)
            release.due_s = now.monotonic_s + release.delay_s
            due.append(release.effect)
        return tuple(due)

    def list_tags(self) -> tuple[ReservationTag, ...]:
        """Return the tags whose release is not confirmed."""
        return tuple(self._pending)

    def has(self, tag: ReservationTag) -> bool:
        """Return whether the release of a tag is pending."""
        return tag in self._pending
