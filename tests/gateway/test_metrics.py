"""Tests of the figures of a process."""

from prometheus_client.parser import text_string_to_metric_families

from trefoilhinge.gateway.metrics import Counters


def read(counters):
    """Return the samples of the text by name and labels."""
    return {
        (sample.name, tuple(sorted(sample.labels.items()))): sample.value
        for family in text_string_to_metric_families(counters.format_text())
        for sample in family.samples
    }


class TestCounters:
    def test_counts_are_kept_apart_by_label(self):
        counters = Counters()
        counters.add('calls_ended', kind='stream', outcome='answered')
        counters.add('calls_ended', kind='stream', outcome='answered')
        counters.add('calls_ended', kind='once', outcome='failed')
        labels = (('kind', 'stream'), ('outcome', 'answered'))
        assert read(counters)['calls_ended_total', labels] == 2
        assert counters.format_text().count('# TYPE calls_ended') == 1

    def test_gauge_holds_the_last_figure(self):
        counters = Counters()
        counters.set('calls_active', 3)
        counters.set('calls_active', 2)
        assert read(counters)['calls_active', ()] == 2

    def test_buckets_add_up(self):
        counters = Counters()
        for duration_s in (0.01, 0.25, 60):
            counters.observe('call_duration', duration_s, kind='stream')
        samples = read(counters)
        name = 'call_duration_seconds_bucket'
        kind = ('kind', 'stream')
        assert samples[name, (kind, ('le', '0.3'))] == 2
        assert samples[name, (kind, ('le', '+Inf'))] == 3
        assert samples['call_duration_seconds_sum', (kind,)] == 60.26
