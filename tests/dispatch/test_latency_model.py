"""Tests of an engine's latency model."""

import pytest

from tests.dispatch.samples import ENGINE_PROFILE
from trefoilhinge.dispatch.latency_model import (
    estimate_iteration_s,
    estimate_prefill_s,
)


class TestPrefill:
    def test_tokens_and_pairs_add_up(self):
        # 133,000 tokens at 206 a ms, and 8,844.5 million pairs at 0.138 ms.
        expected_s = 133_000 / 206 / 1000 + 8_844.5 * 0.138 / 1000
        assert estimate_prefill_s(ENGINE_PROFILE, 133_000) == pytest.approx(
            expected_s
        )

    def test_pairs_grow_with_the_square(self):
        single = estimate_prefill_s(ENGINE_PROFILE, 100_000)
        assert estimate_prefill_s(ENGINE_PROFILE, 200_000) > 3 * single


class TestIterations:
    def test_idle_iteration_takes_its_steps(self):
        assert estimate_iteration_s(ENGINE_PROFILE, 0, 0) == pytest.approx(
            43 * 1.02 / 1000
        )

    def test_context_of_streams_lengthens_it(self):
        expected_s = 43 * (1.02 + 8 * 0.00452 + 40 * 0.00431) / 1000
        assert estimate_iteration_s(ENGINE_PROFILE, 8, 40_000) == pytest.approx(
            expected_s
        )
