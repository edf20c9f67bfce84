"""Output of a measurement as JSON and as a text table."""

import json
from collections.abc import Sequence

import cattrs

from trefoilhinge.measure.results import CellResult, Measurement

Cell = float | int | str | None
COLUMNS = (
    'policy',
    'load',
    'short p50',
    'short p95',
    'long ttft p95',
    'goodput tok/s',
    'hits/ideal',
    'gap p95 ms',
    'refused',
    'late',
    'missed',
    'twice',
    'overshoot',
    'wasted tok',
)


def format_json(measurement: Measurement) -> str:
    """Format a measurement as one JSON object."""
    return json.dumps(cattrs.unstructure(measurement), indent=2)


def format_table(measurement: Measurement) -> str:
    """Format a measurement as a table with aligned columns."""
    rows = [COLUMNS, *(_list_row(result) for result in measurement.results)]
    texts = [[_format_cell(cell) for cell in row] for row in rows]
    widths = [max(map(len, column)) for column in zip(*texts, strict=True)]
    return '\n'.join(_join_row(row, widths) for row in texts)


def _list_row(result: CellResult) -> Sequence[Cell]:
    gap_s = result.inter_token_p95_s
    return [
        result.policy,
        result.load,
        result.short_slowdown_p50,
        result.short_slowdown_p95,
        result.long_ttft_p95_s,
        round(result.goodput_tokens_per_s),
        result.cache_hit_share_of_ideal,
        None if gap_s is None else gap_s * 1000,
        sum(result.refused.values()),
        result.admitted_late,
        result.deadline_misses,
        result.ran_twice,
        result.limit_overshoot,
        result.wasted_tokens,
    ]


def _format_cell(cell: Cell) -> str:
    if cell is None:
        return '-'
    if isinstance(cell, float):
        return f'{cell:.2f}'
    return str(cell)


def _join_row(row: Sequence[str], widths: Sequence[int]) -> str:
    pairs = zip(row, widths, strict=True)
    return '  '.join(text.rjust(width) for text, width in pairs)
