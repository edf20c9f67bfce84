import pytest

from trefoilhinge.calls.token_estimates import (
    DEFAULT_BYTES_PER_TOKEN,
    MAXIMUM_BYTES_PER_TOKEN,
    TokenEstimator,
)


class TestTokenEstimator:
    def test_starts_with_the_default(self):
        assert (
            TokenEstimator().find_bytes_per_token('writer')
            == DEFAULT_BYTES_PER_TOKEN
        )

    def test_converges_to_the_counts_of_an_engine(self):
        estimator = TokenEstimator()
        for _ in range(200):
            estimator.record_prompt('writer', 3_000, 1_000)
        assert estimator.find_bytes_per_token('writer') == pytest.approx(
            3, rel=0.01
        )
        assert estimator.find_bytes_per_token('desk') == DEFAULT_BYTES_PER_TOKEN

    def test_is_clamped_if_an_engine_reports_wrong_counts(self):
        estimator = TokenEstimator()
        for _ in range(500):
            estimator.record_prompt('writer', 10**9, 100)
        assert (
            estimator.find_bytes_per_token('writer') <= MAXIMUM_BYTES_PER_TOKEN
        )

    def test_ignores_short_prompts(self):
        estimator = TokenEstimator()
        estimator.record_prompt('writer', 10, 10)
        assert (
            estimator.find_bytes_per_token('writer') == DEFAULT_BYTES_PER_TOKEN
        )
