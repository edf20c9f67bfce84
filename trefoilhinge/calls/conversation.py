"""Carries one caller's call from its decisions to its answer."""

import queue
from collections.abc import Callable, Iterator
from concurrent.futures import Executor

from attrs import define, field

from trefoilhinge.calls.answers import join_chunks
from trefoilhinge.calls.mailboxes import AnswerPart, AnswerWhole, Mail
from trefoilhinge.calls.profiles import UnderstoodCall
from trefoilhinge.calls.relay import AnswerReader
from trefoilhinge.core.clocks import Clock
from trefoilhinge.core.effects import (
    CancelAttempt,
    Dispatch,
    FinishCall,
    RefuseCall,
    ResumeStream,
)
from trefoilhinge.core.events import (
    AttemptEnded,
    AttemptOutcome,
    AttemptSilent,
    Event,
)
from trefoilhinge.core.identifiers import AttemptId
from trefoilhinge.core.lines import StreamEvent, write_data
from trefoilhinge.core.verdicts import (
    Refusal,
    RefusalCode,
    Verdict,
)
from trefoilhinge.platform.interfaces import OutgoingCall, PlainAnswer

# The core answers at the deadline; this margin covers a core that does not.
ANSWER_MARGIN_S = 5.0


@define
class Conversation:
    """State of one call at the thread that serves its caller.

    :ivar attempt: attempt whose events are taken; others are dropped.
    :ivar taken: events taken of the present attempt, the next offset.
    :ivar events: events kept for a whole answer.
    """

    call: UnderstoodCall
    outgoing: OutgoingCall
    silence_s: float
    _box: 'queue.SimpleQueue[Mail]'
    _reader: AnswerReader
    _executor: Executor
    _clock: Clock
    _report: Callable[[Event], None]
    attempt: AttemptId | None = None
    taken: int = 0
    events: list[StreamEvent] = field(factory=list)
    plain: PlainAnswer | None = None
    refusal: Refusal | None = None
    finished: bool = False
    _ending: bool = False

    def read_pieces(self) -> Iterator[bytes]:
        """Yield pieces of the answer as they may be passed on.

        After the last piece either ``finished`` is true or ``refusal`` is
        set.
        """
        while not self.finished and self.refusal is None:
            mail = self._take_mail()
            if mail is None:
                continue
            yield from self._take(mail)

    def join_answer(self) -> bytes:
        """Return the whole answer of a call that is not streamed."""
        return join_chunks(self.events, 'chat' in self.call.target_path)

    def _take_mail(self) -> Mail | None:
        now_s = self._clock.read().monotonic_s
        left_s = self.call.profile.deadline_s + ANSWER_MARGIN_S - now_s
        if left_s <= 0:
            self.refusal = Refusal(
                RefusalCode.DEADLINE_PASSED,
                Verdict.MAY_HAVE_RUN,
                'The request did not end within its time.',
            )
            return None
        try:
            return self._box.get(timeout=min(left_s, self.silence_s))
        except queue.Empty:
            if self.attempt is not None and not self._ending:
                self._report(AttemptSilent(self.attempt, self.taken))
            return None

    def _take(self, mail: Mail) -> Iterator[bytes]:
        match mail:
            case Dispatch():
                self._send(mail)
            case ResumeStream():
                self._executor.submit(
                    self._reader.resume_model,
                    mail,
                    self.call.profile.deadline_s,
                )
            case AnswerPart():
                yield from self._take_part(mail)
            case AnswerWhole():
                self._take_whole(mail)
            case RefuseCall(_, refusal):
                self.refusal = refusal
            case FinishCall():
                self.finished = True
            case CancelAttempt():
                self.attempt = None

    def _send(self, dispatch: Dispatch) -> None:
        self.attempt = dispatch.attempt
        self.taken = 0
        self.events.clear()
        send = self._reader.send_plain
        if self.call.profile.model:
            send = self._reader.send_model
        self._executor.submit(send, dispatch, self.outgoing)

    def _take_part(self, part: AnswerPart) -> Iterator[bytes]:
        if part.attempt != self.attempt or self._ending:
            return
        if not part.events:
            self._end(AttemptOutcome.BROKEN)
            return
        for event in part.events:
            if event.offset < self.taken:
                # A resumed stream may repeat what was taken already.
                continue
            if event.offset > self.taken:
                self._end(AttemptOutcome.BROKEN)
                return
            self.taken += 1
            if event.is_finish_marker:
                self._ending = True
                self._end(AttemptOutcome.FINISHED)
                return
            if self.call.streamed:
                yield write_data(event.data)
            else:
                self.events.append(event)

    def _take_whole(self, whole: AnswerWhole) -> None:
        if whole.attempt != self.attempt:
            return
        self._ending = True
        self.plain = whole.answer
        self._end(AttemptOutcome.FINISHED)

    def _end(self, outcome: AttemptOutcome) -> None:
        if self.attempt is None:
            return
        relayed = self.taken if self.call.streamed else 0
        self._report(
            AttemptEnded(
                self.attempt,
                outcome,
                relayed=relayed,
                output_tokens=self.taken,
            ),
        )
