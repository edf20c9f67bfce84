"""Encoding of the datagrams between instances, as MessagePack arrays.

The messages are small and binary because traffic between failure domains is
expensive. The first entry of an array identifies the kind of message.
"""

import msgpack
from attrs import frozen
from expression import Error, Ok, Result
from msgpack.exceptions import UnpackException

from trefoilhinge.dispatch.loads import Run, RunPart
from trefoilhinge.dispatch.peers import Heartbeat

MAXIMUM_DATAGRAM_BYTES = 1_400  # fits one packet
# Longest duration that a message may state, and the largest factor.
MAXIMUM_DURATION_S = 3_600.0


@frozen
class RunStarted:
    """A run was placed.

    :ivar maximum_duration_s: seconds after which it has ended at the latest.
    """

    run: Run
    maximum_duration_s: float


@frozen
class RunSent:
    """A delayed run was sent."""

    origin: str
    number: int


@frozen
class RunFirstEvent:
    """The first event of a run was received."""

    origin: str
    number: int


@frozen
class RunEnded:
    """A run ended, with any outcome."""

    origin: str
    number: int


@frozen
class TargetLeaving:
    """A target is leaving or was removed."""

    name: str
    started_ms: int
    revision: int


@frozen
class TargetEjected:
    """A target is unreachable or refuses calls and is to be avoided.

    :ivar duration_s: seconds for which it is to be avoided.
    """

    name: str
    duration_s: float


@frozen
class TargetSlowdown:
    """The observed slowdown of a target changed.

    :ivar slowdown: factor by which it is slower than its published profile;
        1 if it has recovered.
    """

    name: str
    slowdown: float


Message = (
    Heartbeat
    | RunStarted
    | RunSent
    | RunFirstEvent
    | RunEnded
    | TargetLeaving
    | TargetEjected
    | TargetSlowdown
)


def encode_message(message: Message) -> bytes:
    """Return the encoded message."""
    return bytes(msgpack.packb(_list_fields(message), use_single_float=True))


def decode_message(data: bytes, now_s: float) -> Result[Message, str]:
    """Decode a datagram; the error describes why it is invalid.

    :param now_s: monotonic seconds of arrival, from which durations count.
    """
    try:
        return Ok(_decode(msgpack.unpackb(data), now_s))
    except (TypeError, ValueError, UnpackException) as problem:
        return Error(f'{type(problem).__name__}: {problem}')


def _list_fields(message: Message) -> list[object]:
    match message:
        case Heartbeat():
            return [
                'w',
                message.ip,
                message.origin,
                message.failure_domain,
                message.version,
                message.revision,
                message.store_unreachable,
                list(message.known_peers),
            ]
        case RunStarted(run, maximum_duration_s):
            return ['r', *_list_run(run), maximum_duration_s]
        case RunSent(origin, number):
            return ['s', origin, number]
        case RunFirstEvent(origin, number):
            return ['f', origin, number]
        case RunEnded(origin, number):
            return ['e', origin, number]
        case TargetLeaving(name, started_ms, revision):
            return ['l', name, started_ms, revision]
        case TargetEjected(name, duration_s):
            return ['a', name, duration_s]
        case TargetSlowdown(name, slowdown):
            return ['p', name, slowdown]


def _list_run(run: Run) -> list[object]:
    parts = [
        [part.target, part.prefill_s, part.memory_tokens, part.has_slot]
        for part in run.parts
    ]
    return [
        run.origin,
        run.number,
        parts,
        run.context_tokens,
        run.output_tokens,
        run.gap_slo_s,
        run.send_delay_s,
    ]


def _decode(fields: list[object], now_s: float) -> Message:
    match fields:
        case ['w', *heartbeat]:
            return _decode_heartbeat(heartbeat)
        case ['r', *run, int() | float() as maximum_duration_s]:
            return RunStarted(
                _decode_run(run, now_s), _check_range(maximum_duration_s)
            )
        case ['s', str(origin), int(number)]:
            return RunSent(origin, number)
        case ['f', str(origin), int(number)]:
            return RunFirstEvent(origin, number)
        case ['e', str(origin), int(number)]:
            return RunEnded(origin, number)
        case ['l', str(name), int(started_ms), int(revision)]:
            return TargetLeaving(name, started_ms, revision)
        case ['a', str(name), int() | float() as duration_s]:
            return TargetEjected(name, _check_range(duration_s))
        case ['p', str(name), int() | float() as slowdown]:
            return TargetSlowdown(name, _check_range(slowdown))
    raise ValueError(
        'unknown kind of message, or fields of unexpected number or type'
    )


def _decode_heartbeat(fields: list[object]) -> Heartbeat:
    match fields:
        case [
            str(ip),
            str(origin),
            str(domain),
            int(version),
            int(revision),
            bool(store_unreachable),
            list(known),
        ]:
            names = tuple(str(name) for name in known)
            return Heartbeat(
                ip, origin, domain, version, revision, store_unreachable, names
            )
        case _:
            raise ValueError('heartbeat with unexpected fields')


def _decode_run(fields: list[object], now_s: float) -> Run:
    match fields:
        case [
            str(origin),
            int(number),
            list(parts),
            int(context_tokens),
            int(output_tokens),
            int() | float() as gap_slo_s,
            int() | float() as send_delay_s,
        ]:
            return Run(
                origin,
                number,
                tuple(_decode_part(part) for part in parts),
                context_tokens,
                output_tokens,
                _check_range(gap_slo_s),
                now_s,
                _check_range(send_delay_s),
            )
        case _:
            raise ValueError('run with unexpected fields')


def _decode_part(fields: object) -> RunPart:
    match fields:
        case [
            str(target),
            int() | float() as prefill_s,
            int(memory_tokens),
            bool(has_slot),
        ]:
            return RunPart(
                target, _check_range(prefill_s), memory_tokens, has_slot
            )
        case _:
            raise ValueError('part of a run with unexpected fields')


def _check_range(number: float) -> float:
    """Return a duration or a factor if it is within bounds.

    :raises ValueError: it is negative, above ``MAXIMUM_DURATION_S`` or not a
        number.
    """
    if not 0 <= number <= MAXIMUM_DURATION_S:
        raise ValueError(
            f'duration or factor {number} is not within 0 to'
            f' {MAXIMUM_DURATION_S}'
        )
    return number
