"""Time to place one prompt: ``python -m benchmarks.placement_cost``.

Every target has six short streams; a prompt of 133,000 tokens is placed.
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
from trefoilhinge.dispatch.targets import TargetRecord

REPEATS = 30
TARGETS = (14, 23, 45, 78)
SHORT_STREAMS = 6
FIGURES = EngineProfile(
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


def make_fleet(count: int) -> tuple[list[TargetRecord], LoadTable]:
    """Return targets and their loads."""
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
            key = number * SHORT_STREAMS + stream
            run = Run('me', key, (part,), 5_000, 1_300, 0.25, 0)
            loads.record_start(run, 10, 0)
    return records, loads


def measure_ms(count: int) -> float:
    """Return the median of milliseconds of one placement."""
    records, loads = make_fleet(count)
    taken = []
    for _ in range(REPEATS):
        began_s = time.process_time()
        candidates = list_candidates(records, loads)
        place_prompt(candidates, FIGURES, ROUTE, SIZE, 0.5)
        taken.append((time.process_time() - began_s) * 1000)
    return statistics.median(taken)


def main() -> None:
    """Print a line for each number of targets."""
    for count in TARGETS:
        print(f'{count} targets: {measure_ms(count):.2f} ms')


if __name__ == '__main__':
    main()
