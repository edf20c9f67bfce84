"""Counts and tables of the demo's results."""

import statistics
from collections import Counter
from collections.abc import Iterable

from attrs import define, field, frozen

from trefoilhinge.demo.callers import CallOutcome, CallResult
from trefoilhinge.demo.deployment import DemoDeployment
from trefoilhinge.demo.workload import CallKind

MS_PER_S = 1000
HEADER = (
    f'{"":28}{"calls":>6}{"waited":>8}{"refused":>9}'
    f'{"median ms":>11}{"worst ms":>10}'
)


@frozen
class OutcomeCounts:
    """Counts in the demo's last line of output."""

    finished: int
    cut_off: int
    ran_twice: int

    @property
    def line(self) -> str:
        """Return the demo's last line of output."""
        return (
            f'{self.finished} finished, {self.cut_off} cut off, '
            f'{self.ran_twice} ran twice'
        )

    def add(self, other: 'OutcomeCounts') -> 'OutcomeCounts':
        """Return the sum of two counts."""
        return OutcomeCounts(
            self.finished + other.finished,
            self.cut_off + other.cut_off,
            self.ran_twice + other.ran_twice,
        )


@define
class LatencyTable:
    """Time to first byte by kind of call and by magnitude of the prompt."""

    _rows: dict[str, list[CallResult]] = field(factory=dict)

    def add(self, result: CallResult) -> None:
        """Add a result."""
        name = str(result.call.kind)
        if result.call.kind is CallKind.LONG:
            decade = len(str(result.call.tokens)) - 1
            name = f'prompts of 1e{decade} tokens'
        self._rows.setdefault(name, []).append(result)

    def list_lines(self) -> Iterable[str]:
        """Yield the lines of the table."""
        yield HEADER
        for name, results in self._rows.items():
            yield _format_row(name, results)


def count_results(
    deployment: DemoDeployment,
    results: Iterable[CallResult],
) -> OutcomeCounts:
    """Count outcomes, and repeated runs as counted by the stand-ins."""
    outcomes = Counter(one.outcome for one in results)
    runs = [
        *(count for one in deployment.engines for count in one.runs.values()),
        *_count_references(deployment).values(),
    ]
    ran_twice = sum(count > 1 for count in runs)
    return OutcomeCounts(
        outcomes[CallOutcome.FINISHED], outcomes[CallOutcome.CUT_OFF], ran_twice
    )


def _count_references(deployment: DemoDeployment) -> Counter[str]:
    total: Counter[str] = Counter()
    for plain in deployment.plains:
        total.update(plain.references)
    return total


def _format_row(name: str, results: list[CallResult]) -> str:
    times_ms = [
        one.first_byte_s * MS_PER_S
        for one in results
        if one.outcome == CallOutcome.FINISHED
    ]
    refused = Counter(
        one.code for one in results if one.outcome == CallOutcome.REFUSED
    )
    retried = sum(one.retries_made > 0 for one in results)
    counts = f'{name:28}{len(results):6}{retried:8}{refused.total():9}'
    times = ''
    if times_ms:
        times = f'{statistics.median(times_ms):11.0f}{max(times_ms):10.0f}'
    codes = ', '.join(sorted(refused))
    return f'{counts}{times:21}  {codes}'.rstrip()
