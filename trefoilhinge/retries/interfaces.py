"""What a node needs of retries: claims, the ledger and the policy."""

from typing import Protocol

from attrs import frozen

from trefoilhinge.conf.generated.document import Document
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.events import AttemptEnded
from trefoilhinge.core.identifiers import AttemptId, InstanceName, TargetName
from trefoilhinge.core.profiles import CallProfile
from trefoilhinge.core.verdicts import Refusal, RefusalCode, Verdict


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
