"""Tests of the permits that the owner of a limited target grants."""

import itertools

import pytest

from tests.gateway.rate_windows import WINDOW_S, count_most
from trefoilhinge.dispatch.permit_buckets import make_permit_bucket
from trefoilhinge.dispatch.permits import (
    PermitRequest,
    PermitVerdict,
    choose_owner,
)

STEP_S = 0.01
INSTANCES = [f'10.1.0.{number}' for number in range(61)]


def make_request(number, priority=1, patience_s=0.0, origin='a/1'):
    return PermitRequest(origin, number, 't00', 1000, priority, patience_s)


def request_verdict(bucket, request, now_s):
    """Return the verdict on a request, without those on others."""
    decisions = bucket.request(request, now_s)
    return next(one.verdict for one in decisions if one.key == request.key)


def grant_without_pause(rate, seconds, begin_s=100.0):
    """Ask without pause; return the times of the granted permits."""
    bucket = make_permit_bucket(rate, begin_s)
    granted = []
    for number in range(int(seconds / STEP_S)):
        now_s = begin_s + number * STEP_S
        granted.extend(
            now_s
            for one in bucket.request(make_request(number), now_s)
            if one.verdict is PermitVerdict.granted
        )
    return granted


class TestPermitBucket:
    @pytest.mark.parametrize('rate', [0.3, 1, 1.2, 7.5, 40])
    def test_grants_the_named_rate_and_little_more(self, rate):
        granted = grant_without_pause(rate, 40)
        assert count_most(granted) <= rate * WINDOW_S + 2
        assert len(granted) >= rate * 40 * 0.9

    @pytest.mark.parametrize('rate', [0.3, 1, 20])
    def test_idle_bucket_saves_up_little(self, rate):
        bucket = make_permit_bucket(rate, 0)
        verdicts = [
            request_verdict(bucket, make_request(number), 1000)
            for number in range(200)
        ]
        granted = verdicts.count(PermitVerdict.granted)
        assert 1 <= granted <= max(1, rate / 2) + 1

    def test_requests_without_a_permit_are_made_up_for(self):
        bucket = make_permit_bucket(1, 0)
        for number in range(3):
            bucket.charge(('b/1', number), 1)
        assert bucket.estimate_wait_s(1) == pytest.approx(2)

    def test_run_with_a_permit_is_counted_once(self):
        bucket = make_permit_bucket(1, 0)
        request = make_request(1)
        assert request_verdict(bucket, request, 1) is PermitVerdict.granted
        level = bucket.get_level(1)
        bucket.charge(request.key, 1)
        assert bucket.get_level(1) == level

    def test_repeated_request_gets_the_same_answer(self):
        """Guards against a permit counted twice after a lost datagram."""
        bucket = make_permit_bucket(1, 0)
        request = make_request(1)
        first = bucket.request(request, 1)
        assert bucket.request(request, 1.1) == first
        assert bucket.get_level(1.1) == pytest.approx(0.1)

    def test_most_urgent_request_is_granted_first(self):
        bucket = make_permit_bucket(1, 0)
        bucket.charge(None, 0)
        bucket.request(make_request(1, priority=3, patience_s=5), 0)
        bucket.request(make_request(2, priority=1, patience_s=5), 0)
        granted = []
        for now_s in (0.5, 1.1, 1.6, 2.2):
            for number, priority in ((1, 3), (2, 1)):
                request = make_request(number, priority, patience_s=5)
                if number not in granted:
                    granted.extend(
                        one.number
                        for one in bucket.request(request, now_s)
                        if one.verdict is PermitVerdict.granted
                    )
        assert granted == [2, 1]

    def test_displaced_request_is_refused_at_once(self):
        bucket = make_permit_bucket(1, 0)
        bucket.charge(None, 0)
        waiting = make_request(1, priority=3, patience_s=1.5)
        assert request_verdict(bucket, waiting, 0) is PermitVerdict.waiting
        urgent = make_request(2, priority=1, patience_s=5)
        verdicts = {
            one.number: (one.verdict, one.wait_s)
            for one in bucket.request(urgent, 0)
        }
        assert verdicts == {
            1: (PermitVerdict.refused, 2),
            2: (PermitVerdict.waiting, 1),
        }

    def test_request_that_cannot_wait_is_refused_with_a_true_time(self):
        bucket = make_permit_bucket(0.5, 0)
        bucket.charge(None, 0)
        (decision,) = bucket.request(make_request(1, patience_s=1), 0)
        assert decision.verdict is PermitVerdict.refused
        assert decision.wait_s == 2

    def test_request_that_is_not_repeated_is_forgotten(self):
        bucket = make_permit_bucket(1, 0)
        bucket.charge(None, 0)
        bucket.request(make_request(1, patience_s=5), 0)
        assert bucket.decide_due(2) == []
        assert bucket.count_waiting() == 0

    def test_end_of_the_limit_grants_what_waits(self):
        bucket = make_permit_bucket(1, 0)
        bucket.charge(None, 0)
        bucket.request(make_request(1, patience_s=5), 0)
        assert [one.verdict for one in bucket.grant_all()] == [
            PermitVerdict.granted
        ]

    def test_wait_that_the_owner_stated_is_adopted(self):
        bucket = make_permit_bucket(2, 0)
        bucket.apply_wait(3, 1)
        assert bucket.estimate_wait_s(1) == pytest.approx(3)
        bucket.apply_wait(0.5, 1)
        assert bucket.estimate_wait_s(1) == pytest.approx(3)


class TestOwner:
    def test_order_of_the_instances_does_not_matter(self):
        for number in range(20):
            target = f't{number}'
            assert choose_owner(target, INSTANCES) == choose_owner(
                target, reversed(INSTANCES)
            )

    def test_instance_that_leaves_moves_its_own_targets_only(self):
        for number, leaving in itertools.product(range(50), INSTANCES[:3]):
            target = f't{number}'
            before = choose_owner(target, INSTANCES)
            others = [ip for ip in INSTANCES if ip != leaving]
            if before != leaving:
                assert choose_owner(target, others) == before

    def test_targets_are_spread_over_the_instances(self):
        owners = {
            choose_owner(f't{number}', INSTANCES) for number in range(500)
        }
        assert len(owners) == len(INSTANCES)
