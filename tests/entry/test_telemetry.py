import socket
import time

import logbook
import pytest
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import SimpleSpanProcessor
from opentelemetry.sdk.trace.export.in_memory_span_exporter import (
    InMemorySpanExporter,
)

from tests.calls import support
from trefoilhinge.calls.call_telemetry import CallSummary, CallTimes, Hop
from trefoilhinge.conf.settings import load_settings
from trefoilhinge.entry.telemetry import (
    SPAN_EXPORT_TIMEOUT_S,
    Telemetry,
    make_telemetry,
)

PARENT = '00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01'
TRACE_ID = PARENT.split('-')[1]
SETTINGS = {'instance': 'entry-0', 'failure_domain': 'kandy'}


@pytest.fixture(scope='module')
def deployment():
    started = support.start(settings={'trace_exporter': 'console'})
    yield started
    started.stop()


def read_metrics(deployment):
    address = deployment.entries[0].settings.peer_listen
    return support.POOL.request(
        'GET', f'http://{address}/metrics'
    ).data.decode()


class TestMetrics:
    def test_count_requests_by_organisation_and_verdict(self, deployment):
        support.complete(deployment)
        line = next(
            sample
            for sample in read_metrics(deployment).splitlines()
            if sample.startswith('trefoilhinge_requests_total{')
        )
        assert 'organisation="hotel-desk"' in line
        assert 'service="writer"' in line
        assert 'verdict="ran"' in line

    def test_expose_latencies_and_the_revision(self, deployment):
        support.complete(deployment)
        text = read_metrics(deployment)
        assert 'trefoilhinge_first_token_seconds_bucket{' in text
        assert 'trefoilhinge_mean_token_gap_seconds_bucket{' in text
        assert 'trefoilhinge_revision 1.0' in text
        assert 'trefoilhinge_calls 0.0' in text
        assert 'trefoilhinge_queued_calls 0.0' in text

    def test_count_refusals_before_a_call(self, deployment):
        support.POOL.request('POST', f'{deployment.urls[0]}/v1/completions')
        assert 'code="unknown_key"' in read_metrics(deployment)

    def test_contain_no_key_and_no_prompt(self, deployment):
        support.complete(deployment, prompt='a secret prompt')
        text = read_metrics(deployment)
        assert 'secret' not in text
        assert deployment.key.split('-')[2] not in text


class TestClose:
    def test_does_not_wait_for_a_silent_collector(self):
        """Guards against an exit that spans delay until the process is killed."""
        with socket.create_server(('127.0.0.1', 0)) as collector:
            port = collector.getsockname()[1]
            telemetry = make_telemetry(
                load_settings(
                    {
                        **SETTINGS,
                        'trace_exporter': 'otlp',
                        'trace_endpoint': f'http://127.0.0.1:{port}/v1/traces',
                    },
                    {},
                )
            )
            telemetry.record_finished(
                CallSummary(
                    request_id='r1',
                    organisation='hotel-desk',
                    service='writer',
                    verdict='ran',
                    code='',
                    status=200,
                    prompt_tokens=1,
                    ended_s=1,
                    times=CallTimes(0),
                ),
                telemetry.start_span(''),
            )
            begun_s = time.monotonic()
            with logbook.TestHandler().applicationbound() as log:
                telemetry.close()
        assert time.monotonic() - begun_s < SPAN_EXPORT_TIMEOUT_S + 1
        assert log.has_infos
        assert 'event=spans_dropped' in log.records[-1].message


class TestTraces:
    def test_do_not_replace_a_refusal_by_an_error(self, deployment):
        """Guards against may_have_run for a call that was never sent."""
        answer = support.POOL.request(
            'POST', f'{deployment.urls[0]}/v1/completions'
        )
        assert answer.status == 401
        assert answer.headers['X-Verdict'] == 'not_run'

    def test_pass_the_callers_trace_on_to_the_target(self, deployment):
        support.reset_faults(deployment)
        support.complete(deployment, traceparent=PARENT)
        traces = [
            trace
            for engine in deployment.engines
            for trace in engine.traces.values()
        ]
        matches = [trace for trace in traces if trace.split('-')[1] == TRACE_ID]
        assert len(matches) == 1
        # The target's parent is this instance's span, not the caller's.
        assert matches[0].split('-')[2] != PARENT.split('-')[2]

    def test_have_a_span_for_each_hop(self):
        exporter = InMemorySpanExporter()
        provider = TracerProvider()
        provider.add_span_processor(SimpleSpanProcessor(exporter))
        plain = make_telemetry(load_settings(SETTINGS, {}))
        telemetry = Telemetry(
            plain.metrics, provider.get_tracer('entry'), provider
        )
        times = CallTimes(
            received_s=10,
            sent_s=11,
            hops=[
                Hop('writer-0', 11),
                Hop('writer-1', 12),
                Hop('entry-1', 13, forwarded=True),
            ],
        )
        summary = CallSummary(
            'r1', 'hotel-desk', 'writer', 'ran', '', 200, 7, 15, times
        )
        call_span = telemetry.start_span(PARENT)
        telemetry.record_finished(summary, call_span)
        spans = exporter.get_finished_spans()
        names = [span.name for span in spans]
        assert names == ['queue', 'attempt', 'attempt', 'forward', 'receive']
        durations_ns = [span.end_time - span.start_time for span in spans[:4]]
        assert [round(duration / 1e9) for duration in durations_ns] == [
            1,
            1,
            1,
            2,
        ]
        assert {f'{span.context.trace_id:032x}' for span in spans} == {TRACE_ID}
        receive = spans[-1].context.span_id
        assert all(span.parent.span_id == receive for span in spans[:4])
