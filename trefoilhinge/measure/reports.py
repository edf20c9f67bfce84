"""HTML report of a measurement with embedded charts."""

import base64
import html
import io
from collections.abc import Callable

from matplotlib.figure import Figure

from trefoilhinge.measure.results import CellResult, Measurement
from trefoilhinge.measure.tables import format_json, format_table

MetricGetter = Callable[[CellResult], float | None]

CHARTS: tuple[tuple[str, MetricGetter, bool], ...] = (
    (
        'Slowdown of short prompts, p95',
        lambda cell: cell.short_slowdown_p95,
        True,
    ),
    (
        'Time to first token of long prompts, p95 (s)',
        lambda cell: cell.long_ttft_p95_s,
        True,
    ),
    ('Goodput (tokens/s)', lambda cell: cell.goodput_tokens_per_s, False),
    (
        'Prefix hits, share of ideal',
        lambda cell: cell.cache_hit_share_of_ideal,
        False,
    ),
)


def render_report(measurement: Measurement, heading: str) -> str:
    """Render a measurement as one HTML page.

    :param heading: heading of the page, such as the command.
    """
    images = '\n'.join(
        _render_chart(measurement, title, get_metric, logarithmic)
        for title, get_metric, logarithmic in CHARTS
    )
    return (
        '<!doctype html><html lang="en"><head><meta charset="utf-8">'
        f'<title>{html.escape(heading)}</title></head><body>'
        f'<h1>{html.escape(heading)}</h1>\n{images}\n'
        f'<pre>{html.escape(format_table(measurement))}</pre>\n'
        '<details><summary>JSON</summary><pre>'
        f'{html.escape(format_json(measurement))}</pre></details>'
        '</body></html>\n'
    )


def _render_chart(
    measurement: Measurement,
    title: str,
    get_metric: MetricGetter,
    logarithmic: bool,
) -> str:
    figure = Figure(figsize=(7, 4))
    axes = figure.add_subplot()
    policies = dict.fromkeys(cell.policy for cell in measurement.results)
    for policy in policies:
        cells = [cell for cell in measurement.results if cell.policy == policy]
        values = [get_metric(cell) for cell in cells]
        plotted_values = [
            float('nan') if value is None else value for value in values
        ]
        axes.plot(
            [cell.load for cell in cells], plotted_values, 'o-', label=policy
        )
    if logarithmic:
        axes.set_yscale('log')
    axes.set_xlabel('load, share of capacity')
    axes.set_title(title)
    axes.legend()
    stream = io.BytesIO()
    figure.savefig(stream, format='png')
    encoded = base64.b64encode(stream.getvalue()).decode()
    source = f'data:image/png;base64,{encoded}'
    return f'<img alt="{html.escape(title)}" src="{source}">'
