"""Interfaces of retries to a node: claims, the ledger and the policy."""

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
    """The call may be sent by this instance."""


@frozen
class ClaimForwarded:
    """The call must be forwarded to the owner of its key.

    :ivar owner: name of the instance that owns the key.
    :ivar incarnation: incarnation that minted the key.
    """

    owner: InstanceName
    incarnation: int


@frozen
class ClaimRefused:
    """The call must not be sent by any instance.

    :ivar refusal: refusal to answer the caller with.
    """

    refusal: Refusal


Claim = ClaimGranted | ClaimForwarded | ClaimRefused


class Ledger(Protocol):
    """Ensures that calls that are not idempotent run at most once."""

    def configure(self, document: Document) -> None:
        """Apply a document that is now in force."""
        ...

    def claim(self, profile: CallProfile, now: Instant) -> Claim:
        """Decide whether a call may be sent, and by which instance."""
        ...

    def record_intent(
        self,
        profile: CallProfile,
        attempt: AttemptId,
        now: Instant,
    ) -> None:
        """Record that an attempt is about to be sent, so the call may run."""
        ...

    def settle(
        self,
        profile: CallProfile,
        verdict: Verdict,
        now: Instant,
    ) -> None:
        """Record the verdict on a call that ended."""
        ...

    def mint_key(self, organisation: str, now: Instant) -> str:
        """Return a new key, empty once the ledger is sealed."""
        ...

    def export_entries(self, now: Instant) -> tuple[str, ...]:
        """Seal the ledger; return its parts, none if no key was minted."""
        ...

    def adopt_entries(self, text: str, now: Instant) -> bool:
        """Adopt a part of a stopping peer's ledger; false if rejected."""
        ...

    def expire(self, now: Instant) -> None:
        """Drop the entries whose retention period has passed."""
        ...


@frozen
class RetryAfter:
    """Retry the call.

    :ivar delay_s: seconds to wait before the next attempt.
    """

    delay_s: float


@frozen
class GiveUp:
    """Do not retry the call.

    :ivar verdict: whether the call may have run.
    :ivar code: code of the refusal.
    :ivar retry_after_s: seconds that the target asked to wait, ``None`` if it
        did not ask.
    """

    verdict: Verdict
    code: RefusalCode
    retry_after_s: float | None = None


RetryDecision = RetryAfter | GiveUp


class RetryPolicy(Protocol):
    """Decides whether to retry a call after a failed attempt."""

    def configure(self, document: Document) -> None:
        """Apply a document that is now in force."""
        ...

    def note_first_attempt(
        self,
        profile: CallProfile,
        target: TargetName,
        now: Instant,
    ) -> None:
        """Add to the retry budgets for the first attempt of a call."""
        ...

    def decide(
        self,
        profile: CallProfile,
        ended: AttemptEnded,
        target: TargetName,
        now: Instant,
    ) -> RetryDecision:
        """Decide on a failed attempt; a retry is charged to the budgets."""
        ...
