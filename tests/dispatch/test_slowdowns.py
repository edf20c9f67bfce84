"""Tests of how slow targets are found."""

from tests.dispatch.samples import (
    FIGURES,
    make_records,
    make_route,
    make_size,
)
from trefoilhinge.dispatch.loads import LoadTable
from trefoilhinge.dispatch.slowdowns import (
    SLOWDOWN_TTL_S,
    GAP_WINDOW,
    SlowdownTable,
)
from trefoilhinge.dispatch.placement import list_candidates, place_prompt

PASS_S = 0.05


def make_table(factor, count=GAP_WINDOW, target='t00'):
    """Return a table that saw some pauses, and what it told last."""
    table = SlowdownTable()
    told = None
    for number in range(count):
        told = table.record_gap(target, PASS_S * factor, PASS_S, number * 0.1)
    return table, told


class TestPaceTable:
    def test_slow_target_is_found_after_a_few_pauses(self):
        table, told = make_table(5)
        assert round(table.get('t00', 0.3), 6) == 5
        assert round(told, 6) == 5

    def test_one_long_pause_says_nothing(self):
        table, _ = make_table(1, count=GAP_WINDOW - 1)
        table.record_gap('t00', 1.5, PASS_S, 0.4)
        assert table.get('t00', 0.5) == 1

    def test_usual_pauses_are_not_told(self):
        table, told = make_table(1.1)
        assert told is None
        assert table.get('t00', 0.5) == 1

    def test_recovery_is_seen_and_told(self):
        table, _ = make_table(5)
        assert table.record_gap('t00', PASS_S, PASS_S, 0.5) == 1
        assert table.get('t00', 0.5) == 1

    def test_slow_target_is_tried_again_later(self):
        table, _ = make_table(5)
        assert table.get('t00', SLOWDOWN_TTL_S + 1) == 1

    def test_others_word_is_taken(self):
        table = SlowdownTable()
        table.apply_report('t00', 4, 1)
        assert table.get('t00', 2) == 4


class TestSlowTargets:
    def place(self, size, route):
        loads = LoadTable()
        loads.get('t00').slowdown = 6
        candidates = list_candidates(make_records(14), loads)
        return place_prompt(candidates, FIGURES, route, make_size(size), 0)

    def test_short_stream_keeps_off(self):
        """Seen on trouble-3 of Caroni: a slow target was filled up."""
        placement = self.place(5000, make_route())
        assert placement.parts[0].target != 't00'

    def test_long_prompt_is_read_by_others(self):
        placement = self.place(133_000, make_route(slo_s=3, gap_slo_s=1))
        assert 't00' not in {part.target for part in placement.parts}
