import math

import pytest

from tests.retries.calls import START_S, at, make_call
from trefoilhinge.core.events import AttemptEnded, AttemptOutcome
from trefoilhinge.core.identifiers import AttemptId
from trefoilhinge.core.verdicts import RefusalCode, Verdict
from trefoilhinge.retries.interfaces import GiveUp, RetryAfter
from trefoilhinge.retries.policy import make_budgeted_retry_policy


def make_ended(outcome=AttemptOutcome.REFUSED, number=1, **fields):
    return AttemptEnded(AttemptId('r1', number), outcome, **fields)


def decide(policy, ended, now=None, target='t1', **options):
    call = make_call(**{'idempotent': True, **options})
    return policy.decide(call, ended, target, now or at(0))


class TestDelays:
    def test_delays_grow_exponentially_with_jitter(self):
        policy = make_budgeted_retry_policy(1)
        delays = [
            decide(policy, make_ended(number=n), target=f't{n}').delay_s
            for n in (1, 2, 3)
        ]
        for number, delay_s in enumerate(delays, 1):
            assert 0.5 <= delay_s / (0.05 * 2**number) <= 1
        same_seed = make_budgeted_retry_policy(1)
        assert decide(same_seed, make_ended()).delay_s == delays[0]
        other_seed = make_budgeted_retry_policy(2)
        assert decide(other_seed, make_ended()).delay_s != delays[0]

    def test_retry_after_of_the_target_is_honoured(self):
        policy = make_budgeted_retry_policy(1)
        assert decide(policy, make_ended(retry_after_s=7)) == RetryAfter(7)

    @pytest.mark.parametrize('wait_s', [math.nan, math.inf, -5])
    def test_invalid_retry_after_is_ignored(self, wait_s):
        policy = make_budgeted_retry_policy(1)
        assert decide(policy, make_ended(retry_after_s=wait_s)).delay_s < 1

    def test_no_retry_past_the_deadline(self):
        policy = make_budgeted_retry_policy(1)
        decision = decide(
            policy,
            make_ended(retry_after_s=7),
            deadline_s=START_S + 6,
        )
        assert decision == GiveUp(
            Verdict.NOT_RUN,
            RefusalCode.TARGET_FAILED,
            7,
        )


class TestBudgets:
    def exhaust_budget(self, policy, now, organisation='hotel', targets=100):
        retried = 0
        for number in range(targets):
            decision = decide(
                policy,
                make_ended(),
                now,
                f't{number}',
                organisation=organisation,
            )
            if isinstance(decision, GiveUp):
                assert decision.code is RefusalCode.OVERLOADED
                assert decision.verdict is Verdict.NOT_RUN
                return retried
            retried += 1
        return retried

    def test_organisation_budget_limits_retries_across_targets(self):
        policy = make_budgeted_retry_policy(1)
        assert self.exhaust_budget(policy, at(0)) == 3
        assert self.exhaust_budget(policy, at(0), 'hall') == 3

    def test_first_attempts_earn_a_tenth_of_a_retry(self):
        policy = make_budgeted_retry_policy(1)
        self.exhaust_budget(policy, at(0))
        for _ in range(101):
            policy.note_first_attempt(make_call(), 't1', at(0))
        assert self.exhaust_budget(policy, at(0)) == 10

    def test_budget_refills_with_time(self):
        policy = make_budgeted_retry_policy(1)
        self.exhaust_budget(policy, at(0))
        assert self.exhaust_budget(policy, at(11)) == 2

    def test_call_that_may_have_run_is_not_refused_as_overloaded(self):
        policy = make_budgeted_retry_policy(1)
        self.exhaust_budget(policy, at(0))
        decision = decide(policy, make_ended(AttemptOutcome.ERRORED))
        assert decision == GiveUp(
            Verdict.MAY_HAVE_RUN,
            RefusalCode.TARGET_FAILED,
        )

    def test_target_budget_limits_retries_across_organisations(self):
        policy = make_budgeted_retry_policy(1)
        decisions = [
            decide(policy, make_ended(), organisation=f'o{number}')
            for number in range(10)
        ]
        retried = [one for one in decisions if isinstance(one, RetryAfter)]
        assert len(retried) == 3

    def test_lost_lease_costs_no_budget(self):
        policy = make_budgeted_retry_policy(1)
        for _ in range(10):
            lost = make_ended(AttemptOutcome.LEASE_LOST)
            assert isinstance(decide(policy, lost), RetryAfter)
