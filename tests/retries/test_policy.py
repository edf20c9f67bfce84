import math

import pytest

from tests.retries.calls import START_S, at, make_call
from trefoilhinge.core.events import AttemptEnded, AttemptOutcome
from trefoilhinge.core.identifiers import AttemptId
from trefoilhinge.core.verdicts import RefusalCode, Verdict
from trefoilhinge.retries.interfaces import GiveUp, RetryAfter
from trefoilhinge.retries.policy import make_budgeted_retry_policy


def end(outcome=AttemptOutcome.REFUSED, number=1, **fields):
    return AttemptEnded(AttemptId('r1', number), outcome, **fields)


def decide(policy, ended, now=None, target='t1', **options):
    call = make_call(**{'idempotent': True, **options})
    return policy.decide(call, ended, target, now or at(0))


class TestDelays:
    def test_delays_grow_and_vary(self):
        policy = make_budgeted_retry_policy(1)
        delays = [
            decide(policy, end(number=n), target=f't{n}').delay_s
            for n in (1, 2, 3)
        ]
        for number, delay_s in enumerate(delays, 1):
            assert 0.5 <= delay_s / (0.05 * 2**number) <= 1
        again = make_budgeted_retry_policy(1)
        assert decide(again, end()).delay_s == delays[0]
        other = make_budgeted_retry_policy(2)
        assert decide(other, end()).delay_s != delays[0]

    def test_wait_that_the_target_asked_for_is_kept(self):
        policy = make_budgeted_retry_policy(1)
        assert decide(policy, end(retry_after_s=7)) == RetryAfter(7)

    @pytest.mark.parametrize('wait_s', [math.nan, math.inf, -5])
    def test_senseless_wait_is_ignored(self, wait_s):
        policy = make_budgeted_retry_policy(1)
        assert decide(policy, end(retry_after_s=wait_s)).delay_s < 1

    def test_no_retry_past_the_deadline(self):
        policy = make_budgeted_retry_policy(1)
        decision = decide(
            policy,
            end(retry_after_s=7),
            deadline_s=START_S + 6,
        )
        assert decision == GiveUp(
            Verdict.NOT_RUN,
            RefusalCode.TARGET_FAILED,
            7,
        )


class TestBudgets:
    def spend_all(self, policy, now, organisation='hotel', targets=100):
        spent = 0
        for number in range(targets):
            decision = decide(
                policy,
                end(),
                now,
                f't{number}',
                organisation=organisation,
            )
            if isinstance(decision, GiveUp):
                assert decision.code is RefusalCode.OVERLOADED
                assert decision.verdict is Verdict.NOT_RUN
                return spent
            spent += 1
        return spent

    def test_organisation_that_fails_all_over_stops_retrying(self):
        policy = make_budgeted_retry_policy(1)
        assert self.spend_all(policy, at(0)) == 3
        assert self.spend_all(policy, at(0), 'hall') == 3

    def test_first_attempts_earn_a_tenth(self):
        policy = make_budgeted_retry_policy(1)
        self.spend_all(policy, at(0))
        for _ in range(101):
            policy.note_first_attempt(make_call(), 't1', at(0))
        assert self.spend_all(policy, at(0)) == 10

    def test_seldom_caller_earns_with_time(self):
        policy = make_budgeted_retry_policy(1)
        self.spend_all(policy, at(0))
        assert self.spend_all(policy, at(11)) == 2

    def test_call_that_may_have_run_is_not_told_to_be_overloaded(self):
        policy = make_budgeted_retry_policy(1)
        self.spend_all(policy, at(0))
        decision = decide(policy, end(AttemptOutcome.ERRORED))
        assert decision == GiveUp(
            Verdict.MAY_HAVE_RUN,
            RefusalCode.TARGET_FAILED,
        )

    def test_target_that_fails_everybody_is_spared(self):
        policy = make_budgeted_retry_policy(1)
        decisions = [
            decide(policy, end(), organisation=f'o{number}')
            for number in range(10)
        ]
        retried = [one for one in decisions if isinstance(one, RetryAfter)]
        assert len(retried) == 3

    def test_own_pause_costs_no_budget(self):
        policy = make_budgeted_retry_policy(1)
        for _ in range(10):
            lost = end(AttemptOutcome.LEASE_LOST)
            assert isinstance(decide(policy, lost), RetryAfter)
