"""Opens the answers of targets, each in a thread that may block.

Only the opening is done here; the thread that serves the caller reads what
was opened.
"""

from collections.abc import Callable

from attrs import define

from trefoilhinge.calls.forward_client import ForwardClient, ForwardedRequest
from trefoilhinge.calls.mailboxes import (
    AnswerWhole,
    ForwardFailed,
    ForwardOpened,
    Mailbox,
    OpeningFailed,
    StreamOpened,
)
from trefoilhinge.core.clocks import Clock
from trefoilhinge.core.effects import (
    Dispatch,
    ForwardCall,
    ResumeStream,
    RunGroupStep,
)
from trefoilhinge.core.events import (
    AttemptOutcome,
    Event,
    GroupStepEnded,
)
from trefoilhinge.targets.failures import (
    TargetBroke,
    TargetErrored,
    TargetNotReached,
    TargetRefused,
)
from trefoilhinge.targets.interfaces import (
    EngineClient,
    OutgoingCall,
    PlainClient,
)
from trefoilhinge.targets.links import Link

Report = Callable[[Event], None]
FAILURES = (TargetRefused, TargetNotReached, TargetErrored, TargetBroke)


@define
class AnswerOpener:
    """Carries out sends and resumptions and reports how each failed.

    :ivar report: takes events for the core.
    """

    _engines: EngineClient
    _plain: PlainClient
    _forwards: ForwardClient
    _clock: Clock
    report: Report

    def make_forward_link(self) -> Link:
        """Return a connection to a peer that is not open yet."""
        return self._forwards.make_link()

    def make_model_link(self) -> Link:
        """Return a connection to an engine that is not open yet."""
        return self._engines.make_link()

    def make_plain_link(self) -> Link:
        """Return a connection to a plain service that is not open yet."""
        return self._plain.make_link()

    def send_model(
        self,
        dispatch: Dispatch,
        call: OutgoingCall,
        link: Link,
        box: Mailbox,
    ) -> None:
        """Send a call to an engine and hand its stream to the box."""
        now = self._clock.read()
        if dispatch.is_late(now):
            box.put(OpeningFailed(link, AttemptOutcome.LEASE_LOST))
            return
        remaining_s = dispatch.deadline_s - now.monotonic_s
        try:
            stream = self._engines.open_stream(
                dispatch,
                call,
                remaining_s,
                link,
            )
        except FAILURES as failure:
            box.put(_describe_failure(link, failure))
        else:
            _hand_over(StreamOpened(link, stream), box)

    def resume_model(
        self,
        resume: ResumeStream,
        deadline_s: float,
        link: Link,
        box: Mailbox,
    ) -> None:
        """Take a stream up from an offset and hand it to the box."""
        remaining_s = deadline_s - self._clock.read().monotonic_s
        try:
            stream = self._engines.resume_stream(resume, remaining_s, link)
        except FAILURES:
            # The call itself was sent before: this proves nothing of it.
            box.put(OpeningFailed(link, AttemptOutcome.BROKEN))
        else:
            _hand_over(StreamOpened(link, stream), box)

    def send_plain(
        self,
        dispatch: Dispatch,
        call: OutgoingCall,
        link: Link,
        box: Mailbox,
    ) -> None:
        """Send a call to a plain service and hand its answer to the box."""
        now = self._clock.read()
        if dispatch.is_late(now):
            box.put(OpeningFailed(link, AttemptOutcome.LEASE_LOST))
            return
        remaining_s = dispatch.deadline_s - now.monotonic_s
        try:
            answer = self._plain.call(dispatch, call, remaining_s, link)
        except FAILURES as failure:
            box.put(_describe_failure(link, failure))
        else:
            box.put(AnswerWhole(dispatch.attempt, answer))

    def forward(
        self,
        forward: ForwardCall,
        request: ForwardedRequest,
        link: Link,
        box: Mailbox,
    ) -> None:
        """Pass a call to the owner of its key and hand its answer over."""
        remaining_s = forward.deadline_s - self._clock.read().monotonic_s
        try:
            opened = self._forwards.send(forward, request, remaining_s, link)
        except TargetNotReached:
            box.put(ForwardFailed(link, delivered=False))
        except TargetBroke:
            box.put(ForwardFailed(link, delivered=True))
        else:
            _hand_over(opened, box)

    def run_group_step(
        self,
        step: RunGroupStep,
        segment: bytes,
        deadline_s: float,
    ) -> None:
        """Carry out a step of a group and report how it ended."""
        remaining_s = deadline_s - self._clock.read().monotonic_s
        if remaining_s <= 0:
            self.report(_fail_step(step))
            return
        self.report(self._engines.run_group_step(step, segment, remaining_s))


def _describe_failure(link: Link, failure: Exception) -> OpeningFailed:
    match failure:
        case TargetRefused():
            wait_s = failure.retry_after_s
            return OpeningFailed(link, AttemptOutcome.REFUSED, wait_s)
        case TargetNotReached():
            return OpeningFailed(link, AttemptOutcome.NOT_SENT)
        case TargetErrored():
            return OpeningFailed(link, AttemptOutcome.ERRORED)
        case _:
            return OpeningFailed(link, AttemptOutcome.BROKEN)


def _hand_over(opened: StreamOpened | ForwardOpened, box: Mailbox) -> None:
    if not box.put(opened):
        opened.link.close()


def _fail_step(step: RunGroupStep) -> GroupStepEnded:
    return GroupStepEnded(
        step.attempt,
        step.target,
        step.tag,
        step.step,
        succeeded=False,
    )
