"""Metrics and traces by OpenTelemetry, from finished requests only.

Nothing here is called for a token: a request's times are gathered by the
thread that serves it and turned into measures and spans once, at its end.
"""

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
from trefoilhinge.entry.logs import write_log_event

NANOSECONDS = 1_000_000_000
FIRST_TOKEN_BOUNDS_S = (0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2, 4, 8, 16, 32, 64)
GAP_BOUNDS_S = (0.01, 0.02, 0.03, 0.038, 0.05, 0.08, 0.15, 0.3, 1, 3, 10)
_PROPAGATOR = TraceContextTextMapPropagator()


@frozen
class NodeState:
    """What a node's core says of itself, for the gauges and ``/status``.

    :ivar calls: calls in progress.
    :ivar queued: calls that wait for a target.
    """

    revision: int = 0
    ready: bool = False
    stopping: bool = False
    calls: int = 0
    queued: int = 0


@frozen
class PassedTrace:
    """No span of our own: the caller's ``traceparent`` is passed on."""

    traceparent: str


@frozen
class OpenTrace:
    """Span of a request."""

    span: trace.Span

    @property
    def traceparent(self) -> str:
        """Return the ``traceparent`` of the span."""
        carrier: dict[str, str] = {}
        _PROPAGATOR.inject(carrier, trace.set_span_in_context(self.span))
        return carrier.get('traceparent', '')


@define
class NodeMeters:
    """Measures of one instance, in a registry of its own."""

    requests: Counter
    first_token: Histogram
    mean_gap: Histogram
    longest_gap: Histogram
    _registry: prometheus_client.CollectorRegistry
    _state: NodeState = field(factory=NodeState)

    def expose(self, state: NodeState) -> bytes:
        """Return every measure in the Prometheus text format."""
        self._state = state
        return bytes(prometheus_client.generate_latest(self._registry))

    def note(self, record: CallSummary) -> None:
        """Take one finished request."""
        times = record.times
        labels = {'service': record.service}
        self.requests.add(
            1,
            {
                **labels,
                'organisation': record.organisation,
                'verdict': record.verdict,
                'code': record.code or 'answered',
            },
        )
        if times.first_event_s is not None:
            length = f'1e{len(str(record.prompt_tokens)) - 1}'
            first_s = times.first_event_s - times.received_s
            self.first_token.record(first_s, {**labels, 'tokens': length})
        if times.mean_gap_s is not None:
            self.mean_gap.record(times.mean_gap_s, labels)
            self.longest_gap.record(times.longest_gap_s, labels)

    def observe_calls(self, options: CallbackOptions) -> Iterable[Observation]:
        """Report calls in progress."""
        yield Observation(self._state.calls)

    def observe_queued(self, options: CallbackOptions) -> Iterable[Observation]:
        """Report calls that wait."""
        yield Observation(self._state.queued)

    def observe_revision(
        self,
        options: CallbackOptions,
    ) -> Iterable[Observation]:
        """Report the revision in force."""
        yield Observation(self._state.revision)


@define
class Telemetry:
    """Logs, measures and traces finished requests."""

    meters: NodeMeters
    _tracer: trace.Tracer | None
    _provider: TracerProvider | None

    def start_span(self, traceparent: str) -> CallSpan:
        """Open the span of a request."""
        if self._tracer is None:
            return PassedTrace(traceparent)
        parent = _PROPAGATOR.extract({'traceparent': traceparent})
        return OpenTrace(self._tracer.start_span('receive', parent))

    def record_finished(self, record: CallSummary, trace: CallSpan) -> None:
        """Write the request's line, take its measures, close its spans."""
        fields = tuple(record.make_log_fields().items())
        write_log_event(LogEvent('request_finished', fields))
        self.meters.note(record)
        if isinstance(trace, OpenTrace) and self._tracer is not None:
            _end_spans(self._tracer, trace.span, record)

    def close(self) -> None:
        """Send the spans that wait to be exported."""
        if self._provider is not None:
            self._provider.shutdown()


def make_telemetry(settings: Settings) -> Telemetry:
    """Return the telemetry of one instance."""
    registry = prometheus_client.CollectorRegistry()
    reader = PrometheusMetricReader(
        prefix='trefoilhinge',
        scope_info_enabled=False,
        registry=registry,
    )
    meter = MeterProvider([reader], shutdown_on_exit=False).get_meter('entry')
    meters = NodeMeters(
        meter.create_counter('requests', description='Finished requests.'),
        meter.create_histogram(
            'first_token',
            's',
            'Time to the first token, by the decade of the prompt length.',
            explicit_bucket_boundaries_advisory=FIRST_TOKEN_BOUNDS_S,
        ),
        meter.create_histogram(
            'mean_token_gap',
            's',
            'Mean time between the events of one answer.',
            explicit_bucket_boundaries_advisory=GAP_BOUNDS_S,
        ),
        meter.create_histogram(
            'longest_token_gap',
            's',
            'Longest time between two events of one answer.',
            explicit_bucket_boundaries_advisory=GAP_BOUNDS_S,
        ),
        registry,
    )
    meter.create_observable_gauge('calls', [meters.observe_calls])
    meter.create_observable_gauge('queued_calls', [meters.observe_queued])
    meter.create_observable_gauge('revision', [meters.observe_revision])
    provider = _make_tracer_provider(settings)
    tracer = None if provider is None else provider.get_tracer('entry')
    return Telemetry(meters, tracer, provider)


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
    record: CallSummary,
) -> None:
    times = record.times
    parent = trace.set_span_in_context(span)
    if times.sent_s is not None:
        queued = tracer.start_span(
            'queue',
            parent,
            start_time=_to_wall_ns(times.received_s),
        )
        queued.end(_to_wall_ns(times.sent_s))
    ends_s = [hop.sent_s for hop in times.hops[1:]]
    for hop, end_s in zip(times.hops, [*ends_s, record.ended_s], strict=True):
        _end_hop(tracer, parent, hop, end_s)
    span.set_attributes(record.make_log_fields())
    span.end(_to_wall_ns(record.ended_s))


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
    ago_s = time.monotonic() - monotonic_s
    return time.time_ns() - int(ago_s * NANOSECONDS)
