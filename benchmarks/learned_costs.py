"""Memory and CPU time of learned costs.

Run as ``python -m benchmarks.learned_costs``. The number of instances does not
matter: groups are bounded, and a summary is sent only to a new peer.
"""

import time
import tracemalloc

from trefoilhinge.dispatch.estimation.cost_table import CostTable
from trefoilhinge.dispatch.estimation.estimates import CallFeatures
from trefoilhinge.dispatch.estimation.group_table import MAXIMUM_GROUPS
from trefoilhinge.dispatch.estimation.samples import (
    OutputSample,
    PrefillSample,
)
from trefoilhinge.dispatch.message_codec import decode_message, encode_message
from trefoilhinge.dispatch.messages import CostsSummarised

TARGETS = 54
REPETITIONS = 2_000
INSTANCE_COUNTS = (91, 410)
MICROSECONDS_PER_S = 1_000_000


def make_full_table() -> CostTable:
    """Return a table with as many groups as it may have."""
    table = CostTable()
    for number in range(MAXIMUM_GROUPS):
        organisation = f'o{number}'
        features = CallFeatures('notices', organisation, 5_000, 400, 4_000)
        table.record(OutputSample(features, 500), number * 0.001)
    for target in range(TARGETS):
        table.record(PrefillSample(f't{target}', 1.5), 1)
    return table


def measure() -> None:
    """Print the bytes of the state and the CPU time of each use."""
    tracemalloc.start()
    table = make_full_table()
    print(f'state: {tracemalloc.get_traced_memory()[0]} bytes')
    tracemalloc.stop()
    features = CallFeatures('notices', 'o999', 5_000, 400, 4_000)
    started_s = time.process_time()
    for _ in range(REPETITIONS):
        table.estimate_output_tokens(features)
    _print_time('estimate of an output', started_s, REPETITIONS)
    started_s = time.process_time()
    for number in range(REPETITIONS):
        table.estimate_prefill_factor(f't{number % TARGETS}')
    _print_time('prefill factor of a target', started_s, REPETITIONS)
    started_s = time.process_time()
    for _ in range(REPETITIONS):
        table.record(OutputSample(features, 500), 1)
    _print_time('sample', started_s, REPETITIONS)
    data = encode_message(CostsSummarised(table.summarise()))
    print(f'summary: {len(data)} bytes')
    for count in INSTANCE_COUNTS:
        new = CostTable()
        started_s = time.process_time()
        for _ in range(count - 1):
            message = decode_message(data, 0).ok
            if isinstance(message, CostsSummarised):
                new.merge(message.groups, 1)
        _print_time(f'start among {count} instances', started_s, 1)


def _print_time(subject: str, started_s: float, repetitions: int) -> None:
    took_s = (time.process_time() - started_s) / repetitions
    print(f'{subject}: {took_s * MICROSECONDS_PER_S:.1f} us')


if __name__ == '__main__':
    measure()
