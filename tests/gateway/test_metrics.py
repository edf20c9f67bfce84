"""Tests of the metrics of a process."""

from prometheus_client.parser import text_string_to_metric_families

from trefoilhinge.gateway.metrics import MetricsRegistry


def read(metrics):
    """Return the exported samples by name and labels."""
    return {
        (sample.name, tuple(sorted(sample.labels.items()))): sample.value
        for family in text_string_to_metric_families(
            metrics.format_prometheus()
        )
        for sample in family.samples
    }


class TestMetricsRegistry:
    def test_counts_are_separate_for_each_label(self):
        metrics = MetricsRegistry()
        metrics.increment('calls_ended', kind='stream', outcome='answered')
        metrics.increment('calls_ended', kind='stream', outcome='answered')
        metrics.increment('calls_ended', kind='once', outcome='failed')
        labels = (('kind', 'stream'), ('outcome', 'answered'))
        assert read(metrics)['calls_ended_total', labels] == 2
        assert metrics.format_prometheus().count('# TYPE calls_ended') == 1

    def test_gauge_holds_the_last_value(self):
        metrics = MetricsRegistry()
        metrics.set_gauge('calls_active', 3)
        metrics.set_gauge('calls_active', 2)
        assert read(metrics)['calls_active', ()] == 2

    def test_buckets_are_cumulative(self):
        metrics = MetricsRegistry()
        for duration_s in (0.01, 0.25, 60):
            metrics.observe('call_duration', duration_s, kind='stream')
        samples = read(metrics)
        name = 'call_duration_seconds_bucket'
        kind = ('kind', 'stream')
        assert samples[name, (kind, ('le', '0.3'))] == 2
        assert samples[name, (kind, ('le', '+Inf'))] == 3
        assert samples['call_duration_seconds_sum', (kind,)] == 60.26
