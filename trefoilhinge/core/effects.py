"""Effects: I/O that a node's core requests from its shell.

An effect holds all data that the shell needs, because a shell takes no
decisions of its own.
"""

from attrs import frozen

from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.identifiers import (
    AttemptId,
    InstanceName,
    RequestId,
    ReservationTag,
    StreamId,
    TargetName,
)
from trefoilhinge.core.verdicts import Refusal


@frozen
class Dispatch:
    """Send a request to a target.

    :ivar target: name of the target.
    :ivar address: ``host:port``.
    :ivar priority: priority that is passed to the engine.
    :ivar deadline_s: monotonic seconds by which the call must have ended.
    :ivar lease: instant after which, by either clock, the request must not be
        sent.
    :ivar fresh_connection: whether to open a new connection instead of
        taking one from the pool.
    :ivar reservation_tag: tag of the group's KV-cache reservations, none for
        a single engine.
    """

    attempt: AttemptId
    target: TargetName
    address: str
    priority: int
    deadline_s: float
    lease: Instant
    fresh_connection: bool
    reservation_tag: ReservationTag | None = None

    def is_late(self, now: Instant) -> bool:
        """Return whether the lease has expired or the deadline has passed."""
        return now.has_passed(self.lease) or now.monotonic_s >= self.deadline_s


@frozen
class QueryStream:
    """Query a stream's state and offset on a new connection."""

    attempt: AttemptId
    target: TargetName
    address: str
    stream_id: StreamId


@frozen
class ResumeStream:
    """Resume a stream from an offset on a new connection."""

    attempt: AttemptId
    target: TargetName
    address: str
    stream_id: StreamId
    offset: int


@frozen
class CancelAttempt:
    """Stop reading an attempt's response and cancel it at the target.

    :ivar model: whether the target is a model engine; a plain service has no
        streams to cancel, so no message is sent to it.
    """

    attempt: AttemptId
    target: TargetName
    address: str
    model: bool = True


@frozen
class FinishCall:
    """Close the response to the caller after all of it was relayed."""

    request_id: RequestId


@frozen
class RefuseCall:
    """Send a refusal as the response, or as the last event of a stream."""

    request_id: RequestId
    refusal: Refusal


@frozen
class ForwardCall:
    """Forward a call to its idempotency key's owner and relay the response."""

    request_id: RequestId
    owner: InstanceName
    address: str
    incarnation: int
    deadline_s: float


@frozen
class RunGroupStep:
    """Run one step of a prefill and decode across a group of engines.

    :ivar step: ``reserve``, ``prefill``, ``export`` or ``import``.
    :ivar first_token: index of the segment's first prompt token.
    :ivar tokens: length of the segment in prompt tokens.
    :ivar owner: instance and incarnation that own the reservation.
    :ivar expires_wall_s: wall-clock seconds at which the reservation expires.
    :ivar handle: engine's identifier of the export to import.
    :ivar source: address of the exporting engine.
    """

    attempt: AttemptId
    target: TargetName
    address: str
    tag: ReservationTag
    step: str
    first_token: int
    tokens: int
    owner: str
    expires_wall_s: float
    handle: str = ''
    source: str = ''


@frozen
class ReleaseHolding:
    """Release an engine's KV-cache reservation."""

    target: TargetName
    address: str
    tag: ReservationTag


@frozen
class ReadLoad:
    """Read a target's load report and cache events.

    :ivar after_sequence: sequence number of the last cache event received.
    """

    target: TargetName
    address: str
    after_sequence: int


@frozen
class ReadInstances:
    """Read the instances and targets listed by the platform."""


@frozen
class ReadDocument:
    """Read the document from the configuration service, or watch it.

    :ivar after_revision: revision in force at this instance.
    :ivar wait_s: longest time that a watch waits for a change, in seconds;
        zero reads without waiting.
    """

    after_revision: int
    wait_s: float


@frozen
class SendPeerMessage:
    """Send a message to a peer and report its reply as an event.

    :ivar text: JSON text of the message.
    """

    peer: InstanceName
    address: str
    text: str


@frozen
class AnswerPeer:
    """Reply to a peer's message.

    :ivar reply_token: shell's identifier of the waiting connection, copied
        from the event.
    """

    reply_token: str
    text: str


@frozen
class AnswerKey:
    """Send an idempotency key to the caller that requested it.

    :ivar reply_token: shell's identifier of the waiting connection, copied
        from the event.
    """

    reply_token: str
    key: str


@frozen
class ReadEngineState:
    """Read the state of a target's engine."""

    target: TargetName
    address: str


@frozen
class SendOrder:
    """Send an order, which sets the model, adapters and role of a target.

    :ivar fence: fencing token of the order.
    :ivar revision: document revision whose desired state the order applies.
    :ivar lease: instant after which, by either clock, the order must not be
        sent.
    :ivar requires_credential: whether the target authenticates the sender of
        an order; only such a target is sent the credential.
    """

    target: TargetName
    address: str
    fence: int
    revision: int
    model: str
    version: str
    adapters: tuple[str, ...]
    role: str
    lease: Instant
    requires_credential: bool = False


@frozen
class LogEvent:
    """Write one log line of key=value pairs.

    :ivar name: name of the log event.
    :ivar fields: keys and values, in output order.
    """

    name: str
    fields: tuple[tuple[str, str], ...]


@frozen
class ReportReadiness:
    """Report to the load balancer whether this instance accepts calls."""

    ready: bool


@frozen
class StopProcess:
    """Exit the process; no work is pending."""


Effect = (
    Dispatch
    | QueryStream
    | ResumeStream
    | CancelAttempt
    | FinishCall
    | RefuseCall
    | ForwardCall
    | RunGroupStep
    | ReleaseHolding
    | ReadLoad
    | ReadInstances
    | ReadDocument
    | SendPeerMessage
    | AnswerPeer
    | AnswerKey
    | ReadEngineState
    | SendOrder
    | LogEvent
    | ReportReadiness
    | StopProcess
)
