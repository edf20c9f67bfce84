"""CPU time to place one prompt.

Run as ``python -m benchmarks.placement_cost``. Every target decodes six short
streams; a prompt of 133,000 tokens is placed.
"""

import statistics
import time

from trefoilhinge.dispatch.calls import PromptSize
from trefoilhinge.dispatch.documents import (
    CallKind,
    EngineProfile,
    Route,
    ServiceShare,
)
from trefoilhinge.dispatch.loads import LoadTable, Run, RunPart
from trefoilhinge.dispatch.placement import list_candidates, place_prompt
from trefoilhinge.dispatch.placement_requests import PlacementRequest
from trefoilhinge.dispatch.targets import TargetRecord

REPETITIONS = 30
TARGET_COUNTS = (14, 23, 45, 78)
SHORT_STREAMS = 6
ENGINE_PROFILE = EngineProfile(
    8, 232_000, 43, 1.02, 0.00452, 0.00431, 206, 0.138, 2048
)
ROUTE = Route(
    'bundles',
    'desk.example',
    '/',
    CallKind.stream,
    15,
    3,
    1,
    1,
    (ServiceShare('model', 1),),
    2,
    is_public=False,
    is_resumable=True,
)
SIZE = PromptSize(133_000, 700, 700)


def make_loaded_targets(count: int) -> tuple[list[TargetRecord], LoadTable]:
    """Return targets and a load table with short streams on each of them."""
    records = []
    loads = LoadTable()
    for number in range(count):
        name = f't{number:03}'
        records.append(
            TargetRecord(
                name,
                'model',
                f'10.0.0.1:{number + 1}',
                'a',
                8,
                is_leaving=False,
                started_ms=0,
                sequence=1,
                revision=1,
            )
        )
        part = RunPart(name, 0.025, 6_000, has_slot=True)
        for stream in range(SHORT_STREAMS):
            run_number = number * SHORT_STREAMS + stream
            run = Run('me', run_number, (part,), 5_000, 1_300, 0.25, 0)
            loads.record_start(run, 10, 0)
    return records, loads


def measure_placement_ms(count: int) -> float:
    """Return the median CPU time of one placement, in milliseconds."""
    records, loads = make_loaded_targets(count)
    durations_ms = []
    for _ in range(REPETITIONS):
        started_s = time.process_time()
        candidates = list_candidates(records, loads)
        request = PlacementRequest(
            ENGINE_PROFILE, ROUTE, SIZE, 0.5, ROUTE.timeout_s
        )
        place_prompt(candidates, request)
        durations_ms.append((time.process_time() - started_s) * 1000)
    return statistics.median(durations_ms)


def main() -> None:
    """Print one line for each number of targets."""
    for count in TARGET_COUNTS:
        print(f'{count} targets: {measure_placement_ms(count):.2f} ms')


if __name__ == '__main__':
    main()
