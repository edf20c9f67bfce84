"""What the platform publishes, read by any instance, each with its lag."""

import enum

from attrs import field, frozen

from trefoilhinge.core.identifiers import (
    InstanceName,
    ReservationTag,
    TargetName,
)


class StreamState(enum.StrEnum):
    """Where a target says a stream stands."""

    RUNNING = 'running'
    FINISHED = 'finished'
    NEVER_STARTED = 'never_started'
    UNKNOWN = 'unknown'
    UNREACHABLE = 'unreachable'


@frozen
class LoadReport:
    """Load of a target, as the target published it.

    :ivar target: name of the target.
    :ivar queued_tokens: prompt tokens that wait or are being prefilled.
    :ivar running: streams in the batch.
    :ivar free_tokens: KV memory that is free, in tokens.
    :ivar age_s: seconds since the target measured it.
    :ivar leaving: whether the target says it is leaving.
    :ivar incarnation: number that grows when the target restarts.
    """

    target: TargetName
    queued_tokens: int
    running: int
    free_tokens: int
    age_s: float = 0
    leaving: bool = False
    incarnation: int = 0


@frozen
class CacheEvent:
    """One change of a target's prefix cache.

    :ivar sequence: number of the event; a jump shows a gap.
    :ivar digest: digest of the block.
    :ivar stored: true if stored, false if evicted.
    """

    sequence: int
    digest: int
    stored: bool


@frozen
class ListedInstance:
    """One entry of the platform's list of instances.

    :ivar name: name of the instance.
    :ivar address: ``host:port`` of the listener for peers.
    :ivar failure_domain: failure domain that the instance is in.
    :ivar leaving: whether the platform says it is leaving.
    """

    name: InstanceName
    address: str
    failure_domain: str
    leaving: bool = False


@frozen
class ListedTarget:
    """One target of the platform's list.

    :ivar name: name of the target.
    :ivar address: ``host:port`` of the target.
    :ivar failure_domain: failure domain that the target is in.
    :ivar service: name of the service that selects it.
    :ivar leaving: whether the platform says it is leaving.
    """

    name: TargetName
    address: str
    failure_domain: str
    service: str
    leaving: bool = False


@frozen
class Reservation:
    """KV memory that an engine holds outside of a running stream.

    :ivar tag: name that any instance can read back.
    :ivar owner: instance and incarnation that reserved it.
    :ivar tokens: size in tokens.
    :ivar expires_wall_s: wall seconds past which it may be released.
    """

    tag: ReservationTag
    owner: str
    tokens: int
    expires_wall_s: float


@frozen
class EngineState:
    """What an engine answers when it is asked for its state.

    :ivar target: name of the target.
    :ivar fence: last fencing number that it accepted.
    :ivar model: model that is loaded, empty if none.
    :ivar version: version of that model.
    :ivar adapters: adapters that are loaded, sorted.
    :ivar role: ``both``, ``prefill`` or ``decode``.
    :ivar ready: whether it takes calls.
    :ivar holdings: KV memory held outside of running streams.
    """

    target: TargetName
    fence: int
    model: str
    version: str
    adapters: tuple[str, ...]
    role: str
    ready: bool
    reservations: tuple[Reservation, ...] = field(default=())
