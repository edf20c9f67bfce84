"""Counters and latency histograms, written as Prometheus text."""

from bisect import bisect_left
from collections import Counter

from attrs import define, field

# Bounds of the buckets, seconds: from a plain call to the longest deadline.
BUCKETS_S = (0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 1.5, 3.0, 6.0, 15.0)
Labels = tuple[tuple[str, str], ...]


@define
class Counters:
    """Figures of one process; each set of labels is bounded by its caller."""

    _counts: Counter[tuple[str, Labels]] = field(factory=Counter)
    _gauges: dict[str, float] = field(factory=dict)
    _histograms: dict[tuple[str, Labels], list[int]] = field(factory=dict)

    def add(self, name: str, **labels: str) -> None:
        """Count one event."""
        self._counts[name, tuple(sorted(labels.items()))] += 1

    def set(self, name: str, figure: float) -> None:
        """Set a gauge."""
        self._gauges[name] = figure

    def observe(self, name: str, duration_s: float, **labels: str) -> None:
        """Count one duration."""
        key = (name, tuple(sorted(labels.items())))
        buckets = self._histograms.setdefault(
            key, [0 for _ in range(len(BUCKETS_S) + 1)]
        )
        buckets[bisect_left(BUCKETS_S, duration_s)] += 1

    def format_text(self) -> str:
        """Return all figures as Prometheus text."""
        lines = [
            f'{name}_total{_format(labels)} {count}'
            for (name, labels), count in sorted(self._counts.items())
        ]
        lines.extend(
            f'{name} {figure:g}'
            for name, figure in sorted(self._gauges.items())
        )
        for (name, labels), buckets in sorted(self._histograms.items()):
            total = 0
            for bound, count in zip((*BUCKETS_S, '+Inf'), buckets, strict=True):
                total += count
                text = _format((*labels, ('le', str(bound))))
                lines.append(f'{name}_seconds_bucket{text} {total}')
            lines.append(f'{name}_seconds_count{_format(labels)} {total}')
        return '\n'.join((*lines, ''))


def _format(labels: Labels) -> str:
    if not labels:
        return ''
    pairs = ','.join(f'{name}="{value}"' for name, value in labels)
    return f'{{{pairs}}}'
