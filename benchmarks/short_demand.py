"""Memory and CPU time of the demand of short calls.

Run as ``python -m benchmarks.short_demand``. The state does not depend on the
number of instances, but each of them hears of all starts.
"""

import time
import tracemalloc

from attrs import evolve

from benchmarks.placement_cost import (
    ENGINE_PROFILE,
    ROUTE,
    make_loaded_targets,
)
from trefoilhinge.dispatch.calls import PromptSize
from trefoilhinge.dispatch.demand.rates import MAXIMUM_SERVICES, DemandTable
from trefoilhinge.dispatch.demand.spreading import estimate_unseen_starts
from trefoilhinge.dispatch.loads import Run, RunPart
from trefoilhinge.dispatch.placement import list_candidates, place_prompt
from trefoilhinge.dispatch.placement_requests import PlacementRequest

REPETITIONS = 2_000
PLACEMENTS = 200
TARGETS = 45
INSTANCE_COUNTS = (91, 410)
CALLS_PER_S = 0.7  # of each instance
SIZE = PromptSize(5_000, 4_000, 1_600)
MICROSECONDS_PER_S = 1_000_000


def measure() -> None:
    """Print the bytes of the state and the CPU time of each use."""
    part = RunPart('t000', 0.028, 6_600, has_slot=True)
    run = Run('me', 1, (part,), 5_000, 1_600, 0.25, 0)
    tracemalloc.start()
    demand = DemandTable()
    for number in range(MAXIMUM_SERVICES):
        demand.record_start(f's{number}', run, number)
    print(f'state: {tracemalloc.get_traced_memory()[0]} bytes')
    tracemalloc.stop()
    started_s = time.process_time()
    for number in range(REPETITIONS):
        demand.record_start('s1', run, MAXIMUM_SERVICES + number)
    start_us = _print_time('start', started_s, REPETITIONS)
    for count in INSTANCE_COUNTS:
        share = start_us * count * CALLS_PER_S / MICROSECONDS_PER_S
        print(f'starts at {count} instances: {share:.5f} of a core')
    _measure_placements()


def _measure_placements() -> None:
    records, loads = make_loaded_targets(TARGETS)
    candidates = list_candidates(records, loads)
    plain = PlacementRequest(ENGINE_PROFILE, ROUTE, SIZE, 0.5, ROUTE.timeout_s)
    unseen = estimate_unseen_starts(60, 0.004, TARGETS, 1)
    for request in (plain, evolve(plain, unseen=unseen)):
        started_s = time.process_time()
        for _ in range(PLACEMENTS):
            place_prompt(candidates, request)
        subject = 'without' if request.unseen is None else 'with'
        _print_time(f'placement {subject} demand', started_s, PLACEMENTS)


def _print_time(subject: str, started_s: float, repetitions: int) -> float:
    took_s = (time.process_time() - started_s) / repetitions
    took_us = took_s * MICROSECONDS_PER_S
    print(f'{subject}: {took_us:.1f} us')
    return took_us


if __name__ == '__main__':
    measure()
