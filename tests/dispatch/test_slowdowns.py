"""Tests of the detection of slow targets."""

from tests.dispatch.samples import (
    ENGINE_PROFILE,
    make_records,
    make_route,
    make_size,
)
from trefoilhinge.dispatch.loads import LoadTable
from trefoilhinge.dispatch.placement import list_candidates, place_prompt
from trefoilhinge.dispatch.placement_requests import PlacementRequest
from trefoilhinge.dispatch.slowdowns import (
    GAP_WINDOW,
    SLOWDOWN_TTL_S,
    SlowdownTable,
)

ITERATION_S = 0.05


def make_table(factor, count=GAP_WINDOW, target='t00'):
    """Return a table with some recorded gaps and its last announcement."""
    table = SlowdownTable()
    announced = None
    for number in range(count):
        announced = table.record_gap(
            target, ITERATION_S * factor, ITERATION_S, number * 0.1
        )
    return table, announced


class TestSlowdownTable:
    def test_slow_target_is_detected_after_a_few_gaps(self):
        table, announced = make_table(5)
        assert round(table.get('t00', 0.3), 6) == 5
        assert round(announced, 6) == 5

    def test_one_long_gap_is_ignored(self):
        table, _ = make_table(1, count=GAP_WINDOW - 1)
        table.record_gap('t00', 1.5, ITERATION_S, 0.4)
        assert table.get('t00', 0.5) == 1

    def test_normal_gaps_are_not_announced(self):
        table, announced = make_table(1.1)
        assert announced is None
        assert table.get('t00', 0.5) == 1

    def test_recovery_is_detected_and_announced(self):
        table, _ = make_table(5)
        assert table.record_gap('t00', ITERATION_S, ITERATION_S, 0.5) == 1
        assert table.get('t00', 0.5) == 1

    def test_slow_target_is_tried_again_later(self):
        table, _ = make_table(5)
        assert table.get('t00', SLOWDOWN_TTL_S + 1) == 1

    def test_announcement_of_another_instance_is_applied(self):
        table = SlowdownTable()
        table.apply_report('t00', 4, 1)
        assert table.get('t00', 2) == 4


class TestSlowTargets:
    def place(self, size, route):
        loads = LoadTable()
        loads.get('t00').slowdown = 6
        candidates = list_candidates(make_records(14), loads)
        request = PlacementRequest(
            ENGINE_PROFILE, route, make_size(size), 0, route.timeout_s
        )
        return place_prompt(candidates, request)

    def test_short_stream_avoids_it(self):
        """A slow target must not be filled with short streams."""
        placement = self.place(5000, make_route())
        assert placement.parts[0].target != 't00'

    def test_long_prompt_is_prefilled_by_others(self):
        placement = self.place(133_000, make_route(slo_s=3, gap_slo_s=1))
        assert 't00' not in {part.target for part in placement.parts}
