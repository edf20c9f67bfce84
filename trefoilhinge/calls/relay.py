"""Reads the answers of targets, each in a thread that may block."""

from collections.abc import Callable, Iterator

from attrs import define

from trefoilhinge.calls.mailboxes import AnswerPart, AnswerWhole, Mailboxes
from trefoilhinge.core.clocks import Clock, Instant
from trefoilhinge.core.effects import Dispatch, ResumeStream
from trefoilhinge.core.events import (
    AttemptAccepted,
    AttemptEnded,
    AttemptOutcome,
    Event,
    FirstTokenSeen,
)
from trefoilhinge.core.identifiers import AttemptId, StreamId
from trefoilhinge.core.lines import StreamEvent
from trefoilhinge.platform.interfaces import (
    EngineClient,
    OutgoingCall,
    PlainClient,
    TargetBroke,
    TargetErrored,
    TargetNotReached,
    TargetRefused,
)

Report = Callable[[Event], None]


@define
class AnswerReader:
    """Carries out sends and resumptions and reports how each ended."""

    _engines: EngineClient
    _plain: PlainClient
    _mailboxes: Mailboxes
    _clock: Clock
    _report: Report

    def send_model(self, dispatch: Dispatch, call: OutgoingCall) -> None:
        """Send a call to an engine and read its stream to the end."""
        now = self._clock.read()
        if is_lease_lost(dispatch, now):
            self._end(dispatch.attempt, AttemptOutcome.LEASE_LOST)
            return
        remaining_s = dispatch.deadline_s - now.monotonic_s
        events = self._engines.open_stream(dispatch, call, remaining_s)
        self._read(dispatch.attempt, events, 0)

    def resume_model(self, resume: ResumeStream, deadline_s: float) -> None:
        """Read a stream on from an offset."""
        remaining_s = deadline_s - self._clock.read().monotonic_s
        if remaining_s <= 0:
            return
        events = self._engines.resume_stream(resume, remaining_s)
        self._read(resume.attempt, events, resume.offset)

    def send_plain(self, dispatch: Dispatch, call: OutgoingCall) -> None:
        """Send a call to a plain service and read its answer."""
        now = self._clock.read()
        if is_lease_lost(dispatch, now):
            self._end(dispatch.attempt, AttemptOutcome.LEASE_LOST)
            return
        remaining_s = dispatch.deadline_s - now.monotonic_s
        try:
            answer = self._plain.call(dispatch, call, remaining_s)
        except TargetRefused as refused:
            self._end(
                dispatch.attempt,
                AttemptOutcome.REFUSED,
                retry_after_s=refused.retry_after_s,
            )
        except TargetNotReached:
            self._end(dispatch.attempt, AttemptOutcome.NOT_SENT)
        except TargetBroke:
            self._end(dispatch.attempt, AttemptOutcome.BROKEN)
        else:
            self._mailboxes.put(
                dispatch.attempt.request_id,
                AnswerWhole(dispatch.attempt, answer),
            )

    def _read(
        self,
        attempt: AttemptId,
        events: Iterator[StreamEvent],
        offset: int,
    ) -> None:
        try:
            self._relay_or_fail(attempt, events, offset)
        except TargetRefused as refused:
            self._end(
                attempt,
                AttemptOutcome.REFUSED,
                retry_after_s=refused.retry_after_s,
            )
        except TargetNotReached:
            self._end(attempt, AttemptOutcome.NOT_SENT)
        except TargetBroke:
            self._mailboxes.put(
                attempt.request_id,
                AnswerPart(attempt, ()),
            )

    def _relay_or_fail(
        self,
        attempt: AttemptId,
        events: Iterator[StreamEvent],
        offset: int,
    ) -> None:
        try:
            self._relay(attempt, events, offset)
        except TargetErrored:
            self._end(attempt, AttemptOutcome.ERRORED)

    def _relay(
        self,
        attempt: AttemptId,
        events: Iterator[StreamEvent],
        offset: int,
    ) -> None:
        first = offset == 0
        for event in events:
            if event.stream_id != str(attempt):
                self._end(attempt, AttemptOutcome.MISMATCHED)
                return
            if first:
                first = False
                accepted = AttemptAccepted(attempt, StreamId(event.stream_id))
                self._report(accepted)
                self._report(FirstTokenSeen(attempt))
            part = AnswerPart(attempt, (event,))
            if not self._mailboxes.put(attempt.request_id, part):
                return
            if event.is_finish_marker:
                return
        raise TargetBroke('the stream ended without its finish marker')

    def _end(
        self,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        retry_after_s: float | None = None,
    ) -> None:
        self._report(
            AttemptEnded(attempt, outcome, retry_after_s=retry_after_s),
        )


def is_lease_lost(dispatch: Dispatch, now: Instant) -> bool:
    """Return whether, by either clock, it is too late to send."""
    return (
        now.monotonic_s >= dispatch.lease.monotonic_s
        or now.wall_s >= dispatch.lease.wall_s
        or now.monotonic_s >= dispatch.deadline_s
    )
