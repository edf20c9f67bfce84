"""Tells how the cells of a fault matrix ended."""

import json
from collections.abc import Iterable

from attrs import define, field

from trefoilhinge.faults.matrix import CellResult


@define
class MatrixReport:
    """Results of every cell, in the order of their running."""

    results: list[CellResult] = field(factory=list)

    def add(self, result: CellResult) -> None:
        """Take the result of one cell."""
        self.results.append(result)

    @property
    def violated(self) -> list[CellResult]:
        """Return the cells in which a promise did not hold."""
        return [one for one in self.results if one.violations]

    @property
    def not_applicable(self) -> list[CellResult]:
        """Return the cells that do not apply, each with its reason."""
        return [one for one in self.results if one.reason]

    @property
    def executed(self) -> list[CellResult]:
        """Return the cells that were run."""
        return [one for one in self.results if not one.reason]

    def format_text(self) -> str:
        """Return one line for each cell that is not as it should be."""
        lines = [
            f'violated  {one.cell}  ({violation.invariant}) {violation.detail}'
            for one in self.violated
            for violation in one.violations
        ]
        lines.extend(_list_reasons(self.not_applicable))
        lines.append(
            f'{len(self.executed)} cells run, {len(self.violated)} violated, '
            f'{len(self.not_applicable)} not applicable',
        )
        return '\n'.join(lines)

    def format_json(self) -> str:
        """Return every cell as JSON."""
        cells = [
            {
                'cell': str(one.cell),
                'reason': one.reason,
                'violations': [
                    {'promise': violation.invariant, 'detail': violation.detail}
                    for violation in one.violations
                ],
            }
            for one in self.results
        ]
        return json.dumps({'cells': cells}, indent=1)


def _list_reasons(results: Iterable[CellResult]) -> list[str]:
    """Return one line for each reason, with the steps that it holds for."""
    steps_by_reason: dict[str, set[str]] = {}
    for one in results:
        steps_by_reason.setdefault(one.reason, set()).add(str(one.cell.step))
    return [
        f'not applicable  {", ".join(sorted(names))}: {reason}'
        for reason, names in steps_by_reason.items()
    ]
