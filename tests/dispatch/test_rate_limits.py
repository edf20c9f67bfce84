"""Tests of the limits that targets name."""

import pytest

from trefoilhinge.dispatch.rate_limits import NamedRate, RateLimitTable


def make_named(requests_per_s, earliest_s, latest_s=None, started_ms=1000):
    return NamedRate(
        't00',
        started_ms,
        requests_per_s,
        earliest_s,
        earliest_s if latest_s is None else latest_s,
    )


def record_all(*named):
    table = RateLimitTable()
    for one in named:
        table.record(one)
    return table


class TestRateLimitTable:
    def test_newer_answer_raises_lowers_and_ends_a_limit(self):
        table = record_all(make_named(2, 1))
        assert table.get('t00', 1000) == 2
        table.record(make_named(5, 2))
        assert table.get('t00', 1000) == 5
        table.record(make_named(1, 3))
        assert table.get('t00', 1000) == 1
        table.record(make_named(None, 4))
        assert table.get('t00', 1000) is None
        assert table.list_limits() == []

    @pytest.mark.parametrize('rate', [None, 9])
    def test_answer_that_was_delayed_does_not_lift_a_limit(self, rate):
        """Guards against a limit lifted by the head of a long stream.

        The stream was requested before the target named the limit.
        """
        table = record_all(make_named(2, 5), make_named(rate, 4, 8))
        assert table.get('t00', 1000) == 2

    def test_lower_rate_applies_unless_it_is_certainly_older(self):
        table = record_all(make_named(5, 5, 6), make_named(2, 4, 7))
        assert table.get('t00', 1000) == 2
        table = record_all(make_named(5, 5, 6), make_named(2, 3, 4))
        assert table.get('t00', 1000) == 5

    def test_confirmed_limit_is_as_new_as_its_last_answer(self):
        table = record_all(
            make_named(2, 1), make_named(2, 5), make_named(None, 3, 4)
        )
        assert table.get('t00', 1000) == 2

    def test_new_incarnation_begins_without_a_limit(self):
        table = record_all(make_named(2, 1))
        assert table.get('t00', 2000) is None
        table.record(make_named(None, 2, started_ms=2000))
        assert table.list_limits() == []
        table.record(make_named(1, 3, started_ms=1000))
        assert table.list_limits() == []

    def test_change_returns_what_was_known_before(self):
        table = RateLimitTable()
        assert table.record(make_named(None, 1)) is None
        assert table.record(make_named(2, 2)).requests_per_s is None
        assert table.record(make_named(2, 3)) is None
        assert table.record(make_named(None, 4)).requests_per_s == 2

    def test_unreadable_limit_is_new_once(self):
        table = RateLimitTable()
        assert table.is_new_problem('t00', 'not a number')
        assert not table.is_new_problem('t00', 'not a number')
        assert table.is_new_problem('t01', 'not a number')
