"""Decides whether a failed attempt is followed by another."""

from attrs import define

from trefoilhinge.conf.generated.document import Document
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.events import AttemptEnded
from trefoilhinge.core.identifiers import TargetName
from trefoilhinge.core.profiles import CallProfile
from trefoilhinge.core.verdicts import RefusalCode, Verdict
from trefoilhinge.node.parts import GiveUp, RetryAfter, RetryDecision

MAXIMUM_ATTEMPTS = 4
FIRST_DELAY_S = 0.05


@define
class CarefulRetryPolicy:
    """Repeats only what did not run or may run twice."""

    def configure(self, document: Document) -> None:
        """Take a document that is now in force."""

    def note_first_attempt(
        self,
        profile: CallProfile,
        target: TargetName,
        now: Instant,
    ) -> None:
        """Take no notice: there is no budget yet."""

    def decide(
        self,
        profile: CallProfile,
        ended: AttemptEnded,
        target: TargetName,
        now: Instant,
    ) -> RetryDecision:
        """Decide on a failed attempt."""
        harmless = ended.outcome.proves_not_run
        verdict = Verdict.NOT_RUN if harmless else Verdict.MAY_HAVE_RUN
        if ended.relayed or not (harmless or profile.idempotent):
            return GiveUp(verdict, RefusalCode.TARGET_FAILED)
        if ended.attempt.number >= MAXIMUM_ATTEMPTS:
            return GiveUp(verdict, RefusalCode.TARGET_FAILED)
        delay_s = FIRST_DELAY_S * 2**ended.attempt.number
        if ended.retry_after_s is not None:
            delay_s = max(delay_s, ended.retry_after_s)
        if now.monotonic_s + delay_s >= profile.deadline_s:
            return GiveUp(verdict, RefusalCode.TARGET_FAILED)
        return RetryAfter(delay_s)


def make_careful_retry_policy() -> CarefulRetryPolicy:
    """Return a policy without a budget."""
    return CarefulRetryPolicy()
