"""Retry policy: backoff with jitter, within retry budgets."""

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
INITIAL_BACKOFF_S = 0.05
MAXIMUM_BACKOFF_S = 2.0
MINIMUM_JITTER_FACTOR = 0.5


@define
class BudgetedRetryPolicy:
    """Retries calls that did not run or are idempotent, within budgets.

    Budgets are kept for each organisation and each target; a retry needs both.
    """

    _generator: np.random.Generator = field(repr=False)
    _organisation_budgets: RetryBudgets = field(factory=RetryBudgets)
    _target_budgets: RetryBudgets = field(factory=RetryBudgets)

    def configure(self, document: Document) -> None:
        """Ignore the document, which has no settings for retries."""

    def note_first_attempt(
        self,
        profile: CallProfile,
        target: TargetName,
        now: Instant,
    ) -> None:
        """Add to the retry budgets for the first attempt of a call."""
        self._organisation_budgets.deposit(profile.organisation, now)
        self._target_budgets.deposit(target, now)

    def decide(
        self,
        profile: CallProfile,
        ended: AttemptEnded,
        target: TargetName,
        now: Instant,
    ) -> RetryDecision:
        """Decide on a failed attempt; a retry is charged to the budgets."""
        proven_not_run = ended.outcome.proves_not_run
        verdict = Verdict.NOT_RUN if proven_not_run else Verdict.MAY_HAVE_RUN
        retry_after_s = _get_retry_after_s(ended)
        if ended.relayed:
            # A new run may generate output that differs from the part that was
            # already relayed.
            return GiveUp(verdict, RefusalCode.ANSWER_INCOMPLETE, retry_after_s)
        if not (proven_not_run or profile.idempotent):
            return GiveUp(verdict, RefusalCode.TARGET_FAILED, retry_after_s)
        delay_s = max(self._compute_backoff_s(ended), retry_after_s or 0)
        past_deadline = now.monotonic_s + delay_s >= profile.deadline_s
        if past_deadline or ended.attempt.number >= MAXIMUM_ATTEMPTS:
            return GiveUp(verdict, RefusalCode.TARGET_FAILED, retry_after_s)
        if not self._withdraw_retry(profile, ended, target, now):
            code = RefusalCode.TARGET_FAILED
            if proven_not_run:
                code = RefusalCode.OVERLOADED
            return GiveUp(verdict, code, retry_after_s)
        return RetryAfter(delay_s)

    def _withdraw_retry(
        self,
        profile: CallProfile,
        ended: AttemptEnded,
        target: TargetName,
        now: Instant,
    ) -> bool:
        if ended.outcome is AttemptOutcome.LEASE_LOST:
            # The delay was in this process; no request reached the target.
            return True
        organisation = profile.organisation
        if not self._organisation_budgets.has_retry(organisation, now):
            return False
        if not self._target_budgets.has_retry(target, now):
            return False
        self._organisation_budgets.withdraw(organisation, now)
        self._target_budgets.withdraw(target, now)
        return True

    def _compute_backoff_s(self, ended: AttemptEnded) -> float:
        # The number may be zero if the attempt was prepared but never sent.
        backoff_s = INITIAL_BACKOFF_S * 2**ended.attempt.number
        jitter_factor = self._generator.uniform(MINIMUM_JITTER_FACTOR, 1)
        return min(MAXIMUM_BACKOFF_S, backoff_s) * float(jitter_factor)


def _get_retry_after_s(ended: AttemptEnded) -> float | None:
    retry_after_s = ended.retry_after_s
    if (
        retry_after_s is None
        or not math.isfinite(retry_after_s)
        or retry_after_s < 0
    ):
        return None
    return retry_after_s


def make_budgeted_retry_policy(seed: int) -> BudgetedRetryPolicy:
    """Return a policy with initial budgets.

    :param seed: seed of the jitter.
    """
    return BudgetedRetryPolicy(np.random.default_rng(seed))
