"""A replica leaves while the store cuts watches that wait."""

import asyncio
import itertools
import pathlib
import time

from review.standins.cases import Record, run_case
from review.standins.deployment import (
    DRAIN_S,
    Deployment,
    make_config,
    make_entry,
    make_headers,
    make_route,
)
from review.standins.http import Exchange, request, serve

GATEWAYS = 3
REPLICAS = 3
WORK_S = 0.09  # of a booking
CLIENTS = 6  # at each gateway, one booking after the other
CLIENT_PAUSE_S = 0.1
CUT_AFTER_S = 1.0  # of a watch that waits
STEADY_S = 8.0  # before the replica leaves, more than stableMs
SERVES_ON_S = DRAIN_S + 3.0  # after its entry was removed
AFTERMATH_S = 2.0


class Replica:
    """A replica of the booking service."""

    def __init__(self, name: str, address: tuple[str, int]) -> None:
        """Create a replica that does not listen yet."""
        self.name = name
        self.address = address
        self.arrivals: list[tuple[float, str]] = []
        self._running: dict[str, Exchange] = {}
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start listening."""
        self._server = await serve(*self.address, self._handle)

    def exit(self) -> list[str]:
        """End like a process; return the bookings that this cut."""
        cut = list(self._running)
        if self._server is not None:
            self._server.close()
        for exchange in self._running.values():
            exchange.reset()
        return cut

    async def _handle(self, exchange: Exchange) -> None:
        request_id = exchange.headers.get('x-request-id', '')
        if exchange.headers.get('x-expect-replica') != self.name:
            await exchange.respond(421, headers={'X-Replica-Id': self.name})
            return
        self.arrivals.append((time.monotonic(), request_id))
        self._running[request_id] = exchange
        try:
            await asyncio.sleep(WORK_S)
            await exchange.respond(
                200,
                f'booked {request_id}'.encode(),
                {'X-Request-Id': request_id, 'X-Server-Seal': 'seal'},
            )
        finally:
            self._running.pop(request_id, None)


async def play(
    deployment: Deployment, record: Record, has_trouble: bool
) -> bool:
    """Return whether a request reached the replica after drainMs."""
    store = deployment.store
    port = deployment.network.replica_port
    replicas = [
        Replica(f'i-{index}', (deployment.network.make_ip(), port))
        for index in range(REPLICAS)
    ]
    for replica in replicas:
        await replica.start()
        host = replica.address[0]
        store.put(
            f'servers/{replica.name}',
            make_entry('yard-ops', f'{host}:{port}', slots=6),
        )
    route = make_route(
        'book', 'non_idempotent', 'yard-ops', attempts=1, timeoutMs=3000
    )
    store.put('op/config', make_config(7, [route]))
    if has_trouble:
        store.cut_after_s = CUT_AFTER_S
    deployment.add_gateways(GATEWAYS)
    await deployment.start()
    numbers = itertools.count(1)
    ends: list[tuple[str, str]] = []

    async def book(entry: tuple[str, int]) -> None:
        while True:
            request_id = f'{next(numbers):016x}'
            headers = make_headers(request_id, 3000)
            answer = await request(
                entry, 'POST', '/book/1', headers, b'truck', 4.0
            )
            ends.append((request_id, answer.problem or str(answer.status)))
            await asyncio.sleep(CLIENT_PAUSE_S)

    clients = [
        asyncio.ensure_future(book(gateway.entry))
        for gateway in deployment.gateways
        for _ in range(CLIENTS)
    ]
    await asyncio.sleep(STEADY_S)
    leaving = replicas[0]
    removed_s = store.remove(f'servers/{leaving.name}')
    record.write(f'the store acknowledged that {leaving.name} is gone')
    await asyncio.sleep(SERVES_ON_S)
    cut = leaving.exit()
    record.write(f'{leaving.name} exited')
    await asyncio.sleep(AFTERMATH_S)
    for client in clients:
        client.cancel()
    late = [
        (arrived_s - removed_s, request_id)
        for arrived_s, request_id in leaving.arrivals
        if arrived_s > removed_s + DRAIN_S
    ]
    for after_s, request_id in late:
        record.write(
            f'{request_id} reached {leaving.name} {after_s:.3f} s after the'
            ' acknowledgement'
        )
    answered = dict(ends)
    for request_id in cut:
        record.write(
            f'{request_id} was cut by the exit; its client got'
            f' {answered.get(request_id, "nothing")}'
        )
    for end in sorted({end for _, end in ends}):
        count = sum(one == end for _, one in ends)
        record.write(f'{count} bookings ended with {end}')
    record.write(f'{store.cuts} watches were cut; {len(late)} late arrivals')
    return bool(late)


run_case(pathlib.Path(__file__).parent, play)
