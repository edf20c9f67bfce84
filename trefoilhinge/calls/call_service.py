"""Service that runs the calls of callers and of peers."""

from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import Executor
from typing import Any

from attrs import define, evolve, frozen

from trefoilhinge.calls.answers import (
    Headers,
    encode_refusal,
    format_status,
    make_refusal_headers,
)
from trefoilhinge.calls.attempt_sender import AttemptSender
from trefoilhinge.calls.call_parsing import (
    CallContext,
    ReceivedRequest,
    parse_call,
)
from trefoilhinge.calls.call_telemetry import (
    CallObserver,
    CallSpan,
    CallSummary,
    CallTimes,
)
from trefoilhinge.calls.caller_connection import CallerConnection
from trefoilhinge.calls.forward_client import ForwardedRequest
from trefoilhinge.calls.mailboxes import Mailboxes
from trefoilhinge.calls.relay import CallRelay
from trefoilhinge.calls.token_estimates import TokenEstimator
from trefoilhinge.core.clocks import Clock
from trefoilhinge.core.events import CallerGone, CallReceived
from trefoilhinge.core.sse import DONE_DATA, encode_data
from trefoilhinge.core.verdicts import Refusal, RefusalCode, Verdict
from trefoilhinge.targets.interfaces import OutgoingCall

StartResponse = Callable[..., Any]
# A stream can be written until this long after the deadline of its call. The
# relay's own refusal, ``DEADLINE_MARGIN_S`` after the deadline, must fit in.
WRITE_MARGIN_S = 1.0
RESPONSE_WRITE_TIMEOUT_S = 2.0
STATUS_OK = 200
STREAM_CONTENT_TYPE = 'text/event-stream'


@frozen
class ActiveCall:
    """Call in progress with its span and the caller's connection."""

    relay: CallRelay
    span: CallSpan
    connection: CallerConnection


