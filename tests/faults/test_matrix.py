"""Samples of the fault matrix and short random walks."""

import pytest

from trefoilhinge.faults.callers import RequestKind
from trefoilhinge.faults.catalogue import FAULTS
from trefoilhinge.faults.commands import sample_cells, select_part
from trefoilhinge.faults.matrix import (
    list_cells,
    list_pair_cells,
    list_reached_points,
    list_unreached_cells,
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
    """Return the fault points that a deployment without faults reaches."""
    return list_reached_points(SEED)


def find_violations(cells, part):
    """Run a part of the cells and return their violations by cell."""
    results = [run_cell(one, SEED) for one in select_part(cells, part)]
    assert results
    return {
        str(one.cell): [str(violation) for violation in one.violations]
        for one in results
        if one.violations
    }


class TestMatrix:
    """Cells of one fault."""

    def test_every_kind_is_received(self, reached):
        """Each kind of request reaches its first fault point."""
        kinds = {
            kind for point, kind in reached if point is FaultPoint.RECEIVED
        }
        assert kinds == set(RequestKind)

    def test_every_fault_at_every_point(self, reached):
        """Every fault and fault point has a cell or a reason for having none."""
        cells = list_cells(reached)
        unreached = list_unreached_cells(reached)
        pairs = {(one.faults[0], one.point) for one in cells}
        pairs |= {(one.cell.faults[0], one.cell.point) for one in unreached}
        assert pairs == {
            (fault, point) for fault in FAULTS for point in FaultPoint
        }
        assert all(one.reason for one in unreached)

    def test_result_is_deterministic(self, reached):
        """A cell that is run twice gives the same result."""
        cell = sample_cells(list_cells(reached), 1, SEED)[0]
        assert run_cell(cell, SEED) == run_cell(cell, SEED)

    @pytest.mark.parametrize('part', range(1, PARTS + 1))
    def test_no_invariant_is_violated(self, reached, part):
        """A sample of the matrix has no violations."""
        cells = sample_cells(list_cells(reached), CELLS, SEED)
        assert not find_violations(cells, f'{part}/{PARTS}')


class TestPairs:
    """Cells of two faults."""

    @pytest.mark.parametrize('part', range(1, PARTS + 1))
    def test_no_invariant_is_violated(self, reached, part):
        """A sample of fault pairs has no violations."""
        cells = sample_cells(list_pair_cells(reached), PAIRS, SEED)
        assert not find_violations(cells, f'{part}/{PARTS}')


class TestWalk:
    """Random walks over one deployment."""

    @pytest.mark.parametrize('seed', range(3))
    def test_no_invariant_is_violated(self, seed):
        """A short random walk has no violations."""
        assert not run_walk(WALK_STEPS, seed)
