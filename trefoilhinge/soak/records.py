"""Records of what callers and targets observed in a soak.

All times are in seconds of one clock.
"""

import enum

from attrs import define, field, frozen

# Segment of the path of calls that may take longer than a stop.
QUEUED_NAME = 'queued'
LONG_NAME = 'long'  # last segment of the path of calls with a long answer
# Of a long answer: the kernel holds 4 MB of it, and an instance at most 8 MiB.
LONG_BYTES = 7_000_000


class CallKind(enum.Enum):
    """Kind of a call; the value is the first segment of its path."""

    non_idempotent = 'book'
    idempotent = 'look'
    stream = 'stream'


@frozen
class ObservedRun:
    """Start of the work of a target on a call.

    :ivar at_s: time of the start.
    :ivar failure_domain: failure domain of the target.
    """

    request_id: str
    target: str
    at_s: float
    failure_domain: str


@frozen
class ObservedArrival:
    """Request that reached a target.

    :ivar port: port of the target, which keeps it over its incarnations.
    :ivar is_order: whether it reserves, renews or releases memory.
    """

    port: int
    at_s: float
    is_order: bool


@frozen
class ObservedLimit:
    """Limit on its requests that a target named for a time.

    :ivar port: port of the target, which keeps it over its incarnations.
    :ivar requests_per_s: rate for all instances together.
    """

    port: int
    requests_per_s: float
    begin_s: float
    end_s: float


@define
class CrashingTrait:
    """What requests have in common that crash targets.

    :ivar name: part of prompts, or path of a request.
    :ivar free_crashes: crashes after which such requests are to be kept from
        targets.
    :ivar crashes_s: times of the crashes.
    :ivar arrivals_s: times at which such requests reached targets.
    """

    name: str
    free_crashes: int
    crashes_s: list[float] = field(factory=list)
    arrivals_s: list[float] = field(factory=list)


@define
class ObservedCall:
    """One call as observed by its caller.

    :ivar deadline_s: seconds from the sending to the deadline.
    :ivar key_revoked_s: time at which its API key was revoked, none if the
        key was valid.
    :ivar ended_s: time at which the caller finished, none before.
    :ivar first_s: time of the first bytes of the body, none before.
    :ivar key: API key of its caller.
    :ivar demand: name of the demand that it belongs to, if there is any.
    :ivar status: HTTP status, zero if none was received.
    :ivar content: bytes of the body that were received.
    :ivar is_complete: whether the whole response was received.
    :ivar is_stopping: whether its instance had been asked to stop by its end.
    :ivar stop_ordered_s: time at which its instance had been asked to stop,
        none if it had not.
    :ivar is_long: whether its answer is long.
    :ivar may_outlast_stop: whether it may take longer than a stop, and so is
        checked as ``stop_checks`` says.
    :ivar whole_s: time at which its last byte had been sent, none before.
    :ivar follows_close: whether an earlier answer on its connection had
        announced that the connection ends.
    """

    request_id: str
    kind: CallKind
    instance: str
    sent_s: float
    deadline_s: float
    key_revoked_s: float | None = None
    ended_s: float | None = None
    status: int = 0
    content: bytes = b''
    is_complete: bool = False
    is_stopping: bool = False
    stop_ordered_s: float | None = None
    is_long: bool = False
    may_outlast_stop: bool = False
    whole_s: float | None = None
    follows_close: bool = False
    first_s: float | None = None
    key: str = ''
    demand: str = ''


def make_event(request_id: str, number: int) -> bytes:
    """Return one server-sent event of the stream of a call."""
    return b'id: %d\ndata: %s\n\n' % (number, request_id.encode())


def make_content(
    kind: CallKind, request_id: str, is_long: bool = False, events: int = 12
) -> bytes:
    """Return the body of the only correct answer to a call."""
    if kind is not CallKind.stream:
        content = f'{kind.value} of {request_id}'.encode()
        repeats = LONG_BYTES // len(content) if is_long else 1
        return content * repeats
    return b''.join(
        make_event(request_id, number) for number in range(1, events + 1)
    )
