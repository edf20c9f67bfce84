"""Callers that read a long answer slowly while their instance stops."""

import asyncio
import itertools
import socket
import time

import h11

from trefoilhinge.platform.standins import formats
from trefoilhinge.soak.callers import (
    COMMON_PREFIX,
    READ_BYTES,
    apply_event,
)
from trefoilhinge.soak.instances import Instance
from trefoilhinge.soak.observations import ObservationLog
from trefoilhinge.soak.records import LONG_NAME, CallKind, ObservedCall

READERS = 2
DEADLINE_S = 7.8  # shorter than the time that a stop leaves to running calls
# The kernel holds the less of an answer, the smaller this is.
RECEIVE_BUFFER_BYTES = 65_536
# Until the order to stop: the target has answered then.
ANSWER_TIME_S = 0.5
# An instance that does not wait for them has exited by then, also a busy one.
PAUSE_S = 6.3
SLOW_BYTES = 4096  # read in each interval of the pause
SLOW_INTERVAL_S = 0.1

_numbers = itertools.count(1)


async def read_slowly(
    instance: Instance, key: str, observations: ObservationLog
) -> None:
    """Make a call, and read its answer slowly until the pause is over."""
    call = ObservedCall(
        request_id=f'{COMMON_PREFIX}slow-{next(_numbers)}-{key}',
        kind=CallKind.idempotent,
        instance=instance.name,
        sent_s=time.monotonic(),
        deadline_s=DEADLINE_S,
        is_long=True,
    )
    observations.calls.append(call)
    try:
        async with asyncio.timeout(DEADLINE_S):
            await _exchange(instance, key, call)
    except (OSError, TimeoutError, h11.ProtocolError):
        call.is_complete = False
    call.ended_s = time.monotonic()
    call.is_stopping = instance.is_stopping


async def _exchange(instance: Instance, key: str, call: ObservedCall) -> None:
    loop = asyncio.get_running_loop()
    with socket.socket() as raw:
        raw.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        raw.setblocking(False)
        await loop.sock_connect(raw, instance.entry)
        parser = h11.Connection(h11.CLIENT)
        request = h11.Request(
            method='GET',
            target=f'/{call.kind.value}/{LONG_NAME}',
            headers=formats.encode_caller_headers(
                call.request_id, key, call.deadline_s
            ),
        )
        await loop.sock_sendall(raw, parser.send(request) or b'')
        parser.send(h11.EndOfMessage())
        while not call.is_complete:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(await _receive(raw, call))
                continue
            if isinstance(event, h11.ConnectionClosed):
                return
            apply_event(call, event)


async def _receive(raw: socket.socket, call: ObservedCall) -> bytes:
    loop = asyncio.get_running_loop()
    if time.monotonic() >= call.sent_s + PAUSE_S:
        return await loop.sock_recv(raw, READ_BYTES)
    await asyncio.sleep(SLOW_INTERVAL_S)
    return await loop.sock_recv(raw, SLOW_BYTES)
