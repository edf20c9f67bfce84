"""The ``trefoilhinge faults`` command."""

import json
import time
from collections.abc import Iterable

import numpy as np
from attrs import frozen

from trefoilhinge.exceptions import TrefoilhingeError
from trefoilhinge.faults.matrix import (
    Cell,
    list_cells,
    list_pair_cells,
    list_reached_points,
    list_unreached_cells,
    run_cell,
)
from trefoilhinge.faults.report import MatrixReport
from trefoilhinge.faults.walk import run_walk

DEFAULT_PAIRS = 60


@frozen
class FaultRequest:
    """Options of the ``faults`` command.

    :ivar seed: seed of all random choices.
    :ivar cell: name of the only cell to run, empty for all.
    :ivar part: ``K/N`` for the K-th of N parts, empty for all.
    :ivar walk: number of steps of a random walk, zero for the matrix.
    :ivar pairs: number of fault pairs to run instead, zero for single faults.
    :ivar as_json: whether to print JSON rather than text.
    """

    seed: int
    cell: str
    part: str
    walk: int
    pairs: int
    as_json: bool


class UnknownCell(TrefoilhingeError):
    """The matrix has no cell of the given name."""


def run_matrix(
    seed: int,
    cell: str,
    part: str,
    pairs: int,
    as_json: bool,
) -> int:
    """Run the matrix, print its report and return the exit code.

    :param cell: name of the only cell to run, as ``FAULT/POINT`` with or
        without ``/KIND``; empty for all.
    :param part: ``K/N`` for the K-th of N parts; empty for all.
    :param pairs: number of fault pairs to run instead, sampled by the seed;
        zero for single faults.
    :return: 1 if an invariant was violated, else 0.
    """
    started_s = time.monotonic()
    reached = list_reached_points(seed)
    report = MatrixReport()
    if pairs:
        cells = sample_cells(list_pair_cells(reached), pairs, seed)
    else:
        cells = list_cells(reached)
        if not cell and (not part or part.startswith('1/')):
            report.results.extend(list_unreached_cells(reached))
    for one in select_part(select_by_name(cells, cell), part):
        report.add(run_cell(one, seed))
    if as_json:
        print(report.format_json())
    else:
        print(report.format_text())
        print(f'{time.monotonic() - started_s:.1f} s, seed {seed}')
    return int(bool(report.violated))


def run_random_walk(seed: int, steps: int, as_json: bool) -> int:
    """Run a random walk, print its violations and return the exit code."""
    started_s = time.monotonic()
    violations = run_walk(steps, seed)
    wall_s = time.monotonic() - started_s
    if as_json:
        rows = [
            {'promise': one.invariant, 'detail': one.detail}
            for one in violations
        ]
        print(json.dumps({'steps': steps, 'seed': seed, 'violations': rows}))
    else:
        for one in violations:
            print(f'violated  ({one.invariant}) {one.detail}')
        print(
            f'{steps} steps, {len(violations)} violations, seed {seed}, '
            f'{steps / wall_s:.0f} steps/s',
        )
    return int(bool(violations))


def sample_cells(cells: list[Cell], count: int, seed: int) -> list[Cell]:
    """Return a random sample of the cells, in their order."""
    generator = np.random.default_rng(seed)
    size = min(count, len(cells))
    chosen = generator.choice(len(cells), size=size, replace=False)
    return [cells[number] for number in sorted(chosen.tolist())]


def select_by_name(cells: list[Cell], name: str) -> list[Cell]:
    """Return the cells of a name, or all cells if the name is empty.

    :raises UnknownCell: if no cell has the name.
    """
    if not name:
        return cells
    chosen = [
        one
        for one in cells
        if name in {str(one), f'{"+".join(one.faults)}/{one.point}'}
    ]
    if not chosen:
        raise UnknownCell(f'the matrix has no cell named {name!r}')
    return chosen


def select_part(cells: list[Cell], part: str) -> Iterable[Cell]:
    """Return every N-th cell from the K-th on, for a part ``K/N``."""
    if not part:
        return cells
    number, _, parts = part.partition('/')
    return cells[int(number) - 1 :: int(parts)]


def run_faults(request: FaultRequest) -> int:
    """Run the matrix or a random walk; return 1 if an invariant is violated."""
    if request.walk:
        return run_random_walk(request.seed, request.walk, request.as_json)
    return run_matrix(
        request.seed,
        request.cell,
        request.part,
        request.pairs,
        request.as_json,
    )
