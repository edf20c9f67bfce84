"""Tests of the command's choice of cells and of its report."""

import json

import pytest

from trefoilhinge.faults.callers import Kind
from trefoilhinge.faults.commands import (
    UnknownCell,
    choose_cells,
    choose_named,
    choose_part,
    run_matrix,
)
from trefoilhinge.faults.matrix import Cell, CellResult, list_cells
from trefoilhinge.faults.report import MatrixReport
from trefoilhinge.faults.watcher import Violation
from trefoilhinge.standins.simulation.fault_points import FaultPoint

CELLS = list_cells(
    [(FaultPoint.SENT, Kind.SHORT), (FaultPoint.DOCUMENT_READ, None)]
)


class TestChoice:
    """Which cells are run."""

    def test_parts_cover_every_cell_once(self):
        """The parts of a matrix leave nothing out."""
        parts = [one for k in (1, 2, 3) for one in choose_part(CELLS, f'{k}/3')]
        assert sorted(map(str, parts)) == sorted(map(str, CELLS))

    def test_by_name_with_and_without_kind(self):
        """A cell is named with or without its kind of request."""
        full = choose_named(CELLS, 'engine-dies/sent/short')
        assert full == choose_named(CELLS, 'engine-dies/sent')

    def test_unknown_name(self):
        """A name that fits no cell is an error."""
        with pytest.raises(UnknownCell):
            choose_named(CELLS, 'engine-dies/nowhere')

    def test_same_seed_same_cells(self):
        """A seed always chooses the same cells."""
        assert choose_cells(CELLS, 5, 3) == choose_cells(CELLS, 5, 3)
        assert choose_cells(CELLS, 5, 3) != choose_cells(CELLS, 5, 4)


class TestReport:
    """What is printed and the exit code."""

    def test_counts(self):
        """Cells run, violated and not applicable are counted apart."""
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
        """One cell that holds exits with zero."""
        name = 'caller-gone/first-token/short'
        assert run_matrix(0, name, '', 0, as_json=False) == 0
        assert '1 cells run, 0 violated' in capsys.readouterr().out

    def test_violation_exits_one(self, monkeypatch):
        """A broken promise exits with one."""
        monkeypatch.setattr(
            'trefoilhinge.faults.commands.run_cell',
            lambda cell, seed: CellResult(cell, (Violation(1, 'late'),)),
        )
        name = str(Cell(('caller-gone',), FaultPoint.SENT, Kind.SHORT))
        assert run_matrix(0, name, '', 0, as_json=True) == 1
