"""Metrics and traces with OpenTelemetry, recorded for finished requests.

Nothing here runs per token: the thread that serves a request collects its
timings, from which metrics and spans are recorded once, when it has finished.
"""

import threading
import time
from collections.abc import Iterable

import prometheus_client
from attrs import define, field, frozen
from opentelemetry import context, trace
from opentelemetry.exporter.otlp.proto.http.trace_exporter import (
    OTLPSpanExporter,
)
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import (
    CallbackOptions,
    Counter,
    Histogram,
    Observation,
)
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    ConsoleSpanExporter,
    SimpleSpanProcessor,
    SpanExporter,
)
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

from trefoilhinge.calls.call_telemetry import CallSpan, CallSummary, Hop
from trefoilhinge.conf.generated.settings import Settings
from trefoilhinge.core.effects import LogEvent
from trefoilhinge.entry.logs import log_event

# The exporter itself would wait for a silent collector for 10 s and more.
SPAN_EXPORT_TIMEOUT_S = 2.0
NANOSECONDS_PER_SECOND = 1_000_000_000
TTFT_BUCKETS_S = (0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2, 4, 8, 16, 32, 64)
INTER_TOKEN_BUCKETS_S = (
    0.01,
    0.02,
    0.03,
    0.038,
    0.05,
    0.08,
    0.15,
    0.3,
    1,
    3,
    10,
)
_PROPAGATOR = TraceContextTextMapPropagator()


@frozen
class NodeState:
    """State of a node's core for the gauges.

    :ivar revision: revision of the document in force.
    :ivar ready: whether the load balancer may send calls to the instance.
    :ivar stopping: whether a graceful shutdown has begun.
    :ivar calls: number of calls in progress.
    :ivar queued: number of calls that wait for a target.
    """

    revision: int = 0
    ready: bool = False
    stopping: bool = False
    calls: int = 0
    queued: int = 0


@frozen
class NonRecordingCallSpan:
    """Call span that only propagates the caller's ``traceparent``."""

    traceparent: str


@frozen
class RecordingCallSpan:
    """Call span that is recorded with OpenTelemetry."""

    span: trace.Span

    @property
    def traceparent(self) -> str:
        """Return the ``traceparent`` of the span."""
        carrier: dict[str, str] = {}
        _PROPAGATOR.inject(carrier, trace.set_span_in_context(self.span))
        return carrier.get('traceparent', '')


@define
class NodeMetrics:
    """Metrics of one instance, in a registry of its own."""

    requests: Counter
    first_token: Histogram
    mean_gap: Histogram
    longest_gap: Histogram
    _registry: prometheus_client.CollectorRegistry
    _node_state: NodeState = field(factory=NodeState)

    def render(self, state: NodeState) -> bytes:
        """Return all metrics in the Prometheus text format."""
        self._node_state = state
        return bytes(prometheus_client.generate_latest(self._registry))

    def record(self, summary: CallSummary) -> None:
        """Record a finished request."""
        times = summary.times
        labels = {'service': summary.service}
        self.requests.add(
            1,
            {
                **labels,
                'organisation': summary.organisation,
                'verdict': summary.verdict,
                'code': summary.code or 'answered',
            },
        )
        if times.first_event_s is not None:
            prompt_magnitude = f'1e{len(str(summary.prompt_tokens)) - 1}'
            ttft_s = times.first_event_s - times.received_s
            self.first_token.record(
                ttft_s, {**labels, 'tokens': prompt_magnitude}
            )
        if times.mean_gap_s is not None:
            self.mean_gap.record(times.mean_gap_s, labels)
            self.longest_gap.record(times.longest_gap_s, labels)

    def observe_calls(self, options: CallbackOptions) -> Iterable[Observation]:
        """Yield the number of calls in progress."""
        yield Observation(self._node_state.calls)

    def observe_queued(self, options: CallbackOptions) -> Iterable[Observation]:
        """Yield the number of queued calls."""
        yield Observation(self._node_state.queued)

    def observe_revision(
        self,
        options: CallbackOptions,
    ) -> Iterable[Observation]:
        """Yield the revision in force."""
        yield Observation(self._node_state.revision)


