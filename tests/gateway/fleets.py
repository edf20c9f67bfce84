"""A gateway instance with a fake platform, in the event loop of a test."""

import asyncio
import contextlib

import h11
from attrs import define, evolve, field

from tests.gateway.documents import (
    HOST,
    make_document,
    make_host,
    make_settings,
)
from tests.gateway.partitions import start_gateway
from tests.gateway.stores import StoreStandIn
from tests.gateway.targets import TargetStandIn
from trefoilhinge.gateway.daemon import Gateway, make_gateway

READY_WAIT_S = 5


@define
class Answer:
    """An answer as its caller received it.

    :ivar is_complete: whether the content arrived to its end.
    """

    status: int
    headers: dict
    content: bytes
    is_complete: bool


@define
class Fleet:
    """One instance with a store and targets."""

    store: StoreStandIn
    targets: dict
    gateway: Gateway
    settings: object
    tasks: list = field(factory=list)

    @property
    def state(self):
        return self.gateway._state

    async def wait_for(self, condition, limit_s=READY_WAIT_S):
        """Wait until a condition holds."""
        async with asyncio.timeout(limit_s):
            while not condition():
                await asyncio.sleep(0.01)

    async def send_raw(self, data):
        """Send raw bytes on a new connection and read one answer."""
        reader, writer = await asyncio.open_connection(*self.settings.entry)
        writer.write(data)
        try:
            return await read_answer(reader)
        finally:
            writer.close()

    async def call(self, path='/stream/1', method='POST', **headers):
        """Make a call and read its answer."""
        return await self.send_raw(make_call(path, method, **headers))


def make_call(path='/stream/1', method='POST', body=b'prompt', **headers):
    """Return the bytes of a call.

    A header that is empty is left out.
    """
    defaults = {
        'Host': 'desk.example',
        'X-Request-Id': 'r-1',
        'X-Deadline': '2500',
        'Api-Key': 'key-1',
    }
    if path.startswith('/stream'):
        defaults['X-Token-Count'] = '5000,1300'
        defaults['X-Model'] = 'm'
    named = {name.replace('_', '-'): text for name, text in headers.items()}
    lines = [f'{method} {path} HTTP/1.1']
    merged = {**defaults, **named}
    lines.extend(f'{name}: {text}' for name, text in merged.items() if text)
    if method != 'GET':
        lines.append(f'Content-Length: {len(body)}')
    head = '\r\n'.join((*lines, '', '')).encode()
    return head + (body if method != 'GET' else b'')


async def read_answer(reader):
    """Read one answer, which may be truncated."""
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method='GET', target='/', headers=[('Host', 'h')]))
    parser.send(h11.EndOfMessage())
    answer = Answer(0, {}, b'', is_complete=False)
    with contextlib.suppress(OSError, h11.RemoteProtocolError):
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(await reader.read(65536))
            elif isinstance(event, h11.Response):
                answer.status = event.status_code
                answer.headers = {
                    name.decode(): value.decode()
                    for name, value in event.headers
                }
            elif isinstance(event, h11.Data):
                answer.content += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                answer.is_complete = True
                return answer
            else:
                return answer
    return answer


@contextlib.asynccontextmanager
async def run_fleet(
    document=None,
    has_document=True,
    bounds=None,
    settings_fields=None,
    **handlers,
):
    """Run an instance with a target for each handler, named by its keyword.

    :param bounds: bounds of the settings to replace.
    :param settings_fields: other fields of the settings to replace.

    Targets whose name begins with ``d`` belong to the plain service.
    """
    store = StoreStandIn()
    await store.start()
    targets = {}
    for name, handle in handlers.items():
        target = TargetStandIn(name, handle)
        await target.start()
        targets[name] = target
        service = 'desk' if name.startswith('d') else 'model'
        store.put_target(name, target.address, service)
    if has_document:
        store.put('op/config', document or make_document())
    settings = evolve(
        make_settings(store.port, **(bounds or {})), **(settings_fields or {})
    )
    gateway = make_gateway(settings)
    fleet = Fleet(store, targets, gateway, settings)
    task = start_gateway(gateway)
    try:
        if has_document:
            await fleet.wait_for(
                lambda: (
                    fleet.state.is_ready
                    and len(fleet.state.directory.records) == len(targets)
                )
            )
        else:
            await asyncio.sleep(0.2)
        yield fleet
    finally:
        task.cancel()
        gateway.close()
        await asyncio.gather(task, return_exceptions=True)


@contextlib.asynccontextmanager
async def run_peers(fleet, count):
    """Run further instances of a fleet until all know each other."""
    gateways = [
        make_gateway(
            make_settings(
                fleet.store.port,
                [HOST],
                make_host(2 + number),
                fleet.settings.first_port,
            )
        )
        for number in range(count)
    ]
    tasks = [start_gateway(one) for one in gateways]
    try:
        await fleet.wait_for(
            lambda: all(
                one._state.is_ready and len(one._state.peers.peers) == count
                for one in (fleet.gateway, *gateways)
            )
        )
        yield [
            Fleet(fleet.store, fleet.targets, one, one._state.settings)
            for one in gateways
        ]
    finally:
        for task, gateway in zip(tasks, gateways, strict=True):
            task.cancel()
            gateway.close()
        await asyncio.gather(*tasks, return_exceptions=True)
