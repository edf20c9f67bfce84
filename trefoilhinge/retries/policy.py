"""Decides whether a failed attempt is followed by another."""

import math

import numpy as np
from attrs import define, field

from trefoilhinge.conf.generated.document import Document
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.events import AttemptEnded, AttemptOutcome
from trefoilhinge.core.identifiers import TargetName
from trefoilhinge.core.profiles import CallProfile
from trefoilhinge.core.verdicts import RefusalCode, Verdict
from trefoilhinge.retries.budgets import RetryBudgets
from trefoilhinge.retries.interfaces import GiveUp, RetryAfter, RetryDecision

MAXIMUM_ATTEMPTS = 4
FIRST_DELAY_S = 0.05
MAXIMUM_DELAY_S = 2.0
SMALLEST_JITTER = 0.5


@define
class CarefulRetryPolicy:
    """Repeats only what did not run or may run twice, within budgets."""

    _generator: np.random.Generator = field(repr=False)
    _organisations: RetryBudgets = field(factory=RetryBudgets)
    _targets: RetryBudgets = field(factory=RetryBudgets)

    def configure(self, document: Document) -> None:
        """Take a document that is now in force; it sets no retries."""

    def note_first_attempt(
        self,
        profile: CallProfile,
        target: TargetName,
        now: Instant,
    ) -> None:
        """Earn budget: a call was sent for the first time."""
        self._organisations.earn(profile.organisation, now)
        self._targets.earn(target, now)

    def decide(
        self,
        profile: CallProfile,
        ended: AttemptEnded,
        target: TargetName,
        now: Instant,
    ) -> RetryDecision:
        """Decide on a failed attempt; spends budget if it retries."""
        harmless = ended.outcome.proves_not_run
        verdict = Verdict.NOT_RUN if harmless else Verdict.MAY_HAVE_RUN
        asked_s = _read_wait_s(ended)
        if ended.relayed:
            # Another run may say something else than what was passed on.
            return GiveUp(verdict, RefusalCode.ANSWER_INCOMPLETE, asked_s)
        if not (harmless or profile.idempotent):
            return GiveUp(verdict, RefusalCode.TARGET_FAILED, asked_s)
        delay_s = max(self._choose_delay_s(ended), asked_s or 0)
        late = now.monotonic_s + delay_s >= profile.deadline_s
        if late or ended.attempt.number >= MAXIMUM_ATTEMPTS:
            return GiveUp(verdict, RefusalCode.TARGET_FAILED, asked_s)
        if not self._spend(profile, ended, target, now):
            code = RefusalCode.TARGET_FAILED
            if harmless:
                code = RefusalCode.OVERLOADED
            return GiveUp(verdict, code, asked_s)
        return RetryAfter(delay_s)

    def _spend(
        self,
        profile: CallProfile,
        ended: AttemptEnded,
        target: TargetName,
        now: Instant,
    ) -> bool:
        if ended.outcome is AttemptOutcome.LEASE_LOST:
            # This process was late; nothing was asked of the target.
            return True
        organisation = profile.organisation
        if not self._organisations.has(organisation, now):
            return False
        if not self._targets.has(target, now):
            return False
        self._organisations.spend(organisation, now)
        self._targets.spend(target, now)
        return True

    def _choose_delay_s(self, ended: AttemptEnded) -> float:
        # An attempt that was prepared and never sent may have number zero.
        doubled = FIRST_DELAY_S * 2**ended.attempt.number
        jitter = self._generator.uniform(SMALLEST_JITTER, 1)
        return min(MAXIMUM_DELAY_S, doubled) * float(jitter)


def _read_wait_s(ended: AttemptEnded) -> float | None:
    wait_s = ended.retry_after_s
    if wait_s is None or not math.isfinite(wait_s) or wait_s < 0:
        return None
    return wait_s


def make_careful_retry_policy(seed: int) -> CarefulRetryPolicy:
    """Return a policy with fresh budgets.

    :param seed: seed of the jitter of its delays.
    """
    return CarefulRetryPolicy(np.random.default_rng(seed))
