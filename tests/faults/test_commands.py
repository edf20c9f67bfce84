"""Tests of the selection of cells and of the report."""

import json

import pytest

from trefoilhinge.faults.callers import RequestKind
from trefoilhinge.faults.commands import (
    UnknownCell,
    run_matrix,
    sample_cells,
    select_by_name,
    select_part,
)
from trefoilhinge.faults.matrix import Cell, CellResult, list_cells
from trefoilhinge.faults.monitor import Violation
from trefoilhinge.faults.report import MatrixReport
from trefoilhinge.standins.simulation.fault_points import FaultPoint

CELLS = list_cells(
    [(FaultPoint.SENT, RequestKind.SHORT), (FaultPoint.DOCUMENT_READ, None)]
)


class TestSelection:
    """Selection of the cells to run."""

    def test_parts_cover_every_cell_once(self):
        """The parts of a matrix are disjoint and complete."""
        parts = [one for k in (1, 2, 3) for one in select_part(CELLS, f'{k}/3')]
        assert sorted(map(str, parts)) == sorted(map(str, CELLS))

    def test_by_name_with_and_without_kind(self):
        """A cell is found by its name with and without the request kind."""
        full = select_by_name(CELLS, 'engine-dies/sent/short')
        assert full == select_by_name(CELLS, 'engine-dies/sent')

    def test_unknown_name(self):
        """A name that matches no cell raises an error."""
        with pytest.raises(UnknownCell):
            select_by_name(CELLS, 'engine-dies/nowhere')

    def test_same_seed_same_cells(self):
        """A seed always samples the same cells."""
        assert sample_cells(CELLS, 5, 3) == sample_cells(CELLS, 5, 3)
        assert sample_cells(CELLS, 5, 3) != sample_cells(CELLS, 5, 4)


class TestReport:
    """Printed report and exit code."""

    def test_counts(self):
        """Run, violated and not applicable cells are counted separately."""
        report = MatrixReport()
        report.add(CellResult(CELLS[0]))
        report.add(CellResult(CELLS[1], (Violation(5, 'ran twice'),)))
        report.add(CellResult(CELLS[2], reason='not reached'))
        last = report.format_text().splitlines()[-1]
        assert last == '2 cells run, 1 violated, 1 not applicable'
        cells = json.loads(report.format_json())['cells']
        assert cells[1]['violations'][0]['promise'] == 5
        assert cells[2]['reason'] == 'not reached'

    def test_one_cell(self, capsys):
        """A cell without violations exits with zero."""
        name = 'caller-gone/first-token/short'
        assert run_matrix(0, name, '', 0, as_json=False) == 0
        assert '1 cells run, 0 violated' in capsys.readouterr().out

    def test_violation_exits_one(self, monkeypatch):
        """A violated invariant exits with one."""
        monkeypatch.setattr(
            'trefoilhinge.faults.commands.run_cell',
            lambda cell, seed: CellResult(cell, (Violation(1, 'late'),)),
        )
        name = str(Cell(('caller-gone',), FaultPoint.SENT, RequestKind.SHORT))
        assert run_matrix(0, name, '', 0, as_json=True) == 1
