from opentelemetry.proto.collector.trace.v1.trace_service_pb2 import (
    ExportTraceServiceRequest,
)

from tests.calls import support
from trefoilhinge.standins.engines import read_body
from trefoilhinge.standins.servers import start_server

TRACE_ID = '4bf92f3577b34da6a3ce929d0e0e4736'
PARENT = f'00-{TRACE_ID}-00f067aa0ba902b7-01'


class TestOtlpExporter:
    def test_sends_a_span_for_each_hop_of_the_callers_trace(self):
        bodies = []

        def collect(environ, start_response):
            bodies.append(read_body(environ))
            start_response('200 OK', [('Content-Length', '0')])
            return [b'']

        collector = start_server(collect, threads=2)
        endpoint = f'http://{collector.address}/v1/traces'
        deployment = support.start(
            settings={'trace_exporter': 'otlp', 'trace_endpoint': endpoint},
        )
        try:
            support.complete(deployment, traceparent=PARENT)
        finally:
            # Stopping an instance exports its pending spans.
            deployment.stop()
            collector.stop()
        names = set()
        for body in bodies:
            request = ExportTraceServiceRequest.FromString(body)
            for resource in request.resource_spans:
                for scope in resource.scope_spans:
                    names |= {
                        span.name
                        for span in scope.spans
                        if span.trace_id.hex() == TRACE_ID
                    }
        assert len(names) >= 2, names
