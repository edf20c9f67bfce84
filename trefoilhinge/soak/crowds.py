"""Clients that do not behave: many at a time, at one instance."""

import asyncio
import contextlib
import itertools
import pathlib
import time

from trefoilhinge.platform.standins import formats
from trefoilhinge.soak.callers import COMMON_PREFIX
from trefoilhinge.soak.crowd_checks import ObservedCrowd
from trefoilhinge.soak.event_kinds import CrowdKind
from trefoilhinge.soak.fleets import SoakFleet
from trefoilhinge.soak.instances import Instance
from trefoilhinge.soak.plans import PlannedEvent

CLIENTS = 800
BODY_BYTES = 99_000  # within the limit of the soak's document
CHUNKS = 20_000
DEADLINE_S = 8.0
KB_PER_MB = 1024

_numbers = itertools.count(1)


async def send_crowd(fleet: SoakFleet, event: PlannedEvent) -> None:
    """Let clients of one kind connect and stay, then record the memory."""
    instances = fleet.instances
    instance = instances[int(event.selector * len(instances))]
    starts = instance.starts
    kind = CrowdKind(event.kind)
    key = min(fleet.keys)
    clients = [
        asyncio.ensure_future(_send(instance, kind, key))
        for _ in range(CLIENTS)
    ]
    await asyncio.wait(clients, timeout=event.duration_s)
    peak_mb = read_peak_mb(instance)
    for client in clients:
        client.cancel()
    for one in await asyncio.gather(*clients, return_exceptions=True):
        if isinstance(one, Exception):
            raise one
    # Another event may have ended the process meanwhile.
    if peak_mb is not None and instance.starts == starts:
        fleet.observations.crowds.append(
            ObservedCrowd(instance.name, kind, peak_mb, instance.memory_mb)
        )


def read_peak_mb(instance: Instance) -> float | None:
    """Return the peak of the resident memory of an instance's process.

    :return: none if it is not running.
    """
    try:
        status = pathlib.Path(f'/proc/{instance.pid}/status').read_text()
    except OSError:
        return None
    for line in status.splitlines():
        name, _, value = line.partition(':')
        if name == 'VmHWM':
            return int(value.split()[0]) / KB_PER_MB
    return None


async def _send(instance: Instance, kind: CrowdKind, key: str) -> None:
    """Send most of a request, and stay connected."""
    with contextlib.suppress(OSError):
        reader, writer = await asyncio.open_connection(*instance.entry)
        with contextlib.closing(writer.transport):
            writer.write(_make_part(kind, key))
            await writer.drain()
            # Refusals are read, and the clients stay.
            await reader.read()
            await asyncio.sleep(DEADLINE_S)


def _make_part(kind: CrowdKind, key: str) -> bytes:
    """Return a request without its last bytes."""
    if kind is CrowdKind.connections:
        return b'POST /book/1 HTTP/1.1\r\n'
    request_id = f'{COMMON_PREFIX}crowd-{next(_numbers)}-{time.monotonic()}'
    fields = formats.encode_caller_headers(request_id, key, DEADLINE_S)
    if kind is CrowdKind.bodies:
        framing = ('Content-Length', str(BODY_BYTES))
        body = b'.' * (BODY_BYTES - 1)
    else:
        framing = ('Transfer-Encoding', 'chunked')
        body = b'1\r\n.\r\n' * CHUNKS
    lines = [f'{name}: {value}' for name, value in (*fields, framing)]
    head = '\r\n'.join(['POST /book/1 HTTP/1.1', *lines, '', ''])
    return head.encode() + body
