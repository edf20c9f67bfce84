"""Events that a node's core handles, each with the instant it occurred at.

A shell converts the outcome of each I/O operation into an event.
"""

import enum

from attrs import frozen

from trefoilhinge.core.identifiers import (
    AttemptId,
    InstanceName,
    RequestId,
    ReservationTag,
    StreamId,
    TargetName,
)
from trefoilhinge.core.profiles import CallProfile
from trefoilhinge.core.reports import (
    CacheEvent,
    EngineState,
    ListedInstance,
    ListedTarget,
    LoadReport,
    StreamState,
)


class AttemptOutcome(enum.StrEnum):
    """Outcome of an attempt at a target, as observed by the shell."""

    # The finish marker was read, so the response is complete.
    FINISHED = 'finished'
    # No byte of the request left this instance.
    NOT_SENT = 'not_sent'
    # The target rejected the request before it started to process it.
    REFUSED = 'refused'
    # The target returned an error and may have started to process the request.
    ERRORED = 'errored'
    # The connection failed or the stream ended without the finish marker.
    BROKEN = 'broken'
    # The response belongs to another stream than the requested one.
    MISMATCHED = 'mismatched'
    # This instance cancelled the attempt: the caller disconnected or the
    # deadline passed.
    ABANDONED = 'abandoned'
    # The lease had expired before the shell sent the request.
    LEASE_LOST = 'lease_lost'

    @property
    def proves_not_run(self) -> bool:
        """Return whether the outcome proves that the attempt did not run."""
        return self in {
            AttemptOutcome.NOT_SENT,
            AttemptOutcome.REFUSED,
            AttemptOutcome.LEASE_LOST,
        }


@frozen
class CallReceived:
    """A caller's request was read and its API key was accepted."""

    profile: CallProfile


@frozen
class CallerGone:
    """A caller closed its connection before the response was complete."""

    request_id: RequestId


@frozen
class AttemptAccepted:
    """The first bytes of a target's response arrived."""

    attempt: AttemptId
    stream_id: StreamId


@frozen
class FirstTokenSeen:
    """The first token of an attempt was relayed to the caller."""

    attempt: AttemptId


@frozen
class AttemptSilent:
    """An open connection to a target received no data within the idle limit.

    :ivar offset: tokens or bytes accepted from the stream so far.
    """

    attempt: AttemptId
    offset: int


@frozen
class StreamAnswered:
    """A query of a stream's state was answered or failed.

    :ivar state: state reported by the target, or unreachable.
    :ivar offset: tokens that the stream has produced.
    """

    attempt: AttemptId
    state: StreamState
    offset: int


@frozen
class AttemptEnded:
    """An attempt ended.

    :ivar relayed: tokens relayed to the caller.
    :ivar prompt_tokens: prompt tokens counted by the target, zero if it did
        not report them.
    :ivar output_tokens: tokens generated.
    :ivar retry_after_s: delay that the target requested, in seconds.
    """

    attempt: AttemptId
    outcome: AttemptOutcome
    relayed: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0
    retry_after_s: float | None = None


@frozen
class GroupStepEnded:
    """A step of a group of engines ended.

    :ivar tag: tag of the step's KV-cache reservation.
    :ivar step: name of the step, copied from the effect.
    :ivar succeeded: whether the engine confirmed the step.
    :ivar handle: engine's identifier of an export, empty for other steps.
    """

    attempt: AttemptId
    target: TargetName
    tag: ReservationTag
    step: str
    succeeded: bool
    handle: str = ''


@frozen
class HoldingReleased:
    """An engine replied to the release of a KV-cache reservation."""

    target: TargetName
    tag: ReservationTag
    succeeded: bool


@frozen
class LoadRead:
    """A target's load report was read, or the read failed.

    :ivar report: none if the read failed.
    """

    target: TargetName
    report: LoadReport | None


@frozen
class CacheEventsRead:
    """Events of a target's prefix cache were read.

    They may be delayed and may have gaps.
    """

    target: TargetName
    cache_events: tuple[CacheEvent, ...]


@frozen
class InstancesListed:
    """The platform's list of instances and targets was read.

    :ivar instances: none if the read failed.
    """

    instances: tuple[ListedInstance, ...] | None
    targets: tuple[ListedTarget, ...] = ()


@frozen
class DocumentRead:
    """A document was read, or the configuration service did not respond.

    :ivar text: JSON text as served, none if there was no response.
    :ivar source: origin of the document, for the log.
    """

    text: str | None
    source: str = 'service'


@frozen
class PeerMessageReceived:
    """A message from a peer arrived.

    :ivar reply_token: shell's identifier of the connection to reply on.
    :ivar text: JSON text of the message.
    """

    reply_token: str
    text: str


@frozen
class KeyRequested:
    """A caller requested an idempotency key.

    :ivar reply_token: shell's identifier of the connection to reply on.
    """

    reply_token: str
    organisation: str


@frozen
class PeerAnswered:
    """A peer replied to a message, or did not.

    :ivar text: JSON text of the reply, none if there was no reply.
    """

    peer: InstanceName
    text: str | None


@frozen
class ForwardEnded:
    """A call forwarded to its key's owner ended.

    :ivar delivered: false only if no byte of the call left this instance.
    :ivar finished: whether the owner's response was relayed completely.
    """

    request_id: RequestId
    delivered: bool
    finished: bool


@frozen
class EngineStateRead:
    """A target's state was read, or the read failed.

    :ivar state: none if the read failed.
    :ivar address: ``host:port`` that the request was sent to.
    """

    target: TargetName
    state: EngineState | None
    address: str = ''


@frozen
class OrderAnswered:
    """A target replied to an order, or did not.

    :ivar accepted: none if there was no reply.
    """

    target: TargetName
    fence: int
    accepted: bool | None


@frozen
class StopRequested:
    """The platform requested that this instance stop."""


@frozen
class ExitRequested:
    """The process exits now and cannot wait for the calls in progress."""


@frozen
class TimerFired:
    """A timer fired; the core runs the actions that are due."""


Event = (
    CallReceived
    | CallerGone
    | AttemptAccepted
    | FirstTokenSeen
    | AttemptSilent
    | StreamAnswered
    | AttemptEnded
    | GroupStepEnded
    | HoldingReleased
    | LoadRead
    | CacheEventsRead
    | InstancesListed
    | DocumentRead
    | PeerMessageReceived
    | KeyRequested
    | PeerAnswered
    | ForwardEnded
    | EngineStateRead
    | OrderAnswered
    | StopRequested
    | ExitRequested
    | TimerFired
)