@define
class CallService:
    """Start calls, relay their answers and record their summaries.

    :ivar token_estimator: estimator updated with the token counts that
        engines report.
    """

    _mailboxes: Mailboxes
    _sender: AttemptSender
    _executor: Executor
    _clock: Clock
    _observer: CallObserver
    token_estimator: TokenEstimator

    def start_call(
        self,
        request: ReceivedRequest,
        context: CallContext,
        connection: CallerConnection,
    ) -> ActiveCall:
        """Parse a request and submit its call to the core.

        :raises RequestRefused: the request is invalid or not allowed.
        """
        call = parse_call(request, context)
        profile = call.profile
        span = self._observer.start_span(request.traceparent)
        connection.set_io_deadline(profile.deadline_s + WRITE_MARGIN_S)
        relay = CallRelay(
            call,
            OutgoingCall(
                request.method,
                call.target_path,
                request.body,
                request.content_type,
                span.traceparent,
            ),
            _make_forwarded_request(request, context, span),
            context.document.time_limits.silence_s,
            CallTimes(profile.received_s),
            self._mailboxes.open(profile.request_id),
            connection,
            self._sender,
            self._executor,
            self._clock,
        )
        self._sender.report(CallReceived(profile))
        return ActiveCall(relay, span, connection)

    def answer(
        self,
        active_call: ActiveCall,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Wait for the first part of the answer, then send or stream it."""
        relay = active_call.relay
        chunks = relay.relay_answer()
        try:
            first = next(chunks, None)
            is_streamed = first is not None and _is_stream(relay)
            rest = () if is_streamed else tuple(chunks)
        except BaseException:
            self._finish(active_call, 0)
            raise
        if first is not None and is_streamed:
            start_response(
                format_status(STATUS_OK), _make_stream_headers(active_call)
            )
            return self._stream_answer(active_call, first, chunks)
        return self._send_complete_answer(
            active_call, (first or b'', *rest), start_response
        )

    def refuse(
        self,
        refusal: Refusal,
        request_id: str,
        start_response: StartResponse,
        connection: CallerConnection,
    ) -> Iterable[bytes]:
        """Refuse a request for which no call was started."""
        now_s = self._clock.read().monotonic_s
        self._observer.record_finished(
            _summarise_refusal(refusal, request_id, now_s),
            self._observer.start_span(''),
        )
        connection.set_io_deadline(now_s + RESPONSE_WRITE_TIMEOUT_S)
        connection.skip_unread_body()
        return answer_refusal(refusal, request_id, start_response)

    def _send_complete_answer(
        self,
        active_call: ActiveCall,
        chunks: tuple[bytes, ...],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        relay = active_call.relay
        request_id = relay.call.profile.request_id
        now_s = self._clock.read().monotonic_s
        active_call.connection.set_io_deadline(now_s + RESPONSE_WRITE_TIMEOUT_S)
        if relay.refusal is not None:
            self._finish(active_call, relay.refusal.status)
            return answer_refusal(
                relay.refusal,
                request_id,
                start_response,
            )
        status = STATUS_OK
        headers: Headers = [('Content-Type', 'application/json')]
        if relay.forwarded_answer is not None:
            status = relay.forwarded_answer.status
            headers = list(relay.forwarded_answer.headers)
            body = b''.join(chunks)
        elif relay.plain_answer is not None:
            status = relay.plain_answer.status
            headers = [('Content-Type', relay.plain_answer.content_type)]
            body = relay.plain_answer.body
        else:
            body = relay.assemble_answer()
        self._finish(active_call, status)
        headers.append(('Content-Length', str(len(body))))
        headers.append(('X-Request-Id', request_id))
        start_response(format_status(status), headers)
        return [body]

    def _stream_answer(
        self,
        active_call: ActiveCall,
        first: bytes,
        chunks: Iterator[bytes],
    ) -> Iterator[bytes]:
        relay = active_call.relay
        request_id = relay.call.profile.request_id
        try:
            yield first
            yield from chunks
            if relay.refusal is not None:
                body = encode_refusal(relay.refusal, request_id)
                yield encode_data(body.decode())
            elif relay.forwarded_answer is None:
                yield encode_data(DONE_DATA)
        finally:
            self._finish(active_call, STATUS_OK)

    def _finish(self, active_call: ActiveCall, status: int) -> None:
        relay = active_call.relay
        profile = relay.call.profile
        self._mailboxes.close(profile.request_id)
        relay.close()
        if not relay.core_ended:
            self._sender.report(CallerGone(profile.request_id))
        prompt_tokens = relay.times.usage_prompt_tokens
        self.token_estimator.record_prompt(
            profile.service,
            len(relay.call.prompt),
            prompt_tokens,
        )
        summary = _summarise_call(
            relay,
            status,
            self._clock.read().monotonic_s,
        )
        self._observer.record_finished(summary, active_call.span)


def answer_refusal(
    refusal: Refusal,
    request_id: str,
    start_response: StartResponse,
) -> Iterable[bytes]:
    """Respond with a refusal in JSON."""
    body = encode_refusal(refusal, request_id)
    headers = make_refusal_headers(refusal, len(body))
    headers.append(('X-Request-Id', request_id))
    start_response(format_status(refusal.status), headers)
    return [body]


def refuse_core_failure() -> Refusal:
    """Return the refusal of a call that an error of the core ended."""
    return Refusal(
        RefusalCode.ANSWER_INCOMPLETE,
        Verdict.MAY_HAVE_RUN,
        'This instance failed while processing the request.',
    )


def _is_stream(relay: CallRelay) -> bool:
    forwarded = relay.forwarded_answer
    if forwarded is None:
        return True
    content_type = dict(forwarded.headers).get('Content-Type', '')
    return content_type.startswith(STREAM_CONTENT_TYPE)


def _make_stream_headers(active_call: ActiveCall) -> Headers:
    return [
        ('Content-Type', STREAM_CONTENT_TYPE),
        ('Cache-Control', 'no-cache'),
        ('X-Request-Id', active_call.relay.call.profile.request_id),
    ]


def _make_forwarded_request(
    request: ReceivedRequest,
    context: CallContext,
    span: CallSpan,
) -> ForwardedRequest:
    return ForwardedRequest(
        context.request_id,
        context.organisation.name,
        request.method,
        request.target_path,
        request.body,
        request.content_type,
        request.key,
        request.priority,
        request.repeatable,
        span.traceparent,
    )


def _summarise_refusal(
    refusal: Refusal,
    request_id: str,
    now_s: float,
) -> CallSummary:
    return CallSummary(
        request_id=request_id,
        organisation='',
        service='',
        verdict=refusal.verdict.value,
        code=refusal.code.value,
        status=refusal.status,
        prompt_tokens=0,
        ended_s=now_s,
        times=CallTimes(now_s),
    )


def _summarise_call(
    relay: CallRelay,
    status: int,
    ended_s: float,
) -> CallSummary:
    profile = relay.call.profile
    summary = CallSummary(
        request_id=profile.request_id,
        organisation=profile.organisation,
        service=profile.service,
        verdict='departed',
        code='',
        status=status,
        prompt_tokens=(
            relay.times.usage_prompt_tokens or profile.prompt_tokens
        ),
        ended_s=ended_s,
        times=relay.times,
        forwarded=profile.forwarded,
    )
    refusal = relay.refusal
    if refusal is not None:
        return evolve(
            summary,
            verdict=refusal.verdict.value,
            code=refusal.code.value,
        )
    if relay.finished:
        return evolve(summary, verdict=Verdict.RAN.value)
    return summary
