import pytest

from trefoilhinge.calls.token_estimates import (
    DEFAULT_BYTES_PER_TOKEN,
    MAXIMUM_BYTES_PER_TOKEN,
    TokenEstimator,
)


class TestTokenEstimator:
    def test_starts_with_a_usual_ratio(self):
        assert (
            TokenEstimator().find_bytes_per_token('writer')
            == DEFAULT_BYTES_PER_TOKEN
        )

    def test_learns_what_an_engine_counts(self):
        estimator = TokenEstimator()
        for _ in range(200):
            estimator.record_prompt('writer', 3_000, 1_000)
        assert estimator.find_bytes_per_token('writer') == pytest.approx(
            3, rel=0.01
        )
        assert estimator.find_bytes_per_token('desk') == DEFAULT_BYTES_PER_TOKEN

    def test_is_bounded_against_an_engine_that_counts_wrongly(self):
        estimator = TokenEstimator()
        for _ in range(500):
            estimator.record_prompt('writer', 10**9, 100)
        assert (
            estimator.find_bytes_per_token('writer') <= MAXIMUM_BYTES_PER_TOKEN
        )

    def test_ignores_few_tokens(self):
        estimator = TokenEstimator()
        estimator.record_prompt('writer', 10, 10)
        assert (
            estimator.find_bytes_per_token('writer') == DEFAULT_BYTES_PER_TOKEN
        )
