"""Tests of placement by learned costs."""

import math

from attrs import evolve

from tests.dispatch.samples import (
    ENGINE_PROFILE,
    make_loads,
    make_record,
    make_records,
    make_route,
    make_short,
    make_size,
)
from trefoilhinge.dispatch.estimation.cost_table import CostTable
from trefoilhinge.dispatch.estimation.estimates import CallFeatures, Estimate
from trefoilhinge.dispatch.estimation.plain_placement import (
    PlainRequest,
    place_by_service_time,
)
from trefoilhinge.dispatch.estimation.samples import ServiceSample
from trefoilhinge.dispatch.health import HealthTable, Outcome
from trefoilhinge.dispatch.loads import LoadTable, Run, RunPart
from trefoilhinge.dispatch.placement import list_candidates, place_prompt
from trefoilhinge.dispatch.placement_requests import PlacementRequest

LOOKUP = CallFeatures('look', 'mill')
DELAY_S = 0.0039


def make_request(prompt_tokens=5000, learned=None, **fields):
    route = make_route(**fields)
    size = make_size(prompt_tokens)
    return PlacementRequest(ENGINE_PROFILE, route, size, 0, 10, learned)


def place_plain(loads, costs, now_s, names=('t1', 't2'), **delays_s):
    """Return the name of the target of a plain call."""
    records = [make_record(name, failure_domain=name) for name in names]
    request = PlainRequest(LOOKUP, now_s, delays_s)
    return place_by_service_time(records, loads, costs, request).name


def start_plain(loads, number, target, now_s):
    part = RunPart(target, 0, 0, has_slot=True)
    loads.record_start(
        Run('me', number, (part,), 0, 0, 0, now_s), now_s + 10, now_s
    )


class TestMemory:
    def test_upper_bound_is_held_and_the_mean_is_load(self):
        """Guards against running streams that are preempted for memory."""
        request = make_request(learned=Estimate(900, 2500.5, 9))
        candidates = list_candidates(make_records(2), LoadTable())
        placement = place_prompt(candidates, request)
        assert placement.parts[0].memory_tokens == 5000 + 2501
        assert request.mean_output_tokens == 900


class TestRemainingWork:
    def test_run_beyond_its_mean_still_occupies_its_slot(self):
        """Guards against a full target that looks free, as its runs are due.

        A run that has just begun is expected to take longer than its median.
        """
        loads = LoadTable()
        for number in range(8):
            run = make_short(number, 't00', output_tokens=1300)
            loads.record_start(run, 60, 0)
        load = loads.get('t00')
        load.output_deviation = 0.8
        waits_s = [
            load.estimate_slot_wait_s(ENGINE_PROFILE, now_s)
            for now_s in (0, 1, 10, 40)
        ]
        assert waits_s[1] < waits_s[0]
        assert waits_s[3] > waits_s[2] > waits_s[1] / 2


class TestDistance:
    def test_round_trip_decides_between_equal_targets(self):
        records = [
            make_record('t00', failure_domain='far'),
            make_record('t01', failure_domain='near'),
        ]
        request = make_request(slo_s=0.12)
        delays_s = {'far': 0.02}
        placements = [
            place_prompt(
                list_candidates([one], LoadTable(), (), delays_s), request
            )
            for one in records
        ]
        far, near = placements
        extra_s = far.first_event_s - near.first_event_s
        assert math.isclose(extra_s, 0.04)
        both = list_candidates(records, LoadTable(), (), delays_s)
        assert place_prompt(both, request).parts[0].target == 't01'

    def test_farthest_helper_determines_the_time_of_a_group(self):
        request = make_request(120_000, slo_s=1)
        records = make_records(6)
        far = [*records[:-1], evolve(records[-1], failure_domain='far')]
        near, distant = (
            place_prompt(
                list_candidates(some, LoadTable(), (), {'far': DELAY_S}),
                request,
            )
            for some in (records, far)
        )
        assert len(near.parts) == len(distant.parts) == 6
        extra_s = distant.first_event_s - near.first_event_s
        assert math.isclose(extra_s, 2 * DELAY_S)


class TestPlainCalls:
    def test_slow_target_gets_less(self):
        """Guards against equal counts at targets of unequal speed."""
        costs = CostTable()
        for number in range(50):
            costs.record(ServiceSample(LOOKUP, 't1', 0.3), number * 0.1)
            costs.record(ServiceSample(LOOKUP, 't2', 0.02), number * 0.1)
        loads = make_loads({})
        for number in range(4):
            start_plain(loads, number, 't2', 5)
        assert place_plain(loads, costs, 5) == 't2'

    def test_stuck_target_gets_less_before_any_call_has_ended(self):
        """Guards against a target that holds its calls and fails none."""
        loads = LoadTable()
        start_plain(loads, 1, 't1', 0)
        for number in range(3):
            start_plain(loads, 2 + number, 't2', 1.99)
        assert place_plain(loads, CostTable(), 2) == 't2'

    def test_near_target_is_preferred_until_it_is_busy(self):
        loads = LoadTable()
        assert place_plain(loads, CostTable(), 0, t1=DELAY_S) == 't2'
        for number in range(3):
            start_plain(loads, number, 't2', 0)
        assert place_plain(loads, CostTable(), 0, t1=DELAY_S) == 't1'

    def test_no_target_gives_no_placement(self):
        request = PlainRequest(LOOKUP, 0, {})
        assert not place_by_service_time([], LoadTable(), CostTable(), request)


class TestSecondChoice:
    def test_target_that_failed_lately_is_not_listed(self):
        """Guards against a lookup that two failing targets get in turn.

        While half of the targets fail, the others are not preferred otherwise.
        """
        health = HealthTable()
        for name in ('t1', 't2'):
            health.record_outcome(name, Outcome.failed, 1)
        names = ['t1', 't2', 't3']
        assert health.list_usable(names, 1.1) == names
        assert health.list_unfailed(names, 1.1) == ['t3']
        assert health.list_unfailed(names, 3.1) == names
