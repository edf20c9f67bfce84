"""Permits to send requests to targets that named a limit, and probes.

For each limited target one instance, the owner, grants the permits of all
instances from one bucket that fills at the named rate. All instances compute
the same owner from their view of the live instances. The others estimate the
level of the bucket from the runs that are announced, so that they rarely ask
in vain; only the owner's grants count.

A quarantined trait has an owner too, which grants the probes of all instances.
Its requests name the trait in place of a target.
"""

import enum
from collections.abc import Iterable

import xxhash
from attrs import frozen

PermitKey = tuple[str, int]


class PermitVerdict(enum.Enum):
    """Answer of an owner to a request for a permit."""

    granted = 'granted'
    refused = 'refused'
    # It will be decided within the time that the request may wait.
    waiting = 'waiting'


@frozen
class PermitRequest:
    """Request for a permit to send one request.

    :ivar origin: incarnation of the instance that asks.
    :ivar number: number of the run that is to be sent.
    :ivar target: name of the target, or a quarantined trait.
    :ivar started_ms: incarnation of the target.
    :ivar priority: priority of the call; 0 is the highest.
    :ivar patience_s: seconds that the request may wait.
    """

    origin: str
    number: int
    target: str
    started_ms: int
    priority: int
    patience_s: float

    @property
    def key(self) -> PermitKey:
        """Return the key of the run that is to be sent."""
        return self.origin, self.number


@frozen
class PermitDecision:
    """Decision on a request for a permit.

    :ivar wait_s: seconds until a permit of this priority is expected; zero if
        it is granted.
    """

    origin: str
    number: int
    target: str
    verdict: PermitVerdict
    wait_s: float

    @property
    def key(self) -> PermitKey:
        """Return the key of the run that is to be sent."""
        return self.origin, self.number


def choose_owner(target: str, instances: Iterable[str]) -> str:
    """Return the owner of a target by rendezvous hashing.

    An instance that joins or leaves moves only its own share of the targets.

    :param instances: IP addresses of the live instances, at least one.
    """
    return max(
        instances,
        key=lambda ip: (xxhash.xxh64_intdigest(f'{ip} {target}'.encode()), ip),
    )


def make_decision(
    request: PermitRequest, verdict: PermitVerdict, wait_s: float
) -> PermitDecision:
    """Return a decision on a request.

    :param wait_s: seconds until a permit of its priority is expected.
    """
    return PermitDecision(
        request.origin, request.number, request.target, verdict, wait_s
    )
