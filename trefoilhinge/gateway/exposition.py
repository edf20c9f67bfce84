"""Metrics of one process in the Prometheus text format."""

import itertools
from collections.abc import Iterator, Sequence

from attrs import define
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.metrics_core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from trefoilhinge.gateway.metrics import (
    BUCKETS_S,
    Histogram,
    Labels,
    MetricsRegistry,
)

Key = tuple[str, Labels]


@define(eq=False)
class MetricsCollector(Collector):
    """Collector for the Prometheus client library."""

    _metrics: MetricsRegistry

    def collect(self) -> Iterator[Metric]:
        """Yield one metric family for each name."""
        counts = sorted(self._metrics.counts.items())
        for name, counted in itertools.groupby(counts, _get_name):
            yield _make_counter(name, list(counted))
        for name, value in sorted(self._metrics.gauges.items()):
            yield GaugeMetricFamily(name, name, value)
        observed = sorted(self._metrics.histograms.items(), key=_get_key)
        for name, histograms in itertools.groupby(observed, _get_name):
            yield _make_histogram(name, list(histograms))


def _get_key(item: tuple[Key, object]) -> Key:
    return item[0]


def _get_name(item: tuple[Key, object]) -> str:
    return item[0][0]


def _list_labels(items: Sequence[tuple[Key, object]]) -> list[str]:
    return [label for label, _ in items[0][0][1]]


def _make_counter(name: str, items: Sequence[tuple[Key, int]]) -> Metric:
    family = CounterMetricFamily(name, name, labels=_list_labels(items))
    for (_, labels), count in items:
        family.add_metric([text for _, text in labels], count)
    return family


def _make_histogram(
    name: str, items: Sequence[tuple[Key, Histogram]]
) -> Metric:
    title = f'{name}_seconds'
    family = HistogramMetricFamily(title, name, labels=_list_labels(items))
    bounds = [*map(str, BUCKETS_S), '+Inf']
    for (_, labels), histogram in items:
        totals = itertools.accumulate(histogram.buckets)
        family.add_metric(
            [text for _, text in labels],
            list(zip(bounds, totals, strict=True)),
            histogram.total_s,
        )
    return family


def format_metrics(metrics: MetricsRegistry) -> str:
    """Return all metrics in the Prometheus text format."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(MetricsCollector(metrics))
    return generate_latest(registry).decode()
