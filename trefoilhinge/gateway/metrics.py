"""Counters, gauges and latency histograms of one process."""

from bisect import bisect_left
from collections import Counter

from attrs import define, field

# Upper bounds of the buckets: from a plain call to the longest deadline.
BUCKETS_S = (0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 1.5, 3.0, 6.0, 15.0)
Labels = tuple[tuple[str, str], ...]


@define
class Histogram:
    """Histogram of durations.

    :ivar buckets: count of durations up to each bound and above the previous
        one; the last bucket is unbounded.
    :ivar total_s: sum of all durations, seconds.
    """

    buckets: list[int] = field(
        factory=lambda: [0 for _ in range(len(BUCKETS_S) + 1)]
    )
    total_s: float = 0

    def observe(self, duration_s: float) -> None:
        """Add a duration to its bucket."""
        self.buckets[bisect_left(BUCKETS_S, duration_s)] += 1
        self.total_s += duration_s


@define
class MetricsRegistry:
    """Metrics of one process.

    Callers must keep the set of label values bounded.
    """

    counts: Counter[tuple[str, Labels]] = field(factory=Counter)
    gauges: dict[str, float] = field(factory=dict)
    histograms: dict[tuple[str, Labels], Histogram] = field(factory=dict)

    def increment(self, name: str, **labels: str) -> None:
        """Increment a counter."""
        self.add(name, 1, **labels)

    def add(self, name: str, amount: int, **labels: str) -> None:
        """Add an amount to a counter."""
        self.counts[name, tuple(sorted(labels.items()))] += amount

    def get_count(self, name: str, **labels: str) -> int:
        """Return the value of a counter, zero if it was never incremented."""
        return self.counts[name, tuple(sorted(labels.items()))]

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self.gauges[name] = value

    def observe(self, name: str, duration_s: float, **labels: str) -> None:
        """Add a duration to a histogram."""
        key = (name, tuple(sorted(labels.items())))
        self.histograms.setdefault(key, Histogram()).observe(duration_s)

    def format_prometheus(self) -> str:
        """Return all metrics in the Prometheus text format."""
        # Imported lazily: a restarted process serves calls a tenth of a second
        # sooner without this import.
        from trefoilhinge.gateway import exposition  # noqa: WPS433

        return exposition.format_metrics(self)
