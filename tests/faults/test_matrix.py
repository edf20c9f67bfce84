"""A part of the fault matrix, chosen by seed, and a short random walk."""

import pytest

from trefoilhinge.faults.callers import Kind
from trefoilhinge.faults.catalogue import FAULTS
from trefoilhinge.faults.commands import choose_cells, choose_part
from trefoilhinge.faults.matrix import (
    list_cells,
    list_pairs,
    list_reached,
    list_unreached,
    run_cell,
)
from trefoilhinge.faults.walk import run_walk
from trefoilhinge.standins.simulation.fault_points import FaultPoint

SEED = 7
PARTS = 8
CELLS = 48
PAIRS = 24
WALK_STEPS = 150


@pytest.fixture(scope='module')
def reached():
    """Return the steps that a world without faults comes to."""
    return list_reached(SEED)


def find_violations(cells, part):
    """Run a part of the cells and return what did not hold, by cell."""
    results = [run_cell(one, SEED) for one in choose_part(cells, part)]
    assert results
    return {
        str(one.cell): [str(broken) for broken in one.violations]
        for one in results
        if one.violations
    }


class TestMatrix:
    """Cells of one fault."""

    def test_every_kind_is_received(self, reached):
        """Each kind of request comes to its first step."""
        kinds = {kind for step, kind in reached if step is FaultPoint.RECEIVED}
        assert kinds == set(Kind)

    def test_every_fault_stands_at_every_step(self, reached):
        """No fault and no step is left out silently."""
        cells = list_cells(reached)
        unreached = list_unreached(reached)
        pairs = {(one.faults[0], one.step) for one in cells}
        pairs |= {(one.cell.faults[0], one.cell.step) for one in unreached}
        assert pairs == {
            (fault, step) for fault in FAULTS for step in FaultPoint
        }
        assert all(one.reason for one in unreached)

    def test_same_verdict_twice(self, reached):
        """A cell run twice ends the same way."""
        cell = choose_cells(list_cells(reached), 1, SEED)[0]
        assert run_cell(cell, SEED) == run_cell(cell, SEED)

    @pytest.mark.parametrize('part', range(1, PARTS + 1))
    def test_no_promise_is_broken(self, reached, part):
        """A part of the matrix holds every promise."""
        cells = choose_cells(list_cells(reached), CELLS, SEED)
        assert not find_violations(cells, f'{part}/{PARTS}')


class TestPairs:
    """Cells of two faults."""

    @pytest.mark.parametrize('part', range(1, PARTS + 1))
    def test_no_promise_is_broken(self, reached, part):
        """A few pairs of faults hold every promise."""
        cells = choose_cells(list_pairs(reached), PAIRS, SEED)
        assert not find_violations(cells, f'{part}/{PARTS}')


class TestWalk:
    """Random walks over one deployment."""

    @pytest.mark.parametrize('seed', range(3))
    def test_no_promise_is_broken(self, seed):
        """A short walk holds every promise."""
        assert not run_walk(WALK_STEPS, seed)
