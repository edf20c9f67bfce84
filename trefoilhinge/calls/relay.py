"""Carries one caller's call from its decisions to its answer.

One thread serves a caller. It waits on the caller's connection, on the mail
of the core and on the one answer that is open, so that no token changes
threads, a departure is seen at once, and events of an answer that was given
up are never read.
"""

import errno
import json
from collections.abc import Iterator
from concurrent.futures import Executor

from attrs import define, field

from trefoilhinge.calls.answer_connection import Leg
from trefoilhinge.calls.answers import join_chunks
from trefoilhinge.calls.attempt_sender import AnswerOpener
from trefoilhinge.calls.call_parsing import UnderstoodCall
from trefoilhinge.calls.call_telemetry import CallTimes
from trefoilhinge.calls.caller_connection import CallerConnection
from trefoilhinge.calls.forward_client import ForwardedRequest
from trefoilhinge.calls.mailboxes import (
    AnswerWhole,
    ForwardFailed,
    ForwardOpened,
    Mail,
    Mailbox,
    OpeningFailed,
    StreamOpened,
)
from trefoilhinge.calls.poller import Waiter
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
from trefoilhinge.core.lines import StreamEvent, write_data
from trefoilhinge.core.verdicts import Refusal, RefusalCode, Verdict
from trefoilhinge.targets.failures import TargetBroke
from trefoilhinge.targets.interfaces import OutgoingCall, PlainAnswer
from trefoilhinge.targets.streams import ResponseBytes

# The core answers at the deadline; this margin covers a core that does not.
ANSWER_MARGIN_S = 0.5
FIRST_DELAY_S = 0.1
MAXIMUM_DELAY_S = 1.0


class CallerDeparted(ConnectionResetError):
    """The caller closed its connection before its answer was whole."""

    def __init__(self) -> None:
        """Name the error that servers know as a lost connection."""
        super().__init__(errno.ECONNRESET, 'the caller closed its connection')


@define(eq=False)
class Usage:
    """Tokens that a target counted, zero where it did not say."""

    prompt_tokens: int = 0
    output_tokens: int = 0


