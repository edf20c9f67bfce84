"""Encoding of the datagrams between instances, as MessagePack arrays.

The messages are small and binary because traffic between failure domains is
expensive. The first entry of an array identifies the kind of message.
"""

from collections.abc import Callable
from types import UnionType
from typing import Any

import msgpack
from expression import Error, Ok, Result
from msgpack.exceptions import UnpackException

from trefoilhinge.dispatch.admission.codec import (
    ADMISSION_KINDS,
    AdmissionMessage,
    decode_admission_message,
    list_admission_fields,
)
from trefoilhinge.dispatch.estimation.summary_codec import (
    SUMMARY_KIND,
    decode_summary,
    list_summary_fields,
)
from trefoilhinge.dispatch.evacuation_codec import (
    EVACUATION_KIND,
    decode_mark,
    list_mark_fields,
)
from trefoilhinge.dispatch.evacuations import DomainMark
from trefoilhinge.dispatch.loads import Run, RunPart
from trefoilhinge.dispatch.message_checks import (
    check_ip,
    check_origin,
    check_range,
)
from trefoilhinge.dispatch.messages import (
    CostsSummarised,
    InstanceLeft,
    Message,
    PermitMessage,
    QuarantineMessage,
    RunEnded,
    RunFirstEvent,
    RunMessage,
    RunSent,
    RunStarted,
    ServicesUnreachable,
    TargetEjected,
    TargetLeaving,
    TargetSlowdown,
)
from trefoilhinge.dispatch.peers import Heartbeat
from trefoilhinge.dispatch.permit_codec import (
    PERMIT_KINDS,
    decode_permit_message,
    list_permit_fields,
)
from trefoilhinge.dispatch.quarantine_codec import (
    QUARANTINE_KINDS,
    decode_quarantine_message,
    list_quarantine_fields,
)
from trefoilhinge.dispatch.store_read_codec import (
    STORE_READ_KIND,
    StoreRead,
    decode_store_read,
    list_store_read_fields,
)
from trefoilhinge.dispatch.warmup.codec import (
    COLD_KIND,
    TargetCold,
    decode_cold_message,
    list_cold_fields,
)
from trefoilhinge.exceptions import MALFORMED_CONTENT_ERRORS

MAXIMUM_DATAGRAM_BYTES = 1_400  # fits one packet
MAXIMUM_SERVICES = 16  # in one message, so that it fits a packet
_RUN_CHANGES: dict[str, type[RunSent | RunFirstEvent | RunEnded]] = {
    's': RunSent,
    'f': RunFirstEvent,
    'e': RunEnded,
}
_RUN_CHANGE_KINDS = {change: kind for kind, change in _RUN_CHANGES.items()}


# What lists the fields of the messages of one part, and what decodes them. Run
# messages, the most frequent ones, are in this module.
_FieldLister = Callable[[Any], list[object]]
_FIELD_LISTERS: tuple[tuple[type | UnionType, _FieldLister], ...] = (
    (PermitMessage, list_permit_fields),
    (QuarantineMessage, list_quarantine_fields),
    (DomainMark, list_mark_fields),
    (TargetCold, list_cold_fields),
    (CostsSummarised, list_summary_fields),
    (AdmissionMessage, list_admission_fields),
    (StoreRead, list_store_read_fields),
)
_DECODERS: dict[object, Callable[[list[object], float], Message]] = {
    **dict.fromkeys(PERMIT_KINDS, decode_permit_message),
    **dict.fromkeys(QUARANTINE_KINDS, decode_quarantine_message),
    **dict.fromkeys(ADMISSION_KINDS, decode_admission_message),
    EVACUATION_KIND: lambda fields, _: decode_mark(fields),
    COLD_KIND: lambda fields, _: decode_cold_message(fields),
    SUMMARY_KIND: lambda fields, _: decode_summary(fields),
    STORE_READ_KIND: lambda fields, _: decode_store_read(fields),
}


def encode_message(message: Message) -> bytes:
    """Return the encoded message."""
    return bytes(
        msgpack.packb(_list_all_fields(message), use_single_float=True)
    )


def decode_message(data: bytes, now_s: float) -> Result[Message, str]:
    """Decode a datagram; the error describes why it is invalid.

    :param now_s: monotonic seconds of arrival, from which durations count.
    """
    try:
        return Ok(_decode_fields(msgpack.unpackb(data), now_s))
    except UnpackException as problem:
        return Error(f'{type(problem).__name__}: {problem}')
    except MALFORMED_CONTENT_ERRORS as problem:
        return Error(f'{type(problem).__name__}: {problem}')


def _decode_fields(fields: object, now_s: float) -> Message:
    if isinstance(fields, list) and fields and isinstance(fields[0], str):
        decode = _DECODERS.get(fields[0])
        if decode is not None:
            return decode(fields, now_s)
    return _decode(fields, now_s)


def _list_all_fields(message: Message) -> list[object]:
    if isinstance(message, RunMessage):
        return _list_fields(message)
    for kind, list_fields in _FIELD_LISTERS:
        if isinstance(message, kind):
            return list_fields(message)
    raise TypeError(f'no message to other instances: {type(message).__name__}')


def _list_fields(message: RunMessage) -> list[object]:
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
        case InstanceLeft(origin):
            return ['x', origin]
        case RunStarted(run, maximum_duration_s):
            return ['r', *_list_run(run), maximum_duration_s]
        case RunSent() | RunFirstEvent() | RunEnded():
            kind = _RUN_CHANGE_KINDS[type(message)]
            return [kind, message.origin, message.number]
        case TargetLeaving(name, started_ms, revision):
            return ['l', name, started_ms, revision]
        case TargetEjected(name, duration_s):
            return ['a', name, duration_s]
        case TargetSlowdown(name, slowdown):
            return ['p', name, slowdown]
        case ServicesUnreachable(origin, services):
            return ['u', origin, list(services[:MAXIMUM_SERVICES])]


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


def _decode(fields: object, now_s: float) -> RunMessage:
    match fields:
        case ['w', *heartbeat]:
            return _decode_heartbeat(heartbeat)
        case ['r', *run, int() | float() as maximum_duration_s]:
            return RunStarted(
                _decode_run(run, now_s), check_range(maximum_duration_s)
            )
        case ['x', str(origin)]:
            return InstanceLeft(check_origin(origin))
        case [('s' | 'f' | 'e') as kind, str(origin), int(number)]:
            return _RUN_CHANGES[kind](origin, number)
        case ['l', str(name), int(started_ms), int(revision)]:
            return TargetLeaving(name, started_ms, revision)
        case ['a', str(name), int() | float() as duration_s]:
            return TargetEjected(name, check_range(duration_s))
        case ['p', str(name), int() | float() as slowdown]:
            return TargetSlowdown(name, check_range(slowdown))
        case ['u', str(origin), list(services)]:
            names = tuple(str(name) for name in services)
            return ServicesUnreachable(check_origin(origin), names)
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
            names = tuple(check_ip(str(name)) for name in known)
            return Heartbeat(
                check_ip(ip),
                origin,
                domain,
                version,
                revision,
                store_unreachable,
                names,
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
                check_range(gap_slo_s),
                now_s,
                check_range(send_delay_s),
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
                target, check_range(prefill_s), memory_tokens, has_slot
            )
        case _:
            raise ValueError('part of a run with unexpected fields')
