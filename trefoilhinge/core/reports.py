"""State published by the platform and its targets.

Any instance may read it. Each source has its own delay.
"""

import enum

from attrs import field, frozen

from trefoilhinge.core.identifiers import (
    InstanceName,
    ReservationTag,
    TargetName,
)


class StreamState(enum.StrEnum):
    """State of a stream, as reported by its target."""

    RUNNING = 'running'
    FINISHED = 'finished'
    NEVER_STARTED = 'never_started'
    UNKNOWN = 'unknown'
    UNREACHABLE = 'unreachable'


@frozen
class LoadReport:
    """Load published by a target.

    :ivar target: name of the target.
    :ivar queued_tokens: prompt tokens queued or in prefill.
    :ivar running: streams in the running batch.
    :ivar free_tokens: free KV-cache capacity, in tokens.
    :ivar age_s: seconds since the target measured the load.
    :ivar leaving: whether the target reports that it is draining.
    :ivar incarnation: number that increases with each restart of the target.
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
    """Change of a target's prefix cache.

    :ivar sequence: sequence number; a jump means that events were missed.
    :ivar digest: digest of the cached block.
    :ivar stored: true if the block was stored, false if it was evicted.
    """

    sequence: int
    digest: int
    stored: bool


@frozen
class ListedInstance:
    """Instance listed by the platform.

    :ivar name: name of the instance.
    :ivar address: ``host:port`` of the listener for peers.
    :ivar failure_domain: failure domain of the instance.
    :ivar leaving: whether the platform marks the instance as draining.
    """

    name: InstanceName
    address: str
    failure_domain: str
    leaving: bool = False


@frozen
class ListedTarget:
    """Target listed by the platform.

    :ivar name: name of the target.
    :ivar address: ``host:port`` of the target.
    :ivar failure_domain: failure domain of the target.
    :ivar service: name of the service that selects the target.
    :ivar leaving: whether the platform marks the target as draining.
    """

    name: TargetName
    address: str
    failure_domain: str
    service: str
    leaving: bool = False


@frozen
class Reservation:
    """KV-cache memory reserved at an engine outside of running streams.

    :ivar tag: tag of the reservation, which any instance can parse.
    :ivar owner: instance and incarnation that made the reservation.
    :ivar tokens: size in tokens.
    :ivar expires_wall_s: wall-clock seconds after which it may be released.
    """

    tag: ReservationTag
    owner: str
    tokens: int
    expires_wall_s: float


@frozen
class EngineState:
    """State reported by an engine.

    :ivar target: name of the target.
    :ivar fence: last fencing token that the engine accepted.
    :ivar model: name of the loaded model, empty if none.
    :ivar version: version of the loaded model.
    :ivar adapters: names of the loaded adapters, sorted.
    :ivar role: ``both``, ``prefill`` or ``decode``.
    :ivar ready: whether the engine accepts calls.
    :ivar reservations: KV-cache memory reserved outside of running streams.
    """

    target: TargetName
    fence: int
    model: str
    version: str
    adapters: tuple[str, ...]
    role: str
    ready: bool
    reservations: tuple[Reservation, ...] = field(default=())
