"""Interfaces of the clients of targets and of the platform."""

from typing import Protocol

from attrs import frozen

from trefoilhinge.core.effects import (
    CancelAttempt,
    Dispatch,
    QueryStream,
    ReadDocument,
    ReadEngineState,
    ReadLoad,
    ReleaseHolding,
    ResumeStream,
    RunGroupStep,
    SendOrder,
)
from trefoilhinge.core.events import (
    CacheEventsRead,
    DocumentRead,
    EngineStateRead,
    GroupStepEnded,
    HoldingReleased,
    InstancesListed,
    LoadRead,
    OrderAnswered,
    StreamAnswered,
)
from trefoilhinge.core.sse import StreamEvent
from trefoilhinge.targets.abortable_connections import AbortableConnection


@frozen
class OutgoingCall:
    """Request to a target.

    :ivar path: path at the target.
    :ivar content_type: content type of the body.
    :ivar traceparent: W3C ``traceparent`` to propagate, empty if absent.
    """

    method: str
    path: str
    body: bytes
    content_type: str
    traceparent: str = ''


@frozen
class PlainAnswer:
    """Complete answer of a plain service."""

    status: int
    content_type: str
    body: bytes


class AnswerStream(Protocol):
    """Open stream of a target, read when its file descriptor is readable."""

    def fileno(self) -> int:
        """Return the file descriptor to poll."""
        ...

    def read_available(self, is_readable: bool) -> tuple[StreamEvent, ...]:
        """Return the events received so far, without waiting for more.

        :param is_readable: whether polling reported the file descriptor as
            readable.
        :raises TargetBroke: the connection broke or the stream has ended.
        """
        ...

    def close(self) -> None:
        """Close the connection."""
        ...


class EngineClient(Protocol):
    """Client of model engines."""

    def make_connection(self) -> AbortableConnection:
        """Return an unopened connection, on which a stream can be opened."""
        ...

    def open_stream(
        self,
        dispatch: Dispatch,
        call: OutgoingCall,
        remaining_s: float,
        connection: AbortableConnection,
    ) -> AnswerStream:
        """Send a call and return its stream.

        :param remaining_s: seconds until the deadline.
        :param connection: unopened connection, through which any thread can
            abort the call.
        :raises TargetRefused: the target did not start the call.
        :raises TargetNotReached: no byte of the call was sent.
        :raises TargetBroke: the connection broke after bytes may have been
            sent.
        :raises TargetErrored: the target responded with an error.
        """
        ...

    def resume_stream(
        self,
        resume: ResumeStream,
        remaining_s: float,
        connection: AbortableConnection,
    ) -> AnswerStream:
        """Resume a stream from an offset on a new connection."""
        ...

    def query_stream(self, query: QueryStream) -> StreamAnswered:
        """Query a stream's state and offset on a new connection."""
        ...

    def cancel(self, cancel: CancelAttempt) -> StreamAnswered:
        """Cancel a stream; ``NEVER_STARTED`` proves that it never starts."""
        ...

    def read_load(self, read: ReadLoad) -> LoadRead:
        """Read the load report."""
        ...

    def read_cache_events(self, read: ReadLoad) -> CacheEventsRead:
        """Read the cache events after a sequence number."""
        ...

    def read_state(self, read: ReadEngineState) -> EngineStateRead:
        """Read the engine's state."""
        ...

    def send_order(self, order: SendOrder) -> OrderAnswered:
        """Send an order with its fencing token."""
        ...

    def run_group_step(
        self,
        step: RunGroupStep,
        body: bytes,
        remaining_s: float,
    ) -> GroupStepEnded:
        """Run one step of a group.

        :param body: prompt of the segment in bytes, empty for steps that
            need none.
        """
        ...

    def release(self, release: ReleaseHolding) -> HoldingReleased:
        """Release the KV-cache reservation with a tag."""
        ...


class PlainClient(Protocol):
    """Client of plain services."""

    def make_connection(self) -> AbortableConnection:
        """Return an unopened connection, on which a call can be sent."""
        ...

    def call(
        self,
        dispatch: Dispatch,
        call: OutgoingCall,
        remaining_s: float,
        connection: AbortableConnection,
    ) -> PlainAnswer:
        """Send a call and return its complete answer.

        :param remaining_s: seconds until the deadline.
        :param connection: unopened connection, through which any thread can
            abort the call.
        :raises TargetRefused: the target did not start the call.
        :raises TargetNotReached: no byte of the call was sent.
        :raises TargetBroke: the connection broke after bytes may have been
            sent.
        """
        ...


class PlatformClient(Protocol):
    """Client of the configuration service and of the list of instances."""

    def read_document(self, read: ReadDocument) -> DocumentRead:
        """Read the document from the configuration service, or watch it."""
        ...

    def read_instances(self) -> InstancesListed:
        """Read the lists of instances and targets."""
        ...
