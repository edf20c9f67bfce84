"""Tests of learned costs."""

import math
import random

import pytest

from trefoilhinge.dispatch.estimation.cost_table import CostTable
from trefoilhinge.dispatch.estimation.estimates import CallFeatures, Estimate
from trefoilhinge.dispatch.estimation.group_table import MAXIMUM_GROUPS
from trefoilhinge.dispatch.estimation.log_statistics import HALF_LIFE_S
from trefoilhinge.dispatch.estimation.remaining import estimate_remaining
from trefoilhinge.dispatch.estimation.samples import (
    OutputSample,
    PrefillSample,
    ServiceSample,
)

FEATURES = CallFeatures('notices', 'mill', 5_000, 400, 4_000)
LOOKUP = CallFeatures('lookups', 'mill')


def make_table(count, median=1.0, deviation=0.8, features=FEATURES):
    """Return a table that saw outputs around a multiple of their hints."""
    draws = random.Random(7)
    table = CostTable()
    for number in range(count):
        ratio = median * math.exp(draws.gauss(0, deviation))
        sample = OutputSample(features, ratio * features.hinted_tokens)
        table.record(sample, number * 0.02)
    return table


class TestOutputTokens:
    def test_without_samples_the_hint_is_used(self):
        """Guards against a new instance that places by made-up costs."""
        estimate = CostTable().estimate_output_tokens(FEATURES)
        assert estimate == Estimate(400, 400, 0)

    def test_learns_mean_and_upper_bound_of_hints_that_are_far_off(self):
        """Guards against memory for the median only, which half exceed."""
        estimate = make_table(500).estimate_output_tokens(FEATURES)
        assert estimate.mean == pytest.approx(400 * math.exp(0.32), rel=0.2)
        assert estimate.upper == pytest.approx(400 * math.exp(1.025), rel=0.2)

    def test_limit_of_the_call_is_never_exceeded(self):
        estimate = make_table(100, 50).estimate_output_tokens(FEATURES)
        assert estimate.upper == 4_000

    def test_organisations_are_told_apart(self):
        """Guards against one caller's poor hints that burden all others."""
        table = make_table(300, 4)
        other = CallFeatures('notices', 'farm', 5_000, 400, 4_000)
        for number in range(300):
            table.record(OutputSample(other, 400), 6 + number * 0.02)
        assert table.estimate_output_tokens(other).mean < 600
        assert table.estimate_output_tokens(FEATURES).mean > 1_200

    @pytest.mark.parametrize('tokens', [0, 1e9])
    @pytest.mark.parametrize('count', [0, 1, 50])
    def test_single_sample_has_bounded_influence(self, tokens, count):
        """Guards against one forged answer that misplaces all that follow."""
        table = make_table(count)
        before = table.estimate_output_tokens(FEATURES)
        table.record(OutputSample(FEATURES, tokens), count * 0.02)
        after = table.estimate_output_tokens(FEATURES)
        assert before.mean / 3 < after.mean < before.mean * 3
        assert before.upper / 6 < after.upper < before.upper * 6

    def test_old_samples_give_way_to_the_hint(self):
        table = make_table(20, 3)
        table.advance(12 * HALF_LIFE_S)
        assert table.estimate_output_tokens(FEATURES).samples == 0


class TestPrefillFactor:
    def test_slow_target_is_recognised(self):
        table = CostTable()
        for number in range(30):
            table.record(PrefillSample('t1', 3), number * 0.1)
        assert table.estimate_prefill_factor('t1').mean > 2.2
        assert table.estimate_prefill_factor('t2') == Estimate(1, 1, 0)

    @pytest.mark.parametrize(('count', 'is_slow'), [(1, False), (5, True)])
    def test_single_slow_prefill_is_not_believed(self, count, is_slow):
        """Guards against targets avoided for prompts that came between."""
        table = CostTable()
        for number in range(count):
            table.record(PrefillSample('t1', 4), number * 0.1)
        assert (table.estimate_prefill_factor('t1').mean > 1) == is_slow

    def test_target_is_never_taken_for_faster_than_published(self):
        """Guards against a forged sample that attracts all prompts."""
        table = CostTable()
        for number in range(30):
            table.record(PrefillSample('t1', 0.01), number * 0.1)
        assert table.estimate_prefill_factor('t1').mean == 1


class TestServiceTimes:
    def test_slow_target_is_told_from_the_others(self):
        table = CostTable()
        for number in range(60):
            table.record(ServiceSample(LOOKUP, 't1', 0.02), number * 0.05)
            table.record(ServiceSample(LOOKUP, 't2', 0.2), number * 0.05)
        fast = table.estimate_service_s(LOOKUP, 't1').mean
        assert table.estimate_service_s(LOOKUP, 't2').mean > 4 * fast

    def test_abandoned_call_counts_only_if_it_took_long(self):
        """Guards against fast failures that make a target look fast."""
        table = CostTable()
        for number in range(20):
            table.record(ServiceSample(LOOKUP, 't1', 0.05), number * 0.05)
        before = table.estimate_service_s(LOOKUP, 't1')
        table.record(
            ServiceSample(LOOKUP, 't1', 0.001, is_complete=False), 0.95
        )
        assert table.estimate_service_s(LOOKUP, 't1').mean == before.mean
        table.record(ServiceSample(LOOKUP, 't1', 2, is_complete=False), 1)
        assert table.estimate_service_s(LOOKUP, 't1').mean > before.mean

    def test_stuck_call_is_expected_to_take_ever_longer(self):
        """Guards against a stuck target whose calls look almost done."""
        table = CostTable()
        remaining = [
            table.estimate_outstanding_s('t1', [elapsed_s])
            for elapsed_s in (0.2, 1, 5, 1000)
        ]
        assert remaining == sorted(remaining)
        assert remaining[-1] > 10


class TestRemaining:
    def test_at_the_median_half_the_work_is_left(self):
        assert estimate_remaining(100, 0.5, 100) == pytest.approx(57, abs=3)

    def test_work_that_just_began_has_its_mean_ahead(self):
        mean = 100 * math.exp(0.125)
        assert estimate_remaining(100, 0.5, 0) == pytest.approx(mean)
        assert estimate_remaining(100, 0.5, 1) == pytest.approx(mean - 1)


class TestSummaries:
    def test_new_instance_knows_at_once_what_others_learned(self):
        table = CostTable()
        table.merge(make_table(300, 4).summarise(), 6)
        assert table.estimate_output_tokens(FEATURES).mean > 600

    def test_many_summaries_count_no_more_than_one(self):
        """Guards against 90 peers, or a forger, that outweigh own samples."""
        table = CostTable()
        summary = make_table(300, 4).summarise()
        table.merge(summary, 6)
        once = table.estimate_output_tokens(FEATURES)
        for _ in range(90):
            table.merge(summary, 6)
        assert table.estimate_output_tokens(FEATURES).mean == pytest.approx(
            once.mean, rel=0.01
        )

    def test_state_is_bounded(self):
        table = CostTable()
        for number in range(2 * MAXIMUM_GROUPS):
            features = CallFeatures('notices', f'o{number}', 5_000, 400, 4_000)
            table.record(OutputSample(features, 400), number)
        assert len(table) <= MAXIMUM_GROUPS
