"""Tests of clock readings."""

import pytest

from trefoilhinge.core.clocks import Instant

LIMIT = Instant(10, 1000)


class TestInstant:
    @pytest.mark.parametrize(
        ('monotonic_s', 'wall_s', 'passed'),
        [
            (9, 999, False),
            (10, 999, True),
            (9, 1000, True),
            (11, 1001, True),
        ],
    )
    def test_limit_is_reached_by_either_clock(
        self, monotonic_s, wall_s, passed
    ):
        assert Instant(monotonic_s, wall_s).has_passed(LIMIT) is passed