@define
class Telemetry:
    """Log, metrics and traces of finished requests."""

    metrics: NodeMetrics
    _tracer: trace.Tracer | None
    _provider: TracerProvider | None

    def start_span(self, traceparent: str) -> CallSpan:
        """Start the span of a request."""
        if self._tracer is None:
            return NonRecordingCallSpan(traceparent)
        parent = _PROPAGATOR.extract({'traceparent': traceparent})
        return RecordingCallSpan(self._tracer.start_span('receive', parent))

    def record_finished(self, summary: CallSummary, span: CallSpan) -> None:
        """Log a finished request, record its metrics and end its spans."""
        fields = tuple(summary.make_log_fields().items())
        log_event(LogEvent('request_finished', fields))
        self.metrics.record(summary)
        if isinstance(span, RecordingCallSpan) and self._tracer is not None:
            _end_spans(self._tracer, span.span, summary)

    def close(self) -> None:
        """Export the pending spans, as far as the collector takes them."""
        if self._provider is None:
            return
        thread = threading.Thread(target=self._provider.shutdown, daemon=True)
        thread.start()
        thread.join(SPAN_EXPORT_TIMEOUT_S)
        if thread.is_alive():
            log_event(LogEvent('spans_dropped', ()))


def make_telemetry(settings: Settings) -> Telemetry:
    """Return the telemetry of one instance."""
    registry = prometheus_client.CollectorRegistry()
    reader = PrometheusMetricReader(
        prefix='trefoilhinge',
        scope_info_enabled=False,
        registry=registry,
    )
    meter = MeterProvider([reader], shutdown_on_exit=False).get_meter('entry')
    metrics = NodeMetrics(
        meter.create_counter('requests', description='Finished requests.'),
        meter.create_histogram(
            'first_token',
            's',
            'Time to the first token, by the decade of the prompt length.',
            explicit_bucket_boundaries_advisory=TTFT_BUCKETS_S,
        ),
        meter.create_histogram(
            'mean_token_gap',
            's',
            'Mean time between the events of one answer.',
            explicit_bucket_boundaries_advisory=INTER_TOKEN_BUCKETS_S,
        ),
        meter.create_histogram(
            'longest_token_gap',
            's',
            'Longest time between two events of one answer.',
            explicit_bucket_boundaries_advisory=INTER_TOKEN_BUCKETS_S,
        ),
        registry,
    )
    meter.create_observable_gauge('calls', [metrics.observe_calls])
    meter.create_observable_gauge('queued_calls', [metrics.observe_queued])
    meter.create_observable_gauge('revision', [metrics.observe_revision])
    provider = _make_tracer_provider(settings)
    tracer = None if provider is None else provider.get_tracer('entry')
    return Telemetry(metrics, tracer, provider)


def _make_tracer_provider(settings: Settings) -> TracerProvider | None:
    if settings.trace_exporter == 'none':
        return None
    provider = TracerProvider(
        resource=Resource.create({'service.instance.id': settings.instance}),
        shutdown_on_exit=False,
    )
    if settings.trace_exporter == 'console':
        processor = SimpleSpanProcessor(ConsoleSpanExporter())
        provider.add_span_processor(processor)
        return provider
    exporter: SpanExporter = OTLPSpanExporter(settings.trace_endpoint or None)
    provider.add_span_processor(BatchSpanProcessor(exporter))
    return provider


def _end_spans(
    tracer: trace.Tracer,
    span: trace.Span,
    summary: CallSummary,
) -> None:
    times = summary.times
    parent = trace.set_span_in_context(span)
    if times.sent_s is not None:
        queue_span = tracer.start_span(
            'queue',
            parent,
            start_time=_to_wall_ns(times.received_s),
        )
        queue_span.end(_to_wall_ns(times.sent_s))
    # A refused request may have no hop.
    ends_s = [*(hop.sent_s for hop in times.hops), summary.ended_s][1:]
    for hop, end_s in zip(times.hops, ends_s, strict=True):
        _end_hop(tracer, parent, hop, end_s)
    span.set_attributes(summary.make_log_fields())
    span.end(_to_wall_ns(summary.ended_s))


def _end_hop(
    tracer: trace.Tracer,
    parent: context.Context,
    hop: Hop,
    end_s: float,
) -> None:
    span = tracer.start_span(
        'forward' if hop.forwarded else 'attempt',
        parent,
        attributes={'to': hop.name},
        start_time=_to_wall_ns(hop.sent_s),
    )
    span.end(_to_wall_ns(end_s))


def _to_wall_ns(monotonic_s: float) -> int:
    elapsed_s = time.monotonic() - monotonic_s
    return time.time_ns() - int(elapsed_s * NANOSECONDS_PER_SECOND)
