"""Begins calls and answers them, for callers and for peers alike."""

from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import Executor
from typing import Any

from attrs import define, evolve, frozen

from trefoilhinge.calls.answers import (
    Headers,
    format_status,
    list_refusal_headers,
    write_refusal,
)
from trefoilhinge.calls.attempt_sender import AnswerOpener
from trefoilhinge.calls.call_parsing import (
    CallContext,
    ReceivedRequest,
    understand_request,
)
from trefoilhinge.calls.call_telemetry import (
    CallObserver,
    CallRecord,
    CallTimes,
    CallTrace,
)
from trefoilhinge.calls.caller_connection import CallerConnection
from trefoilhinge.calls.forward_client import ForwardedRequest
from trefoilhinge.calls.mailboxes import Mailboxes
from trefoilhinge.calls.relay import Conversation
from trefoilhinge.calls.token_estimates import TokenRatios
from trefoilhinge.core.clocks import Clock
from trefoilhinge.core.events import CallerGone, CallReceived
from trefoilhinge.core.lines import DONE_DATA, write_data
from trefoilhinge.core.verdicts import Refusal, RefusalCode, Verdict
from trefoilhinge.targets.interfaces import OutgoingCall

StartResponse = Callable[..., Any]
WRITE_MARGIN_S = 1.0
REFUSAL_WRITE_S = 2.0
STATUS_OK = 200
STREAM_TYPE = 'text/event-stream'


@frozen
class BegunCall:
    """A call in progress and its span."""

    conversation: Conversation
    trace: CallTrace
    connection: CallerConnection


