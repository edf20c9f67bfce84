"""Sending of attempts to targets and peers, in threads that may block.

Streams and forwarded answers are only opened here; the thread that serves the
caller reads them. The answer of a plain service is read here in full.
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
from trefoilhinge.targets.abortable_connections import AbortableConnection
from trefoilhinge.targets.exceptions import (
    TargetBroke,
    TargetErrored,
    TargetNotReached,
    TargetRefused,
)
from trefoilhinge.targets.held_answers import AnswerTable, make_answer_table
from trefoilhinge.targets.interfaces import (
    EngineClient,
    OutgoingCall,
    PlainClient,
)

ReportEvent = Callable[[Event], None]
TARGET_ERRORS = (TargetRefused, TargetNotReached, TargetErrored, TargetBroke)


@define
class AttemptSender:
    """Send and resume attempts and deliver the outcome to the call.

    :ivar report: function that passes an event to the core.
    """

    _engine_client: EngineClient
    _plain_client: PlainClient
    _forward_client: ForwardClient
    _clock: Clock
    report: ReportEvent
    _answers: AnswerTable

    def make_forward_connection(self) -> AbortableConnection:
        """Return an unopened connection to a peer."""
        return self._forward_client.make_connection()

    def make_engine_connection(self) -> AbortableConnection:
        """Return an unopened connection to an engine."""
        connection = self._engine_client.make_connection()
        connection.bound(self._answers)
        return connection

    def make_plain_service_connection(self) -> AbortableConnection:
        """Return an unopened connection to a plain service."""
        connection = self._plain_client.make_connection()
        connection.bound(self._answers)
        return connection

    def send_to_engine(
        self,
        dispatch: Dispatch,
        call: OutgoingCall,
        connection: AbortableConnection,
        mailbox: Mailbox,
    ) -> None:
        """Send a call to an engine and deliver its stream to the mailbox."""
        now = self._clock.read()
        if dispatch.is_late(now):
            mailbox.put(AttemptFailed(connection, AttemptOutcome.LEASE_LOST))
            return
        remaining_s = dispatch.deadline_s - now.monotonic_s
        try:
            stream = self._engine_client.open_stream(
                dispatch,
                call,
                remaining_s,
                connection,
            )
        except TARGET_ERRORS as error:
            mailbox.put(_convert_error(connection, error))
        else:
            _deliver_opened(StreamOpened(connection, stream), mailbox)

    def resume_on_engine(
        self,
        resume: ResumeStream,
        deadline_s: float,
        connection: AbortableConnection,
        mailbox: Mailbox,
    ) -> None:
        """Resume a stream from an offset and deliver it to the mailbox."""
        remaining_s = deadline_s - self._clock.read().monotonic_s
        try:
            stream = self._engine_client.resume_stream(
                resume, remaining_s, connection
            )
        except TARGET_ERRORS:
            # The call itself was sent earlier, so a failure to resume never
            # proves that it did not run.
            mailbox.put(AttemptFailed(connection, AttemptOutcome.BROKEN))
        else:
            _deliver_opened(StreamOpened(connection, stream), mailbox)

    def send_to_plain_service(
        self,
        dispatch: Dispatch,
        call: OutgoingCall,
        connection: AbortableConnection,
        mailbox: Mailbox,
    ) -> None:
        """Send a call to a plain service and deliver its complete answer."""
        now = self._clock.read()
        if dispatch.is_late(now):
            mailbox.put(AttemptFailed(connection, AttemptOutcome.LEASE_LOST))
            return
        remaining_s = dispatch.deadline_s - now.monotonic_s
        try:
            answer = self._plain_client.call(
                dispatch, call, remaining_s, connection
            )
        except TARGET_ERRORS as error:
            mailbox.put(_convert_error(connection, error))
        else:
            mailbox.put(PlainAnswerReceived(dispatch.attempt, answer))

    def forward(
        self,
        forward: ForwardCall,
        request: ForwardedRequest,
        connection: AbortableConnection,
        mailbox: Mailbox,
    ) -> None:
        """Forward a call to the owner of its key and deliver the answer."""
        remaining_s = forward.deadline_s - self._clock.read().monotonic_s
        try:
            opened = self._forward_client.send(
                forward, request, remaining_s, connection
            )
        except TargetNotReached:
            mailbox.put(ForwardFailed(connection, delivered=False))
        except TargetBroke:
            mailbox.put(ForwardFailed(connection, delivered=True))
        else:
            _deliver_opened(opened, mailbox)

    def run_group_step(
        self,
        step: RunGroupStep,
        segment: bytes,
        deadline_s: float,
    ) -> None:
        """Run one step of a group and report its outcome to the core."""
        remaining_s = deadline_s - self._clock.read().monotonic_s
        if remaining_s <= 0:
            self.report(_make_failed_step(step))
            return
        self.report(
            self._engine_client.run_group_step(step, segment, remaining_s)
        )


def make_attempt_sender(
    clients: tuple[EngineClient, PlainClient, ForwardClient],
    clock: Clock,
    report: ReportEvent,
    memory_mb: int,
) -> AttemptSender:
    """Return the sender of a process.

    :param report: function that passes an event to the core.
    :param memory_mb: memory of the process, zero for that of the machine.
    """
    return AttemptSender(*clients, clock, report, make_answer_table(memory_mb))


def _convert_error(
    connection: AbortableConnection, error: Exception
) -> AttemptFailed:
    match error:
        case TargetRefused():
            retry_after_s = error.retry_after_s
            return AttemptFailed(
                connection, AttemptOutcome.REFUSED, retry_after_s
            )
        case TargetNotReached():
            return AttemptFailed(connection, AttemptOutcome.NOT_SENT)
        case TargetErrored():
            return AttemptFailed(connection, AttemptOutcome.ERRORED)
        case _:
            return AttemptFailed(connection, AttemptOutcome.BROKEN)


def _deliver_opened(
    opened: StreamOpened | ForwardOpened, mailbox: Mailbox
) -> None:
    if not mailbox.put(opened):
        opened.connection.close()


def _make_failed_step(step: RunGroupStep) -> GroupStepEnded:
    return GroupStepEnded(
        step.attempt,
        step.target,
        step.tag,
        step.step,
        succeeded=False,
    )
