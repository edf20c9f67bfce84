"""Tests of the arrival rate of short calls."""

import pytest

from tests.dispatch.samples import make_short
from trefoilhinge.dispatch.demand.rates import (
    MAXIMUM_SERVICES,
    DemandTable,
    ShortDemand,
)
from trefoilhinge.dispatch.loads import Run, RunPart

RATE = 60


def record_burst(demand, duration_s):
    """Record short calls at a constant rate from time 0 on."""
    for number in range(int(duration_s * RATE)):
        run = make_short(number, 't00', number / RATE)
        demand.record_start('model', run, number / RATE)


class TestDemandTable:
    """The load turns within a second from long prompts to many short calls."""

    def test_burst_is_seen_within_half_a_second(self):
        demand = DemandTable()
        record_burst(demand, 0.5)
        assert demand.estimate('model', 0.5).calls_per_s > 0.75 * RATE

    def test_steady_rate_and_work_are_estimated(self):
        demand = DemandTable()
        record_burst(demand, 10)
        estimate = demand.estimate('model', 10)
        assert estimate.calls_per_s == pytest.approx(RATE, rel=0.1)
        assert estimate.prefill_share == pytest.approx(RATE * 0.025, rel=0.1)

    def test_rate_falls_slower_than_it_rises(self):
        """Guards against collisions after a short pause in a burst."""
        demand = DemandTable()
        record_burst(demand, 10)
        assert demand.estimate('model', 10.5).calls_per_s > 0.7 * RATE
        assert demand.estimate('model', 20).calls_per_s < 0.02 * RATE

    def test_long_prompts_and_plain_calls_are_ignored(self):
        demand = DemandTable()
        part = RunPart('t00', 0, 0, has_slot=True)
        demand.record_start('desk', Run('me', 1, (part,), 0, 0, 0, 0), 0)
        part = RunPart('t00', 0.5, 0, has_slot=True)
        long = Run('me', 2, (part, part), 250_000, 600, 1, 0)
        demand.record_start('model', long, 0)
        assert not demand.list_services()
        assert demand.estimate('model', 0) == ShortDemand()

    def test_memory_is_bounded(self):
        """Guards against entries that name ever new services."""
        demand = DemandTable()
        for number in range(2 * MAXIMUM_SERVICES):
            run = make_short(number, 't00')
            demand.record_start(f's{number}', run, number)
        assert len(demand.list_services()) == MAXIMUM_SERVICES
        assert demand.estimate(f's{number}', number).calls_per_s > 0
