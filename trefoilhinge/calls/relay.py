"""Relay of the answer to one call, driven by the effects of the core.

One thread serves a caller. It polls the caller's connection, the mailbox that
the core's effects are delivered to and the one answer that is open. Tokens
are thus not passed between threads, a disconnection is noticed at once, and
events of an abandoned answer are never read.
"""

import errno
import json
from collections.abc import Iterator
from concurrent.futures import Executor

from attrs import define, field

from trefoilhinge.calls.answer_connection import AnswerConnection
from trefoilhinge.calls.answers import assemble_completion
from trefoilhinge.calls.attempt_sender import AttemptSender
from trefoilhinge.calls.call_parsing import ParsedCall
from trefoilhinge.calls.call_telemetry import CallTimes
from trefoilhinge.calls.caller_connection import CallerConnection
from trefoilhinge.calls.forward_client import ForwardedRequest
from trefoilhinge.calls.mailboxes import (
    AttemptFailed,
    CallMessage,
    ForwardFailed,
    ForwardOpened,
    Mailbox,
    PlainAnswerReceived,
    StreamOpened,
)
from trefoilhinge.calls.poller import CallPoller
from trefoilhinge.core.clocks import Clock
from trefoilhinge.core.effects import (
    CancelAttempt,
    Dispatch,
    FinishCall,
    ForwardCall,
    RefuseCall,
    ResumeStream,
    RunGroupStep,
)
from trefoilhinge.core.events import (
    AttemptAccepted,
    AttemptEnded,
    AttemptOutcome,
    AttemptSilent,
    FirstTokenSeen,
    ForwardEnded,
)
from trefoilhinge.core.identifiers import AttemptId, StreamId
from trefoilhinge.core.sse import StreamEvent, encode_data
from trefoilhinge.core.verdicts import Refusal, RefusalCode, Verdict
from trefoilhinge.targets.exceptions import TargetBroke
from trefoilhinge.targets.interfaces import OutgoingCall, PlainAnswer
from trefoilhinge.targets.streams import ResponseBody

# The core refuses a call at its deadline. The relay does so itself after this
# margin, in case the core does not respond.
DEADLINE_MARGIN_S = 0.5
# Added to the delay before a broken connection is reported for each preceding
# break without an event in between.
BACKOFF_STEP_S = 0.1
MAXIMUM_BACKOFF_S = 1.0


class CallerDeparted(ConnectionResetError):
    """The caller closed its connection before the answer was complete."""

    def __init__(self) -> None:
        """Set the error number that Cheroot treats as a lost connection."""
        super().__init__(errno.ECONNRESET, 'the caller closed its connection')


@define(eq=False)
class Usage:
    """Token counts that a target reported, 0 where it reported none."""

    prompt_tokens: int = 0
    output_tokens: int = 0