@define
class CallService:
    """Runs conversations and writes their answers.

    :ivar ratios: bytes per token, learned from what engines count.
    """

    _mailboxes: Mailboxes
    _opener: AnswerOpener
    _executor: Executor
    _clock: Clock
    _observer: CallObserver
    ratios: TokenRatios

    def begin(
        self,
        request: ReceivedRequest,
        context: CallContext,
        connection: CallerConnection,
    ) -> BegunCall:
        """Hand a call to the core.

        :raises RequestRefused: the request cannot be understood.
        """
        call = understand_request(request, context)
        profile = call.profile
        trace = self._observer.begin(request.trace)
        connection.bound_until(profile.deadline_s + WRITE_MARGIN_S)
        conversation = Conversation(
            call,
            OutgoingCall(
                request.method,
                call.target_path,
                request.body,
                request.content_type,
                trace.traceparent,
            ),
            _make_forward(request, context, trace),
            context.document.time_limits.silence_s,
            CallTimes(profile.received_s),
            self._mailboxes.open(profile.request_id),
            connection,
            self._opener,
            self._executor,
            self._clock,
        )
        self._opener.report(CallReceived(profile))
        return BegunCall(conversation, trace, connection)

    def answer(
        self,
        begun: BegunCall,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Wait for the beginning of an answer and write it."""
        conversation = begun.conversation
        pieces = conversation.read_pieces()
        try:
            first = next(pieces, None)
            streams = first is not None and _is_stream(conversation)
            rest = () if streams else tuple(pieces)
        except BaseException:
            self._finish(begun, 0)
            raise
        if first is not None and streams:
            start_response(format_status(STATUS_OK), _list_headers(begun))
            return self._stream(begun, first, pieces)
        return self._answer_whole(begun, (first or b'', *rest), start_response)

    def refuse(
        self,
        refusal: Refusal,
        request_id: str,
        start_response: StartResponse,
        connection: CallerConnection,
    ) -> Iterable[bytes]:
        """Answer with a refusal of a request that never became a call."""
        now_s = self._clock.read().monotonic_s
        self._observer.note_finished(
            _record_refused(refusal, request_id, now_s),
            self._observer.begin(''),
        )
        connection.bound_until(now_s + REFUSAL_WRITE_S)
        connection.leave_rest()
        return answer_refusal(refusal, request_id, start_response)

    def _answer_whole(
        self,
        begun: BegunCall,
        pieces: tuple[bytes, ...],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        conversation = begun.conversation
        request_id = conversation.call.profile.request_id
        now_s = self._clock.read().monotonic_s
        begun.connection.bound_until(now_s + REFUSAL_WRITE_S)
        if conversation.refusal is not None:
            self._finish(begun, conversation.refusal.status)
            return answer_refusal(
                conversation.refusal,
                request_id,
                start_response,
            )
        status = STATUS_OK
        headers: Headers = [('Content-Type', 'application/json')]
        if conversation.forwarded is not None:
            status = conversation.forwarded.status
            headers = list(conversation.forwarded.headers)
            body = b''.join(pieces)
        elif conversation.plain is not None:
            status = conversation.plain.status
            headers = [('Content-Type', conversation.plain.content_type)]
            body = conversation.plain.body
        else:
            body = conversation.join_answer()
        self._finish(begun, status)
        headers.append(('Content-Length', str(len(body))))
        headers.append(('X-Request-Id', request_id))
        start_response(format_status(status), headers)
        return [body]

    def _stream(
        self,
        begun: BegunCall,
        first: bytes,
        pieces: Iterator[bytes],
    ) -> Iterator[bytes]:
        conversation = begun.conversation
        request_id = conversation.call.profile.request_id
        try:
            yield first
            yield from pieces
            if conversation.refusal is not None:
                body = write_refusal(conversation.refusal, request_id)
                yield write_data(body.decode())
            elif conversation.forwarded is None:
                yield write_data(DONE_DATA)
        finally:
            self._finish(begun, STATUS_OK)

    def _finish(self, begun: BegunCall, status: int) -> None:
        conversation = begun.conversation
        profile = conversation.call.profile
        self._mailboxes.close(profile.request_id)
        conversation.close()
        if not conversation.released:
            self._opener.report(CallerGone(profile.request_id))
        counted = conversation.times.usage_prompt_tokens
        self.ratios.learn(
            profile.service,
            len(conversation.call.prompt),
            counted,
        )
        record = _make_record(
            conversation,
            status,
            self._clock.read().monotonic_s,
        )
        self._observer.note_finished(record, begun.trace)


def answer_refusal(
    refusal: Refusal,
    request_id: str,
    start_response: StartResponse,
) -> Iterable[bytes]:
    """Answer with a refusal as JSON."""
    body = write_refusal(refusal, request_id)
    headers = list_refusal_headers(refusal, len(body))
    headers.append(('X-Request-Id', request_id))
    start_response(format_status(refusal.status), headers)
    return [body]


def refuse_broken_core() -> Refusal:
    """Return the refusal of a call that a fault of the core ended."""
    return Refusal(
        RefusalCode.ANSWER_INCOMPLETE,
        Verdict.MAY_HAVE_RUN,
        'This instance failed while it decided on the request.',
    )


def _is_stream(conversation: Conversation) -> bool:
    forwarded = conversation.forwarded
    if forwarded is None:
        return True
    content_type = dict(forwarded.headers).get('Content-Type', '')
    return content_type.startswith(STREAM_TYPE)


def _list_headers(begun: BegunCall) -> Headers:
    return [
        ('Content-Type', STREAM_TYPE),
        ('Cache-Control', 'no-cache'),
        ('X-Request-Id', begun.conversation.call.profile.request_id),
    ]


def _make_forward(
    request: ReceivedRequest,
    context: CallContext,
    trace: CallTrace,
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
        trace.traceparent,
    )


def _record_refused(
    refusal: Refusal,
    request_id: str,
    now_s: float,
) -> CallRecord:
    return CallRecord(
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


def _make_record(
    conversation: Conversation,
    status: int,
    ended_s: float,
) -> CallRecord:
    profile = conversation.call.profile
    record = CallRecord(
        request_id=profile.request_id,
        organisation=profile.organisation,
        service=profile.service,
        verdict='departed',
        code='',
        status=status,
        prompt_tokens=(
            conversation.times.usage_prompt_tokens or profile.prompt_tokens
        ),
        ended_s=ended_s,
        times=conversation.times,
        forwarded=profile.forwarded,
    )
    refusal = conversation.refusal
    if refusal is not None:
        return evolve(
            record,
            verdict=refusal.verdict.value,
            code=refusal.code.value,
        )
    if conversation.finished:
        return evolve(record, verdict=Verdict.RAN.value)
    return record
