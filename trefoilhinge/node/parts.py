"""Interfaces of the cores that a node is composed of.

Each app implements one of these; ``node`` knows no implementation but through
the factory in ``node.composition``.
"""

from collections.abc import Iterable
from typing import Protocol

from attrs import frozen

from trefoilhinge.conf.generated.document import Document
from trefoilhinge.conf.generated.messages import (
    ChargeWord,
    DemandWord,
    PeerExchange,
)
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.effects import Effect
from trefoilhinge.core.events import (
    AttemptEnded,
    AttemptOutcome,
    EngineStateRead,
    GroupStepEnded,
    HoldingReleased,
    InstancesListed,
    OrderAnswered,
)
from trefoilhinge.core.identifiers import (
    AttemptId,
    HoldingTag,
    InstanceIdentity,
    InstanceName,
    RequestId,
    TargetName,
)
from trefoilhinge.core.profiles import CallProfile
from trefoilhinge.core.reports import CacheEvent, LoadReport
from trefoilhinge.core.verdicts import Refusal, RefusalCode, Verdict


@frozen
class TargetView:
    """A target as this instance sees it.

    :ivar leaving: whether any source said that this incarnation leaves.
    """

    name: TargetName
    address: str
    failure_domain: str
    service: str
    leaving: bool = False
    incarnation: int = 0


@frozen
class PlacedOn:
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
class PlacedOnGroup:
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
class Impossible:
    """No target can ever take the call in its time."""

    refusal: Refusal


Placement = PlacedOn | PlacedOnGroup | Deferred | Impossible


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


class Limiter(Protocol):
    """Admits calls by organisation and orders those that wait."""

    def configure(self, document: Document) -> None:
        """Take a document that is now in force."""
        ...

    def admit(
        self,
        profile: CallProfile,
        wait_s: float,
        now: Instant,
    ) -> Refusal | None:
        """Charge the organisation and queue the call, or refuse it.

        :param wait_s: estimated seconds to the first token once placed.
        """
        ...

    def requeue(self, profile: CallProfile, now: Instant) -> None:
        """Queue an admitted call again, ahead of new ones."""
        ...

    def list_ready(self, now: Instant) -> Iterable[CallProfile]:
        """Yield queued calls, the one to place first in front."""
        ...

    def remove(self, request_id: RequestId) -> None:
        """Take a call out of the queue; no error if it is not there."""
        ...

    def settle(
        self,
        profile: CallProfile,
        verdict: Verdict,
        tokens: int,
        now: Instant,
    ) -> None:
        """Correct a call's charge by the tokens it really took."""
        ...

    def note_peer_demands(
        self,
        peer: InstanceName,
        demands: tuple[DemandWord, ...],
        now: Instant,
    ) -> None:
        """Take a peer's word of what organisations ask for there."""
        ...

    def note_peers(
        self,
        live: frozenset[InstanceName],
        expected: int,
        now: Instant,
    ) -> None:
        """Take which peers are heard from, and how many there should be."""
        ...

    def list_demands(self, limit: int, now: Instant) -> tuple[DemandWord, ...]:
        """Return at most ``limit`` demands of this instance for a peer."""
        ...

    def count_queued(self) -> int:
        """Return how many calls wait."""
        ...


@frozen
class ClaimGranted:
    """This instance owns the call and may send it."""


@frozen
class ClaimForwarded:
    """Another instance owns the call's key."""

    owner: InstanceName
    incarnation: int


@frozen
class ClaimRefused:
    """The call must not be sent from anywhere."""

    refusal: Refusal


Claim = ClaimGranted | ClaimForwarded | ClaimRefused


class Ledger(Protocol):
    """Keeps calls that may not be repeated to one run."""

    def configure(self, document: Document) -> None:
        """Take a document that is now in force."""
        ...

    def claim(self, profile: CallProfile, now: Instant) -> Claim:
        """Decide whether a call may run, and where."""
        ...

    def record_intent(
        self,
        profile: CallProfile,
        attempt: AttemptId,
        now: Instant,
    ) -> None:
        """Record that the first byte of an attempt is about to leave."""
        ...

    def settle(
        self,
        profile: CallProfile,
        verdict: Verdict,
        now: Instant,
    ) -> None:
        """Record how a call ended."""
        ...

    def mint_key(self, organisation: str, now: Instant) -> str:
        """Return a new key of this incarnation, empty once it is sealed."""
        ...

    def export_entries(self, now: Instant) -> tuple[str, ...]:
        """Seal the ledger and return it in parts, none if it is empty."""
        ...

    def adopt_entries(self, text: str, now: Instant) -> bool:
        """Take over a part of a stopping peer's ledger; false if refused."""
        ...

    def expire(self, now: Instant) -> None:
        """Forget what is past its window."""
        ...


@frozen
class RetryAfter:
    """Try the call again.

    :ivar delay_s: seconds to wait first.
    """

    delay_s: float


@frozen
class GiveUp:
    """Do not try again.

    :ivar verdict: what is known of the call.
    :ivar code: code of the refusal.
    :ivar retry_after_s: seconds that the target asked to wait, if it did.
    """

    verdict: Verdict
    code: RefusalCode
    retry_after_s: float | None = None


RetryDecision = RetryAfter | GiveUp


