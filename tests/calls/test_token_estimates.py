import pytest

from trefoilhinge.calls.token_estimates import (
    FIRST_BYTES_PER_TOKEN,
    MAXIMUM_BYTES_PER_TOKEN,
    TokenRatios,
)


class TestTokenRatios:
    def test_starts_with_a_usual_ratio(self):
        assert TokenRatios().find('writer') == FIRST_BYTES_PER_TOKEN

    def test_learns_what_an_engine_counts(self):
        ratios = TokenRatios()
        for _ in range(200):
            ratios.learn('writer', 3_000, 1_000)
        assert ratios.find('writer') == pytest.approx(3, rel=0.01)
        assert ratios.find('desk') == FIRST_BYTES_PER_TOKEN

    def test_is_bounded_against_an_engine_that_counts_wrongly(self):
        ratios = TokenRatios()
        for _ in range(500):
            ratios.learn('writer', 10**9, 100)
        assert ratios.find('writer') <= MAXIMUM_BYTES_PER_TOKEN

    def test_ignores_few_tokens(self):
        ratios = TokenRatios()
        ratios.learn('writer', 10, 10)
        assert ratios.find('writer') == FIRST_BYTES_PER_TOKEN
