"""Interface of the router to a node: placements and the router protocol."""

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
    """Placement of a call on one target, to be sent now.

    :ivar target: the target.
    :ivar priority: engine priority, ``None`` to use the priority of the call.
    """

    target: TargetView
    priority: int | None = None


@frozen
class GroupMember:
    """One engine of a group and its segment of the prompt.

    :ivar target: the engine.
    :ivar first_token: index of the first prompt token of the segment.
    :ivar tokens: number of prompt tokens in the segment.
    """

    target: TargetView
    first_token: int
    tokens: int


@frozen
class GroupPlacement:
    """Placement on a group of engines, for a prompt beyond one engine's memory.

    :ivar members: members in the order of their segments; the last one
        decodes.
    """

    members: tuple[GroupMember, ...]


@frozen
class Deferred:
    """No target is available for the call at present.

    :ivar until_s: monotonic seconds by which placement is tried again at the
        latest.
    """

    until_s: float


@frozen
class Unplaceable:
    """No target and no group of engines can serve the call.

    :ivar refusal: refusal to answer the caller with.
    """

    refusal: Refusal


Placement = TargetPlacement | GroupPlacement | Deferred | Unplaceable


class Router(Protocol):
    """Places calls on targets and accounts for their outstanding work."""

    def configure(self, document: Document) -> None:
        """Apply a document that is now in force."""
        ...

    def update_targets(
        self,
        service: str,
        targets: tuple[TargetView, ...],
        now: Instant,
    ) -> None:
        """Replace the list of targets of a service."""
        ...

    def place(
        self,
        profile: CallProfile,
        avoid: frozenset[TargetName],
        now: Instant,
    ) -> Placement:
        """Place a call without charging it yet.

        :param avoid: targets to use only if no other target is available.
        """
        ...

    def charge(
        self,
        attempt: AttemptId,
        profile: CallProfile,
        targets: tuple[TargetName, ...],
        now: Instant,
    ) -> None:
        """Charge an attempt to the targets it was placed on."""
        ...

    def note_first_token(self, attempt: AttemptId, now: Instant) -> None:
        """Remove the prefill part of an attempt's charge."""
        ...

    def release(
        self,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        now: Instant,
    ) -> None:
        """Remove an attempt's charge and update the target's health."""
        ...

    def note_load(
        self,
        target: TargetName,
        report: LoadReport | None,
        now: Instant,
    ) -> None:
        """Record a load report, ``None`` if it could not be read."""
        ...

    def note_cache_events(
        self,
        target: TargetName,
        cache_events: tuple[CacheEvent, ...],
        now: Instant,
    ) -> None:
        """Record cache events, which arrive late and may have gaps."""
        ...

    def note_peer_charges(
        self,
        peer: InstanceName,
        charges: tuple[ChargeWord, ...],
        now: Instant,
    ) -> None:
        """Record the outstanding charges of a peer."""
        ...

    def list_charges(self, limit: int) -> tuple[ChargeWord, ...]:
        """Return up to ``limit`` charges of this instance to send to a peer."""
        ...

    def estimate_ttft_s(self, profile: CallProfile, now: Instant) -> float:
        """Estimate the time to first token of a call placed now, in seconds."""
        ...
