"""Tests of short calls that are placed before others' starts are known."""

import random

import pytest
from attrs import evolve

from tests.dispatch.samples import (
    ENGINE_PROFILE,
    make_loads,
    make_records,
    make_route,
    make_size,
)
from trefoilhinge.dispatch.demand.rates import DemandTable
from trefoilhinge.dispatch.demand.spreading import estimate_unseen_starts
from trefoilhinge.dispatch.placement import list_candidates, place_prompt
from trefoilhinge.dispatch.placement_requests import PlacementRequest
from trefoilhinge.measure.phased_workload import Arrival, CallClass
from trefoilhinge.measure.placement_simulation import PlacementSimulation

TARGETS = 12
PROFILE = evolve(ENGINE_PROFILE, slots=6)
RATE = 30
SEED = 1
HASHES = [number * 1_664_525 % 2**32 for number in range(200)]


def place_short(loads, unseen, tokens=5_000):
    """Return the name of the target of a call."""
    request = PlacementRequest(
        PROFILE, make_route(), make_size(tokens), 0, 10, unseen=unseen
    )
    candidates = list_candidates(make_records(TARGETS), loads)
    return place_prompt(candidates, request).parts[0].target


def place_many(loads, calls_per_s, hashes=HASHES):
    """Return the targets of calls that are placed at the same time."""
    return [
        place_short(loads, estimate_unseen_starts(calls_per_s, 0, TARGETS, one))
        for one in hashes
    ]


def simulate_burst(demand):
    """Return the late short calls of a burst, with starts known 50 ms late."""
    route = make_route()
    call_class = CallClass(route, 1, (1, 1), 1, 0.25, 1, 1, 1, 1, 1, 1)
    draws = random.Random(SEED)
    at_s = 0
    arrivals = []
    while at_s < 10:
        output = int(min(4_000, draws.lognormvariate(7, 0.6)))
        size = make_size(5_000, output)
        arrivals.append(Arrival(at_s, call_class, size, output))
        at_s += draws.expovariate(RATE)
    simulation = PlacementSimulation(
        PROFILE, make_records(TARGETS), start_delay_s=0.05, demand=demand
    )
    outcomes = simulation.run(arrivals)
    return [one for one in outcomes if not one.meets_slo]


class TestSpreading:
    """Many short calls a second, placed by instances that share no queue."""

    def test_burst_is_late_only_without_demand(self):
        """Guards against calls of several instances in the same last slot."""
        assert len(simulate_burst(None)) > RATE / 2
        assert len(simulate_burst(DemandTable())) < RATE / 4

    def test_calls_at_the_same_time_go_to_several_targets(self):
        targets = place_many(make_loads({}), 60)
        assert len(set(targets)) == TARGETS // 3
        assert max(map(targets.count, targets)) < 0.4 * len(HASHES)

    def test_interval_of_hashes_is_spread_as_well(self):
        """The highest bits of the hash choose the service of a call."""
        hashes = range(2**31, 2**31 + 200)
        assert len(set(place_many(make_loads({}), 60, hashes))) == TARGETS // 3

    def test_loaded_targets_are_no_choice(self):
        """Targets with the prefills of groups stay the last ones."""
        loads = make_loads({'t00': 6, 't01': 6, 't02': 6})
        chosen = set(place_many(loads, 60))
        assert not chosen & {'t00', 't01', 't02'}

    @pytest.mark.parametrize('running', range(6))
    def test_without_other_short_calls_nothing_changes(self, running):
        loads = make_loads({'t00': running, 't01': 3})
        expected = place_short(loads, None)
        assert set(place_many(loads, 0)) == {expected}
