"""Events that a node's core takes, each with the instant it happened at.

A shell turns the outcome of each piece of I/O into one of these.
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
    """How one attempt at a target ended, as its shell saw it."""

    # The finish marker was read: the answer is whole.
    FINISHED = 'finished'
    # No byte of the request left this instance.
    NOT_SENT = 'not_sent'
    # The target proved that it did not start: refused before start.
    REFUSED = 'refused'
    # The target answered with an error after it may have started.
    ERRORED = 'errored'
    # The connection broke or its stream ended without the finish marker.
    BROKEN = 'broken'
    # The stream that answered was not the one that was asked for.
    MISMATCHED = 'mismatched'
    # This instance gave the attempt up: its caller left or its time passed.
    ABANDONED = 'abandoned'
    # The lease on the send had passed when the shell was about to send.
    LEASE_LOST = 'lease_lost'

    @property
    def proves_not_run(self) -> bool:
        """Return whether this outcome proves that the attempt did not run."""
        return self in {
            AttemptOutcome.NOT_SENT,
            AttemptOutcome.REFUSED,
            AttemptOutcome.LEASE_LOST,
        }


@frozen
class CallReceived:
    """A caller's request was read and its API key was known."""

    profile: CallProfile


@frozen
class CallerGone:
    """The caller of a request closed its connection."""

    request_id: RequestId


@frozen
class AttemptAccepted:
    """A target answered the first bytes of an attempt."""

    attempt: AttemptId
    stream_id: StreamId


@frozen
class FirstTokenSeen:
    """The first token of an attempt was relayed to the caller."""

    attempt: AttemptId


@frozen
class AttemptSilent:
    """An open connection to a target said nothing for the silence limit.

    :ivar offset: tokens or bytes that were taken from the stream so far.
    """

    attempt: AttemptId
    offset: int


@frozen
class StreamAnswered:
    """A target answered, or did not, where a stream stands.

    :ivar state: the target's word, or unreachable.
    :ivar offset: tokens that the stream has produced.
    """

    attempt: AttemptId
    state: StreamState
    offset: int


@frozen
class AttemptEnded:
    """An attempt ended at its shell.

    :ivar relayed: tokens that were passed on to the caller.
    :ivar prompt_tokens: prompt tokens that the target counted, zero if it
        did not say.
    :ivar output_tokens: tokens generated.
    :ivar retry_after_s: seconds that the target asked to wait.
    """

    attempt: AttemptId
    outcome: AttemptOutcome
    relayed: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0
    retry_after_s: float | None = None


@frozen
class GroupStepEnded:
    """One step of a group of engines ended.

    :ivar tag: tag of the holding that the step worked on.
    :ivar step: name of the step, as the effect gave it.
    :ivar succeeded: whether the engine confirmed it.
    :ivar handle: the engine's name of an export, empty otherwise.
    """

    attempt: AttemptId
    target: TargetName
    tag: ReservationTag
    step: str
    succeeded: bool
    handle: str = ''


@frozen
class HoldingReleased:
    """An engine answered an order to release a holding."""

    target: TargetName
    tag: ReservationTag
    succeeded: bool


@frozen
class LoadRead:
    """A load report of a target was read, or could not be."""

    target: TargetName
    report: LoadReport | None


@frozen
class CacheEventsRead:
    """Events of a target's prefix cache were read, late and with gaps."""

    target: TargetName
    cache_events: tuple[CacheEvent, ...]


@frozen
class InstancesListed:
    """The platform's list of instances and targets was read.

    :ivar instances: none if the list could not be read.
    """

    instances: tuple[ListedInstance, ...] | None
    targets: tuple[ListedTarget, ...] = ()


@frozen
class DocumentRead:
    """The configuration service served a document, or did not answer.

    :ivar text: JSON text as served, none if there was no answer.
    :ivar source: where it was read, for the log.
    """

    text: str | None
    source: str = 'service'


@frozen
class PeerMessageReceived:
    """A message of a peer arrived.

    :ivar token: the shell's name for the connection to answer on.
    :ivar text: JSON text of the message.
    """

    reply_token: str
    text: str


@frozen
class KeyRequested:
    """A caller asked for an idempotency key.

    :ivar token: the shell's name for the connection to answer on.
    """

    reply_token: str
    organisation: str


@frozen
class PeerAnswered:
    """A peer answered, or did not answer, a message.

    :ivar peer: name of the peer.
    :ivar text: JSON text of its answer, none if it did not answer.
    """

    peer: InstanceName
    text: str | None


@frozen
class ForwardEnded:
    """A call that was forwarded to its owner ended there.

    :ivar delivered: false only if no byte of it left this instance.
    """

    request_id: RequestId
    delivered: bool
    finished: bool


@frozen
class EngineStateRead:
    """A target answered its state, or did not.

    :ivar address: ``host:port`` that the target was asked at.
    """

    target: TargetName
    state: EngineState | None
    address: str = ''


@frozen
class OrderAnswered:
    """A target answered an order.

    :ivar accepted: none if it did not answer.
    """

    target: TargetName
    fence: int
    accepted: bool | None


@frozen
class StopRequested:
    """The platform asked this instance to stop."""


@frozen
class TimerFired:
    """Time has passed; cores act on what is due."""


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
    | TimerFired
)
