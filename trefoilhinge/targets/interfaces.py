"""What the shells need of the platform; an adapter implements each."""

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
    """What is sent to a target.

    :ivar path: path at the target.
    :ivar body: bytes to send.
    :ivar content_type: type of the body.
    :ivar trace: W3C ``traceparent`` to pass on, empty if none.
    """

    method: str
    path: str
    body: bytes
    content_type: str
    trace: str = ''


@frozen
class PlainAnswer:
    """Whole answer of a plain service."""

    status: int
    content_type: str
    body: bytes


class AnswerStream(Protocol):
    """An open stream of a target, read when its descriptor is readable."""

    def fileno(self) -> int:
        """Return the descriptor to wait on."""
        ...

    def read_available(self, is_readable: bool) -> tuple[StreamEvent, ...]:
        """Return the events that have arrived.

        :param signalled: whether the descriptor was seen to be readable.
        :raises TargetBroke: the stream was cut or has ended.
        """
        ...

    def close(self) -> None:
        """Break the connection."""
        ...


class EngineClient(Protocol):
    """Calls a model engine."""

    def make_connection(self) -> AbortableConnection:
        """Return a connection that is not open yet, to open a stream on."""
        ...

    def open_stream(
        self,
        dispatch: Dispatch,
        call: OutgoingCall,
        remaining_s: float,
        connection: AbortableConnection,
    ) -> AnswerStream:
        """Send a call and return its stream.

        :raises TargetRefused: it did not start.
        :raises TargetNotReached: no byte left.
        :raises TargetBroke: the connection broke.
        :raises TargetErrored: it answered with an error.
        """
        ...

    def resume_stream(
        self,
        resume: ResumeStream,
        remaining_s: float,
        connection: AbortableConnection,
    ) -> AnswerStream:
        """Take a stream up from an offset on a new connection."""
        ...

    def query_stream(self, query: QueryStream) -> StreamAnswered:
        """Ask, on a new connection, where a stream stands."""
        ...

    def cancel(self, cancel: CancelAttempt) -> StreamAnswered:
        """Drop a stream; ``NEVER_STARTED`` proves that it never will."""
        ...

    def read_load(self, read: ReadLoad) -> LoadRead:
        """Read the load report."""
        ...

    def read_cache_events(self, read: ReadLoad) -> CacheEventsRead:
        """Read cache events past a sequence number."""
        ...

    def read_state(self, read: ReadEngineState) -> EngineStateRead:
        """Read what the engine runs and holds."""
        ...

    def send_order(self, order: SendOrder) -> OrderAnswered:
        """Send an order with its fencing number."""
        ...

    def run_group_step(
        self,
        step: RunGroupStep,
        body: bytes,
        remaining_s: float,
    ) -> GroupStepEnded:
        """Carry out one step of a group.

        :param body: the prompt's bytes of the segment, empty for steps that
            need none.
        """
        ...

    def release(self, release: ReleaseHolding) -> HoldingReleased:
        """Free what is held under a tag."""
        ...


class PlainClient(Protocol):
    """Calls a plain service."""

    def make_connection(self) -> AbortableConnection:
        """Return a connection that is not open yet, to call on."""
        ...

    def call(
        self,
        dispatch: Dispatch,
        call: OutgoingCall,
        remaining_s: float,
        connection: AbortableConnection,
    ) -> PlainAnswer:
        """Send a call and return its whole answer.

        :raises TargetRefused: it did not start.
        :raises TargetNotReached: no byte left.
        :raises TargetBroke: the connection broke.
        """
        ...


class PlatformClient(Protocol):
    """Reads what the platform publishes."""

    def read_document(self, read: ReadDocument) -> DocumentRead:
        """Read or watch the configuration service."""
        ...

    def read_instances(self) -> InstancesListed:
        """Read the list of instances and targets."""
        ...