class RetryPolicy(Protocol):
    """Decides whether a failed attempt is followed by another."""

    def configure(self, document: Document) -> None:
        """Take a document that is now in force."""
        ...

    def note_first_attempt(
        self,
        profile: CallProfile,
        target: TargetName,
        now: Instant,
    ) -> None:
        """Earn budget: a call was sent for the first time."""
        ...

    def decide(
        self,
        profile: CallProfile,
        ended: AttemptEnded,
        target: TargetName,
        now: Instant,
    ) -> RetryDecision:
        """Decide on a failed attempt; spends budget if it retries."""
        ...


class Fleet(Protocol):
    """Knows the instances and targets, and who is leaving."""

    def configure(self, document: Document, now: Instant) -> None:
        """Take a document that is now in force."""
        ...

    def note_listed(self, listed: InstancesListed, now: Instant) -> None:
        """Take the platform's lists, which lag."""
        ...

    def note_leaving(
        self,
        target: TargetName,
        incarnation: int,
        now: Instant,
    ) -> None:
        """Take the word that an incarnation of a target is leaving."""
        ...

    def note_incarnation(
        self,
        target: TargetName,
        incarnation: int,
        now: Instant,
    ) -> None:
        """Take a target's own word of its incarnation."""
        ...

    def list_targets(self, service: str) -> tuple[TargetView, ...]:
        """Return every target of a service, leaving ones marked."""
        ...

    def take_changed_services(self) -> frozenset[str]:
        """Return the services whose targets changed since the last call."""
        ...

    def take_news(self) -> bool:
        """Return whether something is to be told to peers at once."""
        ...

    def choose_news_peers(
        self, now: Instant
    ) -> tuple[tuple[InstanceName, str], ...]:
        """Return names and addresses of peers to tell news to."""
        ...

    def list_successors(
        self, now: Instant
    ) -> tuple[tuple[InstanceName, str], ...]:
        """Return live peers that may answer for this instance."""
        ...

    def note_exchange(self, exchange: PeerExchange, now: Instant) -> bool:
        """Take a peer's message; false if it is older than one taken."""
        ...

    def note_peer_silent(self, peer: InstanceName, now: Instant) -> None:
        """Take that a peer did not answer."""
        ...

    def choose_peers(
        self, now: Instant
    ) -> tuple[tuple[InstanceName, str], ...]:
        """Return names and addresses of peers to send to now."""
        ...

    def is_chosen(self, count: int, salt: str, now: Instant) -> bool:
        """Return whether this is one of ``count`` live instances by hash."""
        ...

    def list_live(self, now: Instant) -> frozenset[InstanceIdentity]:
        """Return the instances heard from, this one included."""
        ...

    def count_expected(self) -> int:
        """Return how many instances there should be, this one included."""
        ...

    def find_address(
        self,
        peer: InstanceName,
        incarnation: int,
    ) -> str | None:
        """Return the address of one incarnation, none if it is not known."""
        ...

    def fill_exchange(self, now: Instant) -> PeerExchange:
        """Return this instance's word on instances and leaving targets."""
        ...

    def note_stopping(self) -> None:
        """Mark this instance as stopping."""
        ...


class DocumentKeeper(Protocol):
    """Holds the document in force and never goes back."""

    @property
    def document(self) -> Document | None:
        """Return the document in force, none before the first."""
        ...

    @property
    def text(self) -> str:
        """Return the document in force as JSON text."""
        ...

    @property
    def revision(self) -> int:
        """Return the revision in force, zero before the first."""
        ...

    @property
    def digest(self) -> str:
        """Return the digest of the document in force."""
        ...

    def offer(self, text: str, source: str, now: Instant) -> tuple[Effect, ...]:
        """Accept a document if it is valid and newer; log what was done."""
        ...

    def offer_deltas(
        self,
        text: str,
        source: str,
        now: Instant,
    ) -> tuple[Effect, ...]:
        """Accept the document that deltas lead to; log what was done."""
        ...

    def find_deltas(self, base: str) -> str:
        """Return deltas from a digest as JSON text, empty if unknown."""
        ...

    def is_refused(self, digest: str) -> bool:
        """Return whether a document was found invalid here."""
        ...

    @property
    def refused(self) -> str:
        """Return the digest of the document last found invalid."""
        ...


class Steward(Protocol):
    """Brings targets to the state that the document asks for."""

    def configure(self, document: Document, now: Instant) -> None:
        """Take a document that is now in force."""
        ...

    def note_state(
        self,
        event: EngineStateRead,
        now: Instant,
    ) -> tuple[Effect, ...]:
        """Take a target's state and order what is missing."""
        ...

    def note_answer(
        self,
        event: OrderAnswered,
        now: Instant,
    ) -> tuple[Effect, ...]:
        """Take a target's answer to an order."""
        ...

    def act(
        self,
        live: frozenset[InstanceIdentity],
        expected: int,
        targets: tuple[TargetView, ...],
        now: Instant,
    ) -> tuple[Effect, ...]:
        """Read states that are due and send orders that are due.

        :param expected: how many instances there should be.
        """
        ...

    def note_pause(self, now: Instant) -> None:
        """Treat every lease as lost: this process was paused."""
        ...


@frozen
class GroupReady:
    """Every segment is in place: the leader may be sent the call."""

    attempt: AttemptId
    leader: TargetView
    tag: HoldingTag


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

    def list_held(self) -> tuple[HoldingTag, ...]:
        """Return the tags that are held or not yet confirmed released."""
        ...
