"""Datagrams between instances, as MessagePack arrays.

Small binary messages because bytes between failure domains are dear; the
first entry tells the kind.
"""

import msgpack
from attrs import frozen
from expression import Error, Ok, Result
from msgpack.exceptions import UnpackException

from trefoilhinge.dispatch.loads import Run, RunPart
from trefoilhinge.dispatch.peers import Heartbeat

MAXIMUM_DATAGRAM_BYTES = 1_400  # one packet
MAXIMUM_DURATION_S = 3_600.0  # no duration that instances tell is longer


@frozen
class RunStarted:
    """A run was sent.

    :ivar maximum_duration_s: seconds after which it has ended at the latest.
    """

    run: Run
    maximum_duration_s: float


@frozen
class RunSent:
    """A run that waited for its turn was sent."""

    origin: str
    number: int


@frozen
class RunFirstEvent:
    """A run's first event came."""

    origin: str
    number: int


@frozen
class RunEnded:
    """A run ended, whatever became of it."""

    origin: str
    number: int


@frozen
class TargetLeaving:
    """A target leaves or is gone."""

    name: str
    started_ms: int
    revision: int


@frozen
class TargetEjected:
    """A target could not be reached, or refuses work, for now."""

    name: str
    duration_s: float


@frozen
class TargetSlowdown:
    """A target was seen to be slower than published, or as fast again."""

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
    """Return the datagram of a message."""
    return bytes(msgpack.packb(_list_fields(message), use_single_float=True))


def decode_message(data: bytes, now_s: float) -> Result[Message, str]:
    """Decode a datagram; the error says what is wrong with it.

    :param now_s: time of arrival, from which durations count.
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
        case ['w', *word]:
            return _decode_word(word)
        case ['r', *run, int() | float() as maximum_duration_s]:
            return RunStarted(
                _decode_run(run, now_s), _check(maximum_duration_s)
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
            return TargetEjected(name, _check(duration_s))
        case ['p', str(name), int() | float() as slowdown]:
            return TargetSlowdown(name, _check(slowdown))
    raise ValueError('the message is of no known kind')


def _decode_word(fields: list[object]) -> Heartbeat:
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
            raise ValueError('a word has other fields')


def _decode_run(fields: list[object], now_s: float) -> Run:
    match fields:
        case [
            str(origin),
            int(number),
            list(parts),
            int(context),
            int(answer),
            int() | float() as gap_slo_s,
            int() | float() as send_delay_s,
        ]:
            return Run(
                origin,
                number,
                tuple(_decode_part(part) for part in parts),
                context,
                answer,
                _check(gap_slo_s),
                now_s,
                _check(send_delay_s),
            )
        case _:
            raise ValueError('a run has other fields')


def _decode_part(fields: object) -> RunPart:
    match fields:
        case [
            str(target),
            int() | float() as prefill_s,
            int(memory),
            bool(has_slot),
        ]:
            return RunPart(target, _check(prefill_s), memory, has_slot)
        case _:
            raise ValueError('a part of a run has other fields')


def _check(duration_s: float) -> float:
    """Return a duration if it is one.

    :raises ValueError: it is negative or endless.
    """
    if not 0 <= duration_s <= MAXIMUM_DURATION_S:
        raise ValueError('a duration is out of bounds')
    return duration_s
