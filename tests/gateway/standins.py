"""A store and targets that speak the platform's protocol on loopback."""

import asyncio
import base64
import json
import socket

import h11
from attrs import define, field

from trefoilhinge.dispatch.settings import Bounds, GatewaySettings

HOST = '127.0.0.1'
SEAL = ('X-Server-Seal', 'seal-1')


def find_port():
    """Return a port that is free now."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


def make_settings(store_port, seeds=(), ip=HOST, port=None, **bounds):
    """Return settings of an instance on loopback."""
    usual = {
        'grace_s': 8,
        'repeat_ratio': 0.2,
        'repeat_slack': 104,
        'repeat_window_s': 10,
        'free_s': 4,
        'hold_maximum_s': 20,
    }
    return GatewaySettings(
        instance=f'entry-{ip}',
        ip=ip,
        failure_domain='a',
        entry=(ip, find_port()),
        readiness=(ip, find_port()),
        control=(ip, find_port()),
        metrics=(ip, find_port()),
        first_port=port or find_port(),
        seeds=tuple(seeds),
        store=(HOST, store_port),
        memory_mb=300,
        bounds=Bounds(**{**usual, **bounds}),
    )


def make_document(version=1, **fields):
    """Return a configuration as the operator writes it."""
    engine = {
        'slots': 8,
        'kvCapacity': 232000,
        'stride': 43,
        'step_ms': 1.02,
        'per_seq_ms': 0.00452,
        'context_per_k': 0.00431,
        'read_per_s': 206000.0,
        'pairs_per_m': 0.138,
        'chunk': 2048,
    }
    document = {
        'version': version,
        'routes': [
            make_route('stream', 'stream', 'model', 300, resumable=True),
            make_route('book', 'non_idempotent', 'desk', 100, attempts=1),
            make_route('look', 'idempotent', 'desk', 100),
        ],
        'services': [
            {'name': 'model', 'maxConns': 100, 'engine': engine},
            {'name': 'desk', 'maxConns': 100},
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 100000,
            'headerTimeoutMs': 1000,
            'idleTimeoutMs': 2000,
        },
        'tenants': [{'name': 'mill', 'apiKeys': ['key-1'], 'priority': 1}],
    }
    return {**document, **fields}


def make_route(name, kind, service, aim_ms, **fields):
    """Return a route as the operator writes it."""
    usual = {
        'name': name,
        'host': 'desk.example',
        'prefix': f'/{name}/',
        'kind': kind,
        'timeoutMs': 3000,
        'sloMs': aim_ms,
        'priority': 1,
        'service': service,
        'attempts': 2,
        'gapAimMs': 250,
    }
    return {**usual, **fields}


async def serve_http(host, port, answer):
    """Serve with a coroutine that gets each request and a writer."""

    async def handle(reader, writer):
        parser = h11.Connection(h11.SERVER)
        request = None
        body = b''
        try:
            while True:
                event = parser.next_event()
                if event is h11.NEED_DATA:
                    parser.receive_data(await reader.read(65536))
                elif isinstance(event, h11.Request):
                    request, body = event, b''
                elif isinstance(event, h11.Data):
                    body += bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    await answer(Asked(request, body, parser, writer, reader))
                    if parser.our_state is not h11.DONE:
                        return
                    parser.start_next_cycle()
                else:
                    return
        except (OSError, h11.ProtocolError):
            return
        finally:
            writer.close()

    return await asyncio.start_server(handle, host, port)


@define
class Asked:
    """A request with the means to answer it."""

    request: h11.Request
    body: bytes
    parser: h11.Connection
    writer: asyncio.StreamWriter
    reader: asyncio.StreamReader

    @property
    def path(self):
        return self.request.target.decode()

    @property
    def headers(self):
        return {
            name.decode(): value.decode()
            for name, value in self.request.headers
        }

    async def reply(self, status, content=b'', headers=()):
        """Send a whole answer."""
        length = ('Content-Length', str(len(content)))
        await self.begin(status, [*headers, length])
        self.writer.write(self.parser.send(h11.Data(data=content)) or b'')
        await self.finish()

    async def begin(self, status, headers=()):
        """Send a head."""
        echo = ('X-Request-Id', self.headers.get('x-request-id', ''))
        event = h11.Response(status_code=status, headers=[echo, *headers])
        self.writer.write(self.parser.send(event))
        await self.writer.drain()

    async def send(self, content):
        """Send a part of the content."""
        self.writer.write(self.parser.send(h11.Data(data=content)))
        await self.writer.drain()

    async def finish(self):
        """End the answer."""
        self.writer.write(self.parser.send(h11.EndOfMessage()) or b'')
        await self.writer.drain()


@define
class StoreStandIn:
    """The platform's store: items, revisions, watches."""

    port: int = field(factory=find_port)
    items: dict = field(factory=dict)
    events: list = field(factory=list)
    revision: int = 1
    is_down: bool = False
    history_from: int = 0
    calls: list = field(factory=list)
    _server: object = None

    async def start(self):
        self._server = await serve_http(HOST, self.port, self._answer)

    def put(self, key, fields):
        """Write an item."""
        self.revision += 1
        value = (
            fields if isinstance(fields, bytes) else json.dumps(fields).encode()
        )
        item = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'rev': self.revision,
            'created': 1,
            'lease': 0,
        }
        self.items[key] = item
        self.events.append(item)

    def remove(self, key):
        """Remove an item."""
        self.revision += 1
        self.items.pop(key, None)
        gone = {'key': key, 'rev': self.revision, 'tombstone': True}
        self.events.append(gone)

    def put_target(self, name, address, service='model', **fields):
        """Write a target's entry."""
        usual = {
            'service': service,
            'address': address,
            'zone': 'a',
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'coldLeftMs': 0,
            'seq': 1,
            'born': 1000,
        }
        self.put(f'servers/{name}', {**usual, **fields})

    async def _answer(self, asked):
        self.calls.append(asked.path)
        if self.is_down:
            await asked.reply(503)
            return
        path, _, query = asked.path.partition('?')
        fields = dict(pair.split('=') for pair in query.split('&'))
        if path == '/kv-key':
            item = self.items.get(fields['key'].replace('%2F', '/'))
            status = 200 if item else 404
            content = {**(item or {}), 'currentRev': self.revision}
        elif path == '/kv-range':
            status = 200
            content = self._list(fields)
        else:
            status, content = await self._watch(fields)
        await asked.reply(status, json.dumps(content).encode())

    def _list(self, fields):
        prefix = fields['prefix'].replace('%2F', '/')
        after = fields.get('after', '').replace('%2F', '/')
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        page = [self.items[key] for key in keys[:2]]
        return {
            'items': page,
            'truncated': len(keys) > 2,
            'currentRev': self.revision,
        }

    async def _watch(self, fields):
        after = int(fields['after'])
        for _ in range(int(fields['waitMs']) // 10):
            if after < self.history_from:
                return 410, {}
            events = [one for one in self.events if one['rev'] > after]
            if events or self.is_down:
                break
            await asyncio.sleep(0.01)
        return 200, {'events': events, 'currentRev': self.revision}


@define
class TargetStandIn:
    """A target whose answers a test scripts.

    :ivar behave: coroutine that answers an asked request.
    :ivar asked: requests that it got, in order.
    :ivar orders: bodies of its orders, in order.
    """

    name: str
    behave: object = None
    port: int = field(factory=find_port)
    asked: list = field(factory=list)
    orders: list = field(factory=list)
    gone: int = 0
    _server: object = None

    @property
    def address(self):
        return f'{HOST}:{self.port}'

    async def start(self):
        self._server = await serve_http(HOST, self.port, self._answer)

    async def stop(self):
        self._server.close()

    async def _answer(self, asked):
        if asked.path == '/order':
            self.orders.append(json.loads(asked.body))
            await asked.reply(200, b'{"free": 1}')
            return
        self.asked.append(asked)
        await self.behave(asked)


def write_event(number):
    """Return an event of a stream."""
    return b'id: %d\ndata: words\n\n' % number


def stream(first=1, last=5, pause_s=0):
    """Return a behaviour that streams events to its end."""

    async def behave(asked):
        begin = int(asked.headers.get('last-event-id', first - 1)) + 1
        await asked.begin(200, [SEAL, ('Content-Type', 'text/event-stream')])
        for number in range(begin, last + 1):
            await asked.send(write_event(number))
            await asyncio.sleep(pause_s)
        await asked.finish()

    return behave


def stream_torn(upto):
    """Return a behaviour that breaks off inside the event after one."""

    async def behave(asked):
        await asked.begin(200, [SEAL])
        for number in range(1, upto + 1):
            await asked.send(write_event(number))
        await asked.send(b'id: %d\nda' % (upto + 1))
        asked.writer.transport.abort()

    return behave


def reply(status, content=b'{}', headers=(SEAL,)):
    """Return a behaviour that answers whole."""

    async def behave(asked):
        await asked.reply(status, content, headers)

    return behave


async def reset(asked):
    """Run the call and lose the answer."""
    asked.writer.transport.abort()


async def stay_mute(asked):
    """Never answer."""
    await asyncio.sleep(60)
