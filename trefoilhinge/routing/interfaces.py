"""What a node needs of routing: placements and the router."""

from typing import Protocol

from attrs import frozen

from trefoilhinge.conf.generated.document import Document
from trefoilhinge.conf.generated.messages import ChargeWord
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.events import AttemptOutcome
from trefoilhinge.core.identifiers import AttemptId, InstanceName, TargetName
from trefoilhinge.core.profiles import CallProfile
from trefoilhinge.core.reports import CacheEvent, LoadReport
from trefoilhinge.core.verdicts import Refusal
from trefoilhinge.membership.interfaces import TargetView


@frozen
class TargetPlacement:
    """A call goes to one target now.

    :ivar priority: priority to give to the engine, none for the call's own.
    """

    target: TargetView
    priority: int | None = None


@frozen
class GroupMember:
    """One engine of a group and the segment of the prompt it holds."""

    target: TargetView
    first_token: int
    tokens: int


@frozen
class GroupPlacement:
    """A prompt beyond one engine's memory goes to a group of engines.

    :ivar members: in the order of their segments; the last one decodes.
    """

    members: tuple[GroupMember, ...]


@frozen
class Deferred:
    """No target should take the call now.

    :ivar until_s: monotonic seconds at which to try again at the latest.
    """

    until_s: float


@frozen
class Unplaceable:
    """No target can ever take the call in its time."""

    refusal: Refusal


Placement = TargetPlacement | GroupPlacement | Deferred | Unplaceable


class Router(Protocol):
    """Chooses targets and keeps the charges on them."""

    def configure(self, document: Document) -> None:
        """Take a document that is now in force."""
        ...

    def update_targets(
        self,
        service: str,
        targets: tuple[TargetView, ...],
        now: Instant,
    ) -> None:
        """Take the whole list of a service's targets."""
        ...

    def place(
        self,
        profile: CallProfile,
        avoid: frozenset[TargetName],
        now: Instant,
    ) -> Placement:
        """Choose where a call goes; nothing is charged yet."""
        ...

    def charge(
        self,
        attempt: AttemptId,
        profile: CallProfile,
        targets: tuple[TargetName, ...],
        now: Instant,
    ) -> None:
        """Charge an attempt to the targets that it was placed on."""
        ...

    def note_first_token(self, attempt: AttemptId, now: Instant) -> None:
        """Drop the prefill part of an attempt's charge."""
        ...

    def release(
        self,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        now: Instant,
    ) -> None:
        """Drop an attempt's charge and learn from how it ended."""
        ...

    def note_load(
        self,
        target: TargetName,
        report: LoadReport | None,
        now: Instant,
    ) -> None:
        """Take a load report, or that none could be had."""
        ...

    def note_cache_events(
        self,
        target: TargetName,
        cache_events: tuple[CacheEvent, ...],
        now: Instant,
    ) -> None:
        """Take cache events, which are late and may have gaps."""
        ...

    def note_peer_charges(
        self,
        peer: InstanceName,
        charges: tuple[ChargeWord, ...],
        now: Instant,
    ) -> None:
        """Take what a peer has outstanding."""
        ...

    def list_charges(self, limit: int) -> tuple[ChargeWord, ...]:
        """Return at most ``limit`` of this instance's charges for a peer."""
        ...

    def estimate_wait_s(self, profile: CallProfile, now: Instant) -> float:
        """Estimate the seconds to a call's first token if placed now."""
        ...