@define(eq=False)
class Conversation:
    """State of one call at the thread that serves its caller.

    :ivar attempt: attempt whose events are taken; others are dropped.
    :ivar taken: events taken of the present attempt, the next offset.
    :ivar relayed: whether any part of the answer was passed on.
    :ivar events: events kept for a whole answer.
    :ivar forwarded: the answer of the instance that owns the call's key.
    :ivar released: whether the core has ended the call.
    """

    call: UnderstoodCall
    outgoing: OutgoingCall
    request: ForwardedRequest
    silence_s: float
    times: CallTimes
    _box: Mailbox
    _caller: CallerConnection
    _opener: AnswerOpener
    _executor: Executor
    _clock: Clock
    attempt: AttemptId | None = None
    taken: int = 0
    relayed: bool = False
    events: list[StreamEvent] = field(factory=list)
    plain: PlainAnswer | None = None
    forwarded: ForwardOpened | None = None
    refusal: Refusal | None = None
    finished: bool = False
    released: bool = False
    _waiter: Waiter = field(init=False)
    _leg: Leg | None = None
    _last: StreamEvent | None = None
    _ending: bool = False
    # The clock is read once for each wait, not for each event.
    _now_s: float = field(init=False)
    _heard_s: float = 0
    _broken_due_s: float | None = None
    _fruitless: int = 0

    def __attrs_post_init__(self) -> None:
        """Prepare to wait."""
        self._now_s = self._clock.read().monotonic_s
        self._waiter = Waiter(self._caller, self._box)

    def read_pieces(self) -> Iterator[bytes]:
        """Yield pieces of the answer as they may be passed on.

        After the last piece either ``finished`` is true or ``refusal`` is
        set.

        :raises CallerDeparted: the caller closed its connection.
        """
        while not self.finished and self.refusal is None:
            signals = self._waiter.wait(self._count_wait_s())
            self._now_s = self._clock.read().monotonic_s
            if signals.departed:
                raise CallerDeparted
            piece = b''
            if signals.answer:
                piece = self._read(signalled=True)
            if signals.mail:
                piece += self._take_mails()
            if piece:
                self.relayed = True
                yield piece
            self._check_time()

    def join_answer(self) -> bytes:
        """Return the whole answer of a call that is not streamed."""
        return join_chunks(self.events, 'chat' in self.call.target_path)

    def close(self) -> None:
        """Break whatever is open; what is still being opened is broken too."""
        self._drop_leg()
        for mail in self._box.close():
            if isinstance(mail, StreamOpened | ForwardOpened):
                mail.link.close()

    def _count_wait_s(self) -> float:
        until_s = self.call.profile.deadline_s + ANSWER_MARGIN_S
        if self.attempt is not None and not self._ending:
            until_s = min(until_s, self._heard_s + self.silence_s)
        if self._broken_due_s is not None:
            until_s = min(until_s, self._broken_due_s)
        return until_s - self._now_s

    def _check_time(self) -> None:
        self._report_broken()
        now_s = self._now_s
        if now_s >= self.call.profile.deadline_s + ANSWER_MARGIN_S:
            self.refusal = self.refusal or Refusal(
                RefusalCode.DEADLINE_PASSED,
                Verdict.MAY_HAVE_RUN,
                'The request did not end within its time.',
            )
        elif now_s >= self._heard_s + self.silence_s:
            if self.attempt is not None and not self._ending:
                self._heard_s = now_s
                self._report_silence(self.attempt)

    def _report_silence(self, attempt: AttemptId) -> None:
        if self.call.profile.model:
            self._opener.report(AttemptSilent(attempt, self.taken))

    def _take_mails(self) -> bytes:
        return b''.join(self._take(mail) for mail in self._box.take_all())

    def _take(self, mail: Mail) -> bytes:
        match mail:
            case StreamOpened():
                return self._take_stream(mail)
            case OpeningFailed():
                self._take_failure(mail)
            case ForwardOpened():
                return self._take_forward(mail)
            case ForwardFailed(_, delivered):
                self._end_forward(delivered, finished=False)
            case AnswerWhole():
                self._take_whole(mail)
            case _:
                self._obey(mail)
        return b''

    def _obey(self, mail: Mail) -> None:
        match mail:
            case Dispatch():
                self._send(mail)
            case ResumeStream():
                self._resume(mail)
            case RunGroupStep():
                self._run_step(mail)
            case ForwardCall():
                self._forward(mail)
            case RefuseCall(_, refusal):
                self.refusal = refusal
                self.released = True
            case FinishCall():
                self.finished = True
                self.released = True
            case CancelAttempt():
                self.attempt = None
                self._drop_leg()

    def _send(self, dispatch: Dispatch) -> None:
        self._drop_leg()
        self.attempt = dispatch.attempt
        if self.relayed:
            # A second answer would be mixed into the first.
            self.refusal = refuse_incomplete()
            return
        self.taken = 0
        self._ending = False
        self._broken_due_s = None
        self._last = None
        self.events.clear()
        self._heard_s = self._now_s
        self.times.note_sent(dispatch, self._heard_s)
        model = self.call.profile.model
        opener = self._opener
        link = opener.make_model_link() if model else opener.make_plain_link()
        self._leg = Leg(link)
        self._executor.submit(
            opener.send_model if model else opener.send_plain,
            dispatch,
            self.outgoing,
            link,
            self._box,
        )

    def _resume(self, resume: ResumeStream) -> None:
        if resume.attempt != self.attempt or self._ending:
            return
        self._drop_leg()
        self._heard_s = self._now_s
        self._leg = Leg(self._opener.make_model_link())
        self._executor.submit(
            self._opener.resume_model,
            resume,
            self.call.profile.deadline_s,
            self._leg.link,
            self._box,
        )

    def _run_step(self, step: RunGroupStep) -> None:
        segment = b''
        if step.step == 'prefill':
            first = int(step.first_token * self.call.bytes_per_token)
            size = int(step.tokens * self.call.bytes_per_token)
            segment = self.call.prompt[first : first + size]
        self._executor.submit(
            self._opener.run_group_step,
            step,
            segment,
            self.call.profile.deadline_s,
        )

    def _forward(self, forward: ForwardCall) -> None:
        self.times.note_forwarded(forward.owner, self._now_s)
        link = self._opener.make_forward_link()
        self._leg = Leg(link)
        self._executor.submit(
            self._opener.forward,
            forward,
            self.request,
            link,
            self._box,
        )

    def _drop_leg(self) -> None:
        leg = self._leg
        self._leg = None
        if leg is not None:
            self._waiter.forget()
            leg.close()

    def _break_leg(self) -> None:
        self._drop_leg()
        # A target that breaks each connection before any event is not asked
        # in a tight loop.
        delay_s = FIRST_DELAY_S * self._fruitless
        self._fruitless += 1
        self._broken_due_s = self._now_s + min(delay_s, MAXIMUM_DELAY_S)
        self._report_broken()

    def _report_broken(self) -> None:
        due_s = self._broken_due_s
        if due_s is not None and due_s <= self._now_s:
            self._broken_due_s = None
            self._end(AttemptOutcome.BROKEN)

    def _take_failure(self, failed: OpeningFailed) -> None:
        if self._leg is None or self._leg.link is not failed.link:
            return
        if failed.outcome is AttemptOutcome.BROKEN:
            self._break_leg()
            return
        self._drop_leg()
        self._end(failed.outcome, failed.retry_after_s)

    def _take_stream(self, opened: StreamOpened) -> bytes:
        leg = self._leg
        if leg is None or leg.link is not opened.link:
            opened.link.close()
            return b''
        leg.stream = opened.stream
        try:
            self._waiter.watch(opened.stream)
        except TargetBroke:
            self._break_leg()
            return b''
        return self._read(signalled=False)

    def _read(self, signalled: bool) -> bytes:
        leg = self._leg
        if leg is not None and leg.body is not None:
            return self._read_forward(leg.body, signalled)
        if leg is None or leg.stream is None:
            return b''
        try:
            events = leg.stream.read_ready(signalled)
        except TargetBroke:
            self._break_leg()
            return b''
        pieces = [self._take_event(event) for event in events]
        return b''.join(pieces)

    def _take_event(self, event: StreamEvent) -> bytes:
        attempt = self.attempt
        if attempt is None or self._ending or self._leg is None:
            return b''
        if event.stream_id != str(attempt):
            self._drop_leg()
            self._end(AttemptOutcome.MISMATCHED)
            return b''
        if event.offset < self.taken:
            # A resumed stream may repeat what was taken already.
            return b''
        if event.offset > self.taken:
            self._break_leg()
            return b''
        return self._accept(attempt, event)

    def _accept(self, attempt: AttemptId, event: StreamEvent) -> bytes:
        self._heard_s = self._now_s
        if self.taken == 0:
            accepted = AttemptAccepted(attempt, StreamId(event.stream_id))
            self._opener.report(accepted)
            self._opener.report(FirstTokenSeen(attempt))
        self.taken += 1
        self._fruitless = 0
        self.times.note_event(self._heard_s)
        if event.is_finish_marker:
            self._ending = True
            self._drop_leg()
            self._end(AttemptOutcome.FINISHED)
            return b''
        self._last = event
        if self.call.streamed:
            return write_data(event.data)
        self.events.append(event)
        return b''

    def _take_whole(self, whole: AnswerWhole) -> None:
        if whole.attempt != self.attempt or self._ending:
            return
        self._ending = True
        self.plain = whole.answer
        self._end(AttemptOutcome.FINISHED)

    def _take_forward(self, opened: ForwardOpened) -> bytes:
        leg = self._leg
        if leg is None or leg.link is not opened.link:
            opened.link.close()
            return b''
        self.forwarded = opened
        leg.body = opened.body
        try:
            self._waiter.watch(opened.body)
        except TargetBroke:
            return self._read(signalled=True)
        return self._read(signalled=False)

    def _read_forward(self, body: ResponseBytes, signalled: bool) -> bytes:
        try:
            piece = body.read_ready(signalled)
        except TargetBroke:
            self._drop_leg()
            self._end_forward(delivered=True, finished=False)
            return b''
        if body.ended:
            self._drop_leg()
            self._end_forward(delivered=True, finished=True)
        return piece

    def _end_forward(self, delivered: bool, finished: bool) -> None:
        request_id = self.call.profile.request_id
        self._opener.report(ForwardEnded(request_id, delivered, finished))

    def _end(
        self,
        outcome: AttemptOutcome,
        retry_after_s: float | None = None,
    ) -> None:
        attempt = self.attempt
        if attempt is None:
            return
        if outcome is not AttemptOutcome.BROKEN:
            # A broken stream may be taken up again; all else is final.
            self.attempt = None
        usage = Usage()
        if outcome is AttemptOutcome.FINISHED and self._last is not None:
            usage = read_usage(self._last)
        self.times.usage_prompt_tokens = usage.prompt_tokens
        self._opener.report(
            AttemptEnded(
                attempt,
                outcome,
                relayed=self.taken if self.relayed else 0,
                prompt_tokens=usage.prompt_tokens,
                output_tokens=usage.output_tokens or self.taken,
                retry_after_s=retry_after_s,
            ),
        )


def refuse_incomplete() -> Refusal:
    """Return the refusal of a call whose answer was cut for good."""
    return Refusal(
        RefusalCode.ANSWER_INCOMPLETE,
        Verdict.MAY_HAVE_RUN,
        'The answer was cut before its end and cannot be taken up again; '
        'send the request again if it may be repeated.',
    )


def read_usage(event: StreamEvent) -> Usage:
    """Return the tokens that the last event of an answer counts."""
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
