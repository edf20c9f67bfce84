"""Opens the answers of targets, each in a thread that may block.

Only the opening is done here; the thread that serves the caller reads what
was opened.
"""

from collections.abc import Callable

from attrs import define

from trefoilhinge.calls.forward_client import ForwardClient, ForwardedRequest
from trefoilhinge.calls.mailboxes import (
    AttemptFailed,
    ForwardFailed,
    ForwardOpened,
    Mailbox,
    PlainAnswerReceived,
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

ReportEvent = Callable[[Event], None]
TARGET_ERRORS = (TargetRefused, TargetNotReached, TargetErrored, TargetBroke)


@define
class AttemptSender:
    """Carries out sends and resumptions and reports how each failed.

    :ivar report: takes events for the core.
    """

    _engine_client: EngineClient
    _plain_client: PlainClient
    _forward_client: ForwardClient
    _clock: Clock
    report: ReportEvent

    def make_forward_link(self) -> Link:
        """Return a connection to a peer that is not open yet."""
        return self._forward_client.make_link()

    def make_engine_link(self) -> Link:
        """Return a connection to an engine that is not open yet."""
        return self._engine_client.make_link()

    def make_plain_service_link(self) -> Link:
        """Return a connection to a plain service that is not open yet."""
        return self._plain_client.make_link()

    def send_to_engine(
        self,
        dispatch: Dispatch,
        call: OutgoingCall,
        link: Link,
        mailbox: Mailbox,
    ) -> None:
        """Send a call to an engine and hand its stream to the box."""
        now = self._clock.read()
        if dispatch.is_late(now):
            mailbox.put(AttemptFailed(link, AttemptOutcome.LEASE_LOST))
            return
        remaining_s = dispatch.deadline_s - now.monotonic_s
        try:
            stream = self._engine_client.open_stream(
                dispatch,
                call,
                remaining_s,
                link,
            )
        except TARGET_ERRORS as error:
            mailbox.put(_convert_error(link, error))
        else:
            _deliver_opened(StreamOpened(link, stream), mailbox)

    def resume_on_engine(
        self,
        resume: ResumeStream,
        deadline_s: float,
        link: Link,
        mailbox: Mailbox,
    ) -> None:
        """Take a stream up from an offset and hand it to the box."""
        remaining_s = deadline_s - self._clock.read().monotonic_s
        try:
            stream = self._engine_client.resume_stream(
                resume, remaining_s, link
            )
        except TARGET_ERRORS:
            # The call itself was sent before: this proves nothing of it.
            mailbox.put(AttemptFailed(link, AttemptOutcome.BROKEN))
        else:
            _deliver_opened(StreamOpened(link, stream), mailbox)

    def send_to_plain_service(
        self,
        dispatch: Dispatch,
        call: OutgoingCall,
        link: Link,
        mailbox: Mailbox,
    ) -> None:
        """Send a call to a plain service and hand its answer to the box."""
        now = self._clock.read()
        if dispatch.is_late(now):
            mailbox.put(AttemptFailed(link, AttemptOutcome.LEASE_LOST))
            return
        remaining_s = dispatch.deadline_s - now.monotonic_s
        try:
            answer = self._plain_client.call(dispatch, call, remaining_s, link)
        except TARGET_ERRORS as error:
            mailbox.put(_convert_error(link, error))
        else:
            mailbox.put(PlainAnswerReceived(dispatch.attempt, answer))

    def forward(
        self,
        forward: ForwardCall,
        request: ForwardedRequest,
        link: Link,
        mailbox: Mailbox,
    ) -> None:
        """Pass a call to the owner of its key and hand its answer over."""
        remaining_s = forward.deadline_s - self._clock.read().monotonic_s
        try:
            opened = self._forward_client.send(
                forward, request, remaining_s, link
            )
        except TargetNotReached:
            mailbox.put(ForwardFailed(link, delivered=False))
        except TargetBroke:
            mailbox.put(ForwardFailed(link, delivered=True))
        else:
            _deliver_opened(opened, mailbox)

    def run_group_step(
        self,
        step: RunGroupStep,
        segment: bytes,
        deadline_s: float,
    ) -> None:
        """Carry out a step of a group and report how it ended."""
        remaining_s = deadline_s - self._clock.read().monotonic_s
        if remaining_s <= 0:
            self.report(_make_failed_step(step))
            return
        self.report(
            self._engine_client.run_group_step(step, segment, remaining_s)
        )


def _convert_error(link: Link, error: Exception) -> AttemptFailed:
    match error:
        case TargetRefused():
            retry_after_s = error.retry_after_s
            return AttemptFailed(link, AttemptOutcome.REFUSED, retry_after_s)
        case TargetNotReached():
            return AttemptFailed(link, AttemptOutcome.NOT_SENT)
        case TargetErrored():
            return AttemptFailed(link, AttemptOutcome.ERRORED)
        case _:
            return AttemptFailed(link, AttemptOutcome.BROKEN)


def _deliver_opened(
    opened: StreamOpened | ForwardOpened, mailbox: Mailbox
) -> None:
    if not mailbox.put(opened):
        opened.link.close()


def _make_failed_step(step: RunGroupStep) -> GroupStepEnded:
    return GroupStepEnded(
        step.attempt,
        step.target,
        step.tag,
        step.step,
        succeeded=False,
    )
