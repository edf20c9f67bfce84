"""Report of the results of a fault matrix as text or JSON."""

import json
from collections.abc import Iterable

from attrs import define, field

from trefoilhinge.faults.matrix import CellResult


@define
class MatrixReport:
    """Results of all cells, in the order of their execution."""

    results: list[CellResult] = field(factory=list)

    def add(self, result: CellResult) -> None:
        """Add the result of one cell."""
        self.results.append(result)

    @property
    def violated(self) -> list[CellResult]:
        """Return the results of cells that violated an invariant."""
        return [one for one in self.results if one.violations]

    @property
    def not_applicable(self) -> list[CellResult]:
        """Return the results of cells that were not applicable."""
        return [one for one in self.results if one.reason]

    @property
    def executed(self) -> list[CellResult]:
        """Return the results of cells that were run."""
        return [one for one in self.results if not one.reason]

    def format_text(self) -> str:
        """Return a line for each violation and reason, and a summary."""
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
        """Return the results of all cells as JSON."""
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
    """Return a line for each reason, with its fault points."""
    points_by_reason: dict[str, set[str]] = {}
    for one in results:
        points_by_reason.setdefault(one.reason, set()).add(str(one.cell.point))
    return [
        f'not applicable  {", ".join(sorted(names))}: {reason}'
        for reason, names in points_by_reason.items()
    ]