@define(eq=False)
class CallRelay:
    """State of one call in the thread that serves its caller.

    :ivar call: parsed call.
    :ivar outgoing_call: request to send to a target.
    :ivar forwarded_request: request to send to the owner of the call's key.
    :ivar silence_s: seconds without an event after which the attempt is
        reported as silent.
    :ivar times: timings of the call.
    :ivar attempt: current attempt, ``None`` if there is none; events of other
        attempts are dropped.
    :ivar next_offset: offset of the next event of the current attempt, which
        equals the number of events received.
    :ivar relayed: whether any part of the answer was sent to the caller.
    :ivar events: events of an answer that is not streamed.
    :ivar plain_answer: complete answer of a plain service.
    :ivar forwarded_answer: answer of the instance that owns the call's key.
    :ivar refusal: refusal to respond with, ``None`` if there is none.
    :ivar finished: whether the core reported the answer as complete.
    :ivar core_ended: whether the core has ended the call.
    """

    call: ParsedCall
    outgoing_call: OutgoingCall
    forwarded_request: ForwardedRequest
    silence_s: float
    times: CallTimes
    _mailbox: Mailbox
    _caller: CallerConnection
    _sender: AttemptSender
    _executor: Executor
    _clock: Clock
    attempt: AttemptId | None = None
    next_offset: int = 0
    relayed: bool = False
    events: list[StreamEvent] = field(factory=list)
    plain_answer: PlainAnswer | None = None
    forwarded_answer: ForwardOpened | None = None
    refusal: Refusal | None = None
    finished: bool = False
    core_ended: bool = False
    _poller: CallPoller = field(init=False)
    _connection: AnswerConnection | None = None
    _last_event: StreamEvent | None = None
    _answer_complete: bool = False
    # The clock is read once per poll instead of once per event.
    _now_s: float = field(init=False)
    _last_activity_s: float = 0
    _broken_report_due_s: float | None = None
    _consecutive_breaks: int = 0

    def __attrs_post_init__(self) -> None:
        """Read the clock and register the descriptors to poll."""
        self._now_s = self._clock.read().monotonic_s
        self._poller = CallPoller(self._caller, self._mailbox)

    def relay_answer(self) -> Iterator[bytes]:
        """Yield the parts of the answer as they arrive.

        After the last part, either ``finished`` is true or ``refusal`` is
        set.

        :raises CallerDeparted: the caller closed its connection.
        """
        while not self.finished and self.refusal is None:
            result = self._poller.poll(self._compute_timeout_s())
            self._now_s = self._clock.read().monotonic_s
            if result.caller_closed:
                raise CallerDeparted
            chunk = b''
            if result.answer_readable:
                chunk = self._read_answer(is_readable=True)
            if result.has_messages:
                chunk += self._handle_messages()
            if chunk:
                self.relayed = True
                yield chunk
            self._check_time_limits()

    def assemble_answer(self) -> bytes:
        """Return the complete answer to a call that is not streamed."""
        return assemble_completion(self.events, 'chat' in self.call.target_path)

    def close(self) -> None:
        """Close the open connection and those that are still being opened."""
        self._close_connection()
        for message in self._mailbox.close():
            if isinstance(message, StreamOpened | ForwardOpened):
                message.connection.close()

    def _compute_timeout_s(self) -> float:
        wake_s = self.call.profile.deadline_s + DEADLINE_MARGIN_S
        if self.attempt is not None and not self._answer_complete:
            wake_s = min(wake_s, self._last_activity_s + self.silence_s)
        if self._broken_report_due_s is not None:
            wake_s = min(wake_s, self._broken_report_due_s)
        return wake_s - self._now_s

    def _check_time_limits(self) -> None:
        self._report_broken_when_due()
        now_s = self._now_s
        if now_s >= self.call.profile.deadline_s + DEADLINE_MARGIN_S:
            self.refusal = self.refusal or Refusal(
                RefusalCode.DEADLINE_PASSED,
                Verdict.MAY_HAVE_RUN,
                'The request did not finish before its deadline.',
            )
        elif now_s >= self._last_activity_s + self.silence_s:
            if self.attempt is not None and not self._answer_complete:
                self._last_activity_s = now_s
                self._report_silence(self.attempt)

    def _report_silence(self, attempt: AttemptId) -> None:
        # Only the stream of a model call can be queried and resumed.
        if self.call.profile.model:
            self._sender.report(AttemptSilent(attempt, self.next_offset))

    def _handle_messages(self) -> bytes:
        return b''.join(
            self._handle_message(message)
            for message in self._mailbox.take_all()
        )

    def _handle_message(self, message: CallMessage) -> bytes:
        match message:
            case StreamOpened():
                return self._handle_stream_opened(message)
            case AttemptFailed():
                self._handle_attempt_failed(message)
            case ForwardOpened():
                return self._handle_forward_opened(message)
            case ForwardFailed(_, delivered):
                self._report_forward_ended(delivered, finished=False)
            case PlainAnswerReceived():
                self._handle_plain_answer(message)
            case _:
                self._apply_effect(message)
        return b''

    def _apply_effect(self, message: CallMessage) -> None:
        match message:
            case Dispatch():
                self._send_attempt(message)
            case ResumeStream():
                self._resume_stream(message)
            case RunGroupStep():
                self._run_group_step(message)
            case ForwardCall():
                self._forward_call(message)
            case RefuseCall(_, refusal):
                self.refusal = refusal
                self.core_ended = True
            case FinishCall():
                self.finished = True
                self.core_ended = True
            case CancelAttempt():
                self.attempt = None
                self._close_connection()

    def _send_attempt(self, dispatch: Dispatch) -> None:
        self._close_connection()
        self.attempt = dispatch.attempt
        if self.relayed:
            # The caller would receive parts of two different answers.
            self.refusal = refuse_incomplete()
            return
        self.next_offset = 0
        self._answer_complete = False
        self._broken_report_due_s = None
        self._last_event = None
        self.events.clear()
        self._last_activity_s = self._now_s
        self.times.record_sent(dispatch, self._last_activity_s)
        model = self.call.profile.model
        sender = self._sender
        connection = (
            sender.make_engine_connection()
            if model
            else sender.make_plain_service_connection()
        )
        self._connection = AnswerConnection(connection)
        self._executor.submit(
            sender.send_to_engine if model else sender.send_to_plain_service,
            dispatch,
            self.outgoing_call,
            connection,
            self._mailbox,
        )

    def _resume_stream(self, resume: ResumeStream) -> None:
        if resume.attempt != self.attempt or self._answer_complete:
            return
        self._close_connection()
        self._last_activity_s = self._now_s
        self._connection = AnswerConnection(
            self._sender.make_engine_connection()
        )
        self._executor.submit(
            self._sender.resume_on_engine,
            resume,
            self.call.profile.deadline_s,
            self._connection.target_connection,
            self._mailbox,
        )

    def _run_group_step(self, step: RunGroupStep) -> None:
        segment = b''
        if step.step == 'prefill':
            start_byte = int(step.first_token * self.call.bytes_per_token)
            size_bytes = int(step.tokens * self.call.bytes_per_token)
            segment = self.call.prompt[start_byte : start_byte + size_bytes]
        self._executor.submit(
            self._sender.run_group_step,
            step,
            segment,
            self.call.profile.deadline_s,
        )

    def _forward_call(self, forward: ForwardCall) -> None:
        self.times.record_forwarded(forward.owner, self._now_s)
        connection = self._sender.make_forward_connection()
        self._connection = AnswerConnection(connection)
        self._executor.submit(
            self._sender.forward,
            forward,
            self.forwarded_request,
            connection,
            self._mailbox,
        )

    def _close_connection(self) -> None:
        connection = self._connection
        self._connection = None
        if connection is not None:
            self._poller.unwatch_answer()
            connection.close()

    def _handle_broken_connection(self) -> None:
        self._close_connection()
        # The report is delayed, so that a target that closes each connection
        # before the first event is not queried in a tight loop.
        delay_s = BACKOFF_STEP_S * self._consecutive_breaks
        self._consecutive_breaks += 1
        self._broken_report_due_s = self._now_s + min(
            delay_s, MAXIMUM_BACKOFF_S
        )
        self._report_broken_when_due()

    def _report_broken_when_due(self) -> None:
        due_s = self._broken_report_due_s
        if due_s is not None and due_s <= self._now_s:
            self._broken_report_due_s = None
            self._report_ended(AttemptOutcome.BROKEN)

    def _handle_attempt_failed(self, failed: AttemptFailed) -> None:
        if (
            self._connection is None
            or self._connection.target_connection is not failed.connection
        ):
            return
        if failed.outcome is AttemptOutcome.BROKEN:
            self._handle_broken_connection()
            return
        self._close_connection()
        self._report_ended(failed.outcome, failed.retry_after_s)

    def _handle_stream_opened(self, opened: StreamOpened) -> bytes:
        connection = self._connection
        if (
            connection is None
            or connection.target_connection is not opened.connection
        ):
            opened.connection.close()
            return b''
        connection.stream = opened.stream
        try:
            self._poller.watch_answer(opened.stream)
        except TargetBroke:
            self._handle_broken_connection()
            return b''
        return self._read_answer(is_readable=False)

    def _read_answer(self, is_readable: bool) -> bytes:
        connection = self._connection
        if connection is not None and connection.body is not None:
            return self._read_forwarded_answer(connection.body, is_readable)
        if connection is None or connection.stream is None:
            return b''
        try:
            events = connection.stream.read_available(is_readable)
        except TargetBroke:
            self._handle_broken_connection()
            return b''
        try:
            return b''.join(self._process_event(event) for event in events)
        except TargetBroke:
            self._handle_broken_connection()
            return b''

    def _process_event(self, event: StreamEvent) -> bytes:
        attempt = self.attempt
        if attempt is None or self._answer_complete or self._connection is None:
            return b''
        if event.stream_id != str(attempt):
            self._close_connection()
            self._report_ended(AttemptOutcome.MISMATCHED)
            return b''
        if event.offset < self.next_offset:
            # A resumed stream may repeat events that were already received.
            return b''
        if event.offset > self.next_offset:
            self._handle_broken_connection()
            return b''
        return self._accept_event(attempt, event)

    def _accept_event(self, attempt: AttemptId, event: StreamEvent) -> bytes:
        """Count an event as received, and keep it or return it for the caller.

        :raises TargetBroke: the answer was given up, so that the event cannot
            be kept; it has to come again.
        """
        is_kept = not (self.call.streamed or event.is_finish_marker)
        if is_kept and self._connection is not None:
            self._connection.target_connection.hold(len(event.data))
        self._last_activity_s = self._now_s
        if self.next_offset == 0:
            accepted = AttemptAccepted(attempt, StreamId(event.stream_id))
            self._sender.report(accepted)
            self._sender.report(FirstTokenSeen(attempt))
        self.next_offset += 1
        self._consecutive_breaks = 0
        self.times.record_event(self._last_activity_s)
        if event.is_finish_marker:
            self._answer_complete = True
            self._close_connection()
            self._report_ended(AttemptOutcome.FINISHED)
            return b''
        self._last_event = event
        if is_kept:
            self.events.append(event)
            return b''
        return encode_data(event.data)

    def _handle_plain_answer(self, received: PlainAnswerReceived) -> None:
        if received.attempt != self.attempt or self._answer_complete:
            return
        self._answer_complete = True
        self.plain_answer = received.answer
        self._report_ended(AttemptOutcome.FINISHED)

    def _handle_forward_opened(self, opened: ForwardOpened) -> bytes:
        connection = self._connection
        if (
            connection is None
            or connection.target_connection is not opened.connection
        ):
            opened.connection.close()
            return b''
        self.forwarded_answer = opened
        connection.body = opened.body
        try:
            self._poller.watch_answer(opened.body)
        except TargetBroke:
            # The socket is already closed; the read reports the end of the
            # answer or a break.
            return self._read_answer(is_readable=True)
        return self._read_answer(is_readable=False)

    def _read_forwarded_answer(
        self, body: ResponseBody, is_readable: bool
    ) -> bytes:
        try:
            chunk = body.read_available(is_readable)
        except TargetBroke:
            self._close_connection()
            self._report_forward_ended(delivered=True, finished=False)
            return b''
        if body.ended:
            self._close_connection()
            self._report_forward_ended(delivered=True, finished=True)
        return chunk

    def _report_forward_ended(self, delivered: bool, finished: bool) -> None:
        request_id = self.call.profile.request_id
        self._sender.report(ForwardEnded(request_id, delivered, finished))

    def _report_ended(
        self,
        outcome: AttemptOutcome,
        retry_after_s: float | None = None,
    ) -> None:
        attempt = self.attempt
        if attempt is None:
            return
        if outcome is not AttemptOutcome.BROKEN:
            # Only a broken stream may be resumed; other outcomes are final.
            self.attempt = None
        usage = Usage()
        if outcome is AttemptOutcome.FINISHED and self._last_event is not None:
            usage = parse_usage(self._last_event)
        self.times.usage_prompt_tokens = usage.prompt_tokens
        self._sender.report(
            AttemptEnded(
                attempt,
                outcome,
                relayed=self.next_offset if self.relayed else 0,
                prompt_tokens=usage.prompt_tokens,
                output_tokens=usage.output_tokens or self.next_offset,
                retry_after_s=retry_after_s,
            ),
        )


def refuse_incomplete() -> Refusal:
    """Return the refusal of a call whose partial answer cannot be resumed."""
    return Refusal(
        RefusalCode.ANSWER_INCOMPLETE,
        Verdict.MAY_HAVE_RUN,
        'The answer was interrupted and cannot be resumed; '
        'send the request again if it is safe to repeat.',
    )


def parse_usage(event: StreamEvent) -> Usage:
    """Return the token counts in the last event of an answer.

    :return: zeros if the event has none or they are malformed.
    """
    if '"usage"' not in event.data:
        return Usage()
    try:
        fields = json.loads(event.data)['usage']
        return Usage(
            int(fields['prompt_tokens']),
            int(fields['completion_tokens']),
        )
    except (ValueError, KeyError, TypeError):
        return Usage()
