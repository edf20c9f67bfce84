"""Callers that use connections to an instance until its process has ended."""

import asyncio
import enum
import itertools
import time
from collections.abc import Sequence
from typing import Any

import h11
from attrs import field, frozen

from trefoilhinge.platform.standins import formats
from trefoilhinge.soak.callers import (
    CALL_INTERVAL_S,
    COMMON_PREFIX,
    RESPONSE_GRACE_S,
    SHARED_TOKENS,
    read_answer,
)
from trefoilhinge.soak.connections import CONNECT_TIMEOUT_S
from trefoilhinge.soak.demands import QUEUED_DEMAND
from trefoilhinge.soak.instances import Instance
from trefoilhinge.soak.observations import ObservationLog
from trefoilhinge.soak.records import QUEUED_NAME, CallKind, ObservedCall

ROUTE_TIMEOUT_S = 3.0  # of calls that do not wait
SHORT_TOKENS = '5000,1300'
# Of calls whose bodies arrive slowly. Some are not whole at the exit.
BODY_DURATIONS_S = (1.5, 4.0, 9.0)
BODY_INTERVAL_S = 0.1
BODY_PART = bytes(512)


class KeptUse(enum.Enum):
    """What calls a connection carries, one after another.

    ``pipelined`` calls are sent several at once, and the bodies of
    ``slow_body`` ones arrive slowly. A ``slow_plain`` call may not be
    repeated, and its target works long.
    """

    plain = 'plain'
    queued = 'queued'
    pipelined = 'pipelined'
    slow_body = 'slow_body'
    slow_plain = 'slow_plain'


# A connection of an instance that stops for each.
KEPT_USES = (
    KeptUse.plain,
    KeptUse.queued,
    KeptUse.queued,
    KeptUse.pipelined,
    KeptUse.slow_body,
    KeptUse.slow_body,
    KeptUse.slow_plain,
)
PIPELINED_KINDS = (
    CallKind.idempotent,
    CallKind.stream,
    CallKind.non_idempotent,
)

_DONE = {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}
_numbers = itertools.count(1)


@frozen
class _Exchange:
    """A call and what is sent for it.

    :ivar parts: parts of its body.
    """

    call: ObservedCall
    headers: list[tuple[str, str]]
    name: str = f'{QUEUED_NAME}/1'
    parts: int = 0
    parser: h11.Connection = field(factory=lambda: h11.Connection(h11.CLIENT))


async def use_until_exit(
    instance: Instance, key: str, observations: ObservationLog, use: KeptUse
) -> None:
    """Make calls on connections to an instance until its process has ended."""
    starts = instance.starts
    durations_s = itertools.cycle(BODY_DURATIONS_S)
    while instance.is_running and instance.starts == starts:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*instance.entry)
        except OSError:
            await asyncio.sleep(CALL_INTERVAL_S)
            continue
        is_open = True
        try:
            while is_open and instance.starts == starts:
                body_s = next(durations_s)
                exchanges = _make_exchanges(instance, key, use, body_s)
                observations.calls.extend(one.call for one in exchanges)
                is_open = await _exchange(reader, writer, exchanges)
                _record_end(instance, exchanges)
                await asyncio.sleep(CALL_INTERVAL_S)
        finally:
            writer.close()


def _record_end(instance: Instance, exchanges: Sequence[_Exchange]) -> None:
    now_s = time.monotonic()
    for one in exchanges:
        one.call.ended_s = one.call.ended_s or now_s
        one.call.is_stopping = instance.is_stopping
        one.call.stop_ordered_s = instance.stop_ordered_s


def _make_exchanges(
    instance: Instance, key: str, use: KeptUse, body_s: float
) -> list[_Exchange]:
    match use:
        case KeptUse.queued:
            size = QUEUED_DEMAND.token_count
            return [_make_exchange(instance, key, CallKind.stream, size)]
        case KeptUse.slow_body:
            return [
                _make_exchange(
                    instance,
                    key,
                    CallKind.stream,
                    SHORT_TOKENS,
                    parts=int(body_s / BODY_INTERVAL_S),
                )
            ]
        case KeptUse.slow_plain:
            return [_make_exchange(instance, key, CallKind.non_idempotent)]
        case KeptUse.plain:
            kinds: Sequence[CallKind] = (CallKind.idempotent,)
        case KeptUse.pipelined:
            kinds = PIPELINED_KINDS
    return [
        _make_exchange(
            instance, key, kind, SHORT_TOKENS, ROUTE_TIMEOUT_S, name='1'
        )
        for kind in kinds
    ]


def _make_exchange(
    instance: Instance,
    key: str,
    kind: CallKind,
    token_count: str = '',
    deadline_s: float = QUEUED_DEMAND.deadline_s,
    **options: Any,
) -> _Exchange:
    call = ObservedCall(
        request_id=f'{COMMON_PREFIX}kept-{next(_numbers)}-{key}',
        kind=kind,
        instance=instance.name,
        sent_s=time.monotonic(),
        deadline_s=deadline_s,
        key=key,
        may_outlast_stop=True,
    )
    sizes = {}
    if kind is CallKind.stream:
        sizes = {
            'X_Token_Count': token_count,
            'X_Model': 'm',
            'X_Prompt_Prefix': formats.encode_prompt_parts(
                {'shared': SHARED_TOKENS, call.request_id: SHARED_TOKENS}
            ),
        }
    headers = formats.encode_caller_headers(
        call.request_id, key, call.deadline_s, **sizes
    )
    return _Exchange(call, headers, **options)


async def _exchange(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    exchanges: Sequence[_Exchange],
) -> bool:
    """Send calls and read their answers; return whether others may follow."""
    sending = asyncio.ensure_future(_send(writer, exchanges))
    try:
        async with asyncio.timeout(QUEUED_DEMAND.deadline_s + RESPONSE_GRACE_S):
            return await _read_answers(reader, exchanges)
    except (OSError, h11.ProtocolError):
        return False
    finally:
        sending.cancel()


async def _send(
    writer: asyncio.StreamWriter, exchanges: Sequence[_Exchange]
) -> None:
    for one in exchanges:
        length = ('Content-Length', str(one.parts * len(BODY_PART)))
        request = h11.Request(
            method='GET' if one.call.kind is CallKind.idempotent else 'POST',
            target=f'/{one.call.kind.value}/{one.name}',
            headers=[*one.headers, length],
        )
        writer.write(one.parser.send(request) or b'')
        for _ in range(one.parts):
            await asyncio.sleep(BODY_INTERVAL_S)
            writer.write(one.parser.send(h11.Data(data=BODY_PART)) or b'')
        one.parser.send(h11.EndOfMessage())
        one.call.whole_s = time.monotonic()


async def _read_answers(
    reader: asyncio.StreamReader, exchanges: Sequence[_Exchange]
) -> bool:
    received = b''
    is_open = True
    for one in exchanges:
        if not is_open:
            one.call.follows_close = True
            continue
        if received:
            one.parser.receive_data(received)
        await read_answer(one.parser, reader, one.call)
        one.call.ended_s = time.monotonic()
        if not one.call.is_complete:
            return False
        received = one.parser.trailing_data[0]
        is_open = one.parser.states == _DONE
    return is_open
