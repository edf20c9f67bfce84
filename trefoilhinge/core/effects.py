"""Effects that a node's core asks its shell to carry out.

Each names everything its shell needs; a shell decides nothing.
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
    :ivar priority: priority to give to the engine.
    :ivar deadline_s: monotonic seconds by which the call must have ended.
    :ivar lease: instant past which, by either clock, it must not be sent.
    :ivar fresh_connection: whether a pooled connection is ruled out.
    :ivar group_tag: tag of the group's holdings, empty for one engine.
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
        """Return whether the lease is lost or the deadline has passed."""
        return now.has_passed(self.lease) or now.monotonic_s >= self.deadline_s


@frozen
class QueryStream:
    """Ask, on a new connection, where a stream stands."""

    attempt: AttemptId
    target: TargetName
    address: str
    stream_id: StreamId


@frozen
class ResumeStream:
    """Take a stream up again from an offset, on a new connection."""

    attempt: AttemptId
    target: TargetName
    address: str
    stream_id: StreamId
    offset: int


@frozen
class CancelAttempt:
    """Stop reading an attempt and tell its target to drop it.

    :ivar model: whether the target is an engine; a plain service has no
        streams, and is told nothing.
    """

    attempt: AttemptId
    target: TargetName
    address: str
    model: bool = True


@frozen
class FinishCall:
    """The whole answer was relayed: close the answer to the caller."""

    request_id: RequestId


@frozen
class RefuseCall:
    """Answer a caller with a refusal, or end its stream with one."""

    request_id: RequestId
    refusal: Refusal


@frozen
class ForwardCall:
    """Pass a call to the instance that owns its key, and relay its answer."""

    request_id: RequestId
    owner: InstanceName
    address: str
    incarnation: int
    deadline_s: float


@frozen
class RunGroupStep:
    """Carry out one step of a group of engines.

    :ivar step: ``reserve``, ``prefill``, ``export`` or ``import``.
    :ivar first_token: first prompt token of the segment.
    :ivar tokens: prompt tokens of the segment.
    :ivar expires_wall_s: wall seconds at which the holding expires.
    :ivar handle: the engine's name of the export to import.
    :ivar source: address of the engine that exports.
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
    """Tell an engine to free what it holds under a tag."""

    target: TargetName
    address: str
    tag: ReservationTag


@frozen
class ReadLoad:
    """Read a target's load report and cache events."""

    target: TargetName
    address: str
    after_sequence: int


@frozen
class ReadInstances:
    """Read the platform's list of instances and targets."""


@frozen
class ReadDocument:
    """Read or watch the configuration service.

    :ivar after_revision: revision that is in force here.
    :ivar wait_s: seconds that a watch may wait; zero reads at once.
    """

    after_revision: int
    wait_s: float


@frozen
class SendPeerMessage:
    """Send a message to a peer and hand back its answer."""

    peer: InstanceName
    address: str
    text: str


@frozen
class AnswerPeer:
    """Answer a peer's message.

    :ivar token: the shell's name for the connection, from the event.
    """

    reply_token: str
    text: str


@frozen
class AnswerKey:
    """Answer a caller that asked for an idempotency key."""

    reply_token: str
    key: str


@frozen
class ReadEngineState:
    """Read a target's state."""

    target: TargetName
    address: str


@frozen
class SendOrder:
    """Send an order to a target.

    :ivar fence: fencing number of the order.
    :ivar revision: revision of the document that the order converges to.
    :ivar lease: instant past which, by either clock, it must not be sent.
    :ivar credentialed: whether the target checks who orders it, and so is
        shown the credential.
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
    """Write one line of key=value pairs.

    :ivar name: name of the event.
    :ivar fields: keys and values, in order.
    """

    name: str
    fields: tuple[tuple[str, str], ...]


@frozen
class ReportReadiness:
    """Tell the balancer whether this instance takes calls."""

    ready: bool


@frozen
class StopProcess:
    """Nothing is left to finish: the process may exit."""


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
