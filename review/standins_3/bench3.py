"""Small stand-ins for the scripts of the third review, on loopback addresses.

They use the standard library only: a store, replicas, clients, and gateway
processes that are started with the command of the deploy file.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qsl

ROOT = pathlib.Path(__file__).resolve().parents[2]
MODEL = 'model-a'
DESK = 'desk-b'
HOST = 'ficu95.example'
KEY = 'n2ctnfzs989anu6wsjnb'
TENANT = 'hule930'
LOCAL = '127.0.0.1'
FIRST_PORT = 7340


def find_port(ip=LOCAL):
    """Return a free port."""
    return find_ports(ip, 1)[0]


def find_ports(ip, count):
    """Return different free ports."""
    probes = [socket.socket() for _ in range(count)]
    try:
        for probe in probes:
            probe.bind((ip, 0))
        return [probe.getsockname()[1] for probe in probes]
    finally:
        for probe in probes:
            probe.close()


def find_network():
    """Return the first three numbers of free loopback addresses.

    Some ports of a gateway are fixed, so that scripts which run at the same
    time need addresses of their own.
    """
    while True:
        network = f'127.{random.randint(64, 126)}.{random.randint(1, 250)}'
        with socket.socket() as probe:
            try:
                probe.bind((f'{network}.2', FIRST_PORT))
            except OSError:
                continue
            return network


async def read_head(reader):
    """Return the first line and the headers of a message, none at its end."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = raw.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        if line:
            name, _, value = line.partition(':')
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    """Return the content of a message that has a length or chunks."""
    if 'chunked' in headers.get('transfer-encoding', ''):
        content = b''
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            content += await reader.readexactly(size)
            await reader.readline()
            if not size:
                return content
    return await reader.readexactly(int(headers.get('content-length', 0)))


def encode(status, headers, content=b''):
    """Return an answer with a length."""
    lines = [f'HTTP/1.1 {status} -']
    lines += [f'{name}: {value}' for name, value in headers]
    lines += [f'Content-Length: {len(content)}', '', '']
    return '\r\n'.join(lines).encode('latin-1') + content


class Store:
    """The platform's store, as far as it is read."""

    def __init__(self, ip=LOCAL):
        self.address = (ip, find_port(ip))
        self.revision = 10
        self.items = {}
        self.events = []
        self.mode = 'up'
        self.delay_s = 0.004
        self.calls = 0
        self._changed = asyncio.Event()
        self._server = None

    @property
    def name(self):
        return '%s:%d' % self.address

    async def start(self):
        self._server = await asyncio.start_server(self._serve, *self.address)

    def put(self, key, fields):
        content = fields if isinstance(fields, bytes) else json.dumps(fields)
        if isinstance(content, str):
            content = content.encode()
        self.revision += 1
        item = {
            'key': key,
            'value': base64.b64encode(content).decode(),
            'rev': self.revision,
            'created': self.revision,
            'lease': 0,
        }
        if key in self.items:
            item['created'] = self.items[key]['created']
        self.items[key] = item
        self.events.append(item)
        self._wake()

    def remove(self, key):
        self.revision += 1
        self.items.pop(key, None)
        self.events.append(
            {'key': key, 'rev': self.revision, 'tombstone': True}
        )
        self._wake()

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                self.calls += 1
                if self.mode == 'silent':
                    await asyncio.sleep(60)
                    return
                await asyncio.sleep(self.delay_s)
                status, fields = await self._answer(head[0].split(' ')[1])
                content = json.dumps(fields).encode()
                writer.write(
                    encode(
                        status,
                        [('Content-Type', 'application/json')],
                        content,
                    )
                )
                await writer.drain()
                if head[1].get('connection') == 'close':
                    return
        except OSError:
            return
        finally:
            writer.close()

    async def _answer(self, target):
        if self.mode == 'busy':
            return 503, {}
        path, _, text = target.partition('?')
        query = dict(parse_qsl(text, keep_blank_values=True))
        if path == '/kv-key':
            item = self.items.get(query['key'])
            if item is None:
                return 404, {'currentRev': self.revision}
            return 200, {**item, 'currentRev': self.revision}
        if path == '/kv-range':
            after = query.get('after', '')
            found = [
                self.items[key]
                for key in sorted(self.items)
                if key.startswith(query['prefix']) and key > after
            ]
            return 200, {
                'items': found[:500],
                'truncated': len(found) > 500,
                'currentRev': self.revision,
            }
        return await self._watch(query)

    async def _watch(self, query):
        after = int(query['after'])
        end_s = time.monotonic() + int(query['waitMs']) / 1000
        while True:
            found = [
                one
                for one in self.events
                if one['rev'] > after and one['key'].startswith(query['prefix'])
            ]
            left_s = end_s - time.monotonic()
            if found or left_s <= 0:
                return 200, {'events': found, 'currentRev': self.revision}
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue


class Replica:
    """A replica whose answers a script defines.

    :ivar handle: coroutine function of the replica, the request and the
        writer.
    """

    def __init__(
        self, store, name, service, ip=LOCAL, port=None, zone='zone-a'
    ):
        self.store = store
        self.name = name
        self.service = service
        self.ip = ip
        self.port = port or find_port(ip)
        self.zone = zone
        self.handle = answer_plainly
        self.runs = []
        self.orders = []
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.state = 'ready'
        self._server = None
        self._beat = None

    @property
    def address(self):
        return f'{self.ip}:{self.port}'

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, self.ip, self.port
        )
        self._beat = asyncio.ensure_future(self._run_beats())

    def beat(self):
        self.seq += 1
        self.store.put(
            f'servers/{self.name}',
            {
                'service': self.service,
                'address': self.address,
                'zone': self.zone,
                'version': 'v1',
                'slots': 8,
                'state': self.state,
                'coldLeftMs': 0,
                'stage': 'hybrid',
                'models': [{'name': 'm', 'version': 1, 'adapters': []}],
                'seq': self.seq,
                'born': self.born,
            },
        )

    def stop_beats(self):
        self._beat.cancel()

    async def _run_beats(self):
        while True:
            self.beat()
            await asyncio.sleep(1.2)

    async def _serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                first, headers = head
                body = await read_body(reader, headers)
                method, target, _ = first.split(' ')
                request = Request(method, target, headers, body, reader)
                if target == '/order':
                    self.orders.append((time.monotonic(), json.loads(body)))
                    writer.write(encode(200, [], b'{"free": 1}'))
                    continue
                expected = headers.get('x-expect-replica', self.name)
                if expected != self.name:
                    writer.write(encode(421, [('X-Replica-Id', self.name)]))
                    continue
                self.runs.append((time.monotonic(), request))
                if await self.handle(self, request, writer) is False:
                    return
                await writer.drain()
                if headers.get('connection') == 'close':
                    return
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()


class Request:
    """A request that a replica received."""

    def __init__(self, method, target, headers, body, reader):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.reader = reader

    @property
    def id(self):
        return self.headers.get('x-request-id', '')

    def sealed(self, *more):
        return [
            ('X-Request-Id', self.id),
            ('X-Server-Seal', 's.1'),
            *more,
        ]


async def answer_plainly(replica, request, writer):
    """Answer a request after 20 ms."""
    await asyncio.sleep(0.02)
    content = f'{replica.name} {request.id}'.encode()
    writer.write(encode(200, request.sealed(), content))


def make_config(version, **fields):
    """Return a configuration as the pages show it."""
    routes = [
        make_route('stream', 'stream', MODEL, 10000, resumable=True),
        make_route('once', 'non_idempotent', DESK, 3000, attempts=1),
        make_route('look', 'idempotent', DESK, 3000),
    ]
    engine = {
        'slots': 8,
        'kvCapacity': 232000,
        'kvTokenBytes': 327680,
        'linkMbps': 400000.0,
        'stride': 43,
        'models': [{'name': 'm'}],
        'step_ms': 1.02,
        'per_seq_ms': 0.00452,
        'context_per_k': 0.00431,
        'read_per_s': 206000.0,
        'pairs_per_m': 0.138,
        'chunk': 2048,
        'report_lag_ms': 200.0,
        'loadsPerS': 0.0,
        'loads_at_once': 8,
        'delays': [{'from': 'zone-a', 'target': 'zone-b', 'delay_ms': 0.9}],
        'usual': {'prompt': 12327, 'answer': 1303},
        'hopMs': 0.075,
    }
    config = {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': MODEL,
                'healthPath': '/health',
                'maxConns': 364,
                'protocol': 'h1',
                'tls': False,
                'engine': engine,
            },
            {
                'name': DESK,
                'healthPath': '/health',
                'maxConns': 110,
                'protocol': 'h1',
                'tls': False,
            },
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [{'name': TENANT, 'apiKeys': [KEY], 'priority': 1}],
    }
    config.update(fields)
    return config


def make_route(name, kind, service, timeout_ms, **fields):
    """Return a route with the prefix ``/NAME/``."""
    return {
        'name': name,
        'host': HOST,
        'prefix': f'/{name}/',
        'kind': kind,
        'timeoutMs': timeout_ms,
        'sloMs': 300,
        'priority': 1,
        'service': service,
        'attempts': 2,
        'public': False,
        'sticky': kind == 'stream',
        'resumable': False,
        'gapAimMs': 250,
        **fields,
    }


class Gateway:
    """A process of the deploy file."""

    def __init__(self, name, ip, store, seeds, folder, zone='zone-a'):
        self.name = name
        self.ip = ip
        self.store = store
        self.zone = zone
        self.folder = pathlib.Path(folder)
        self.ports = dict(
            zip(('front', 'ready'), find_ports(ip, 2), strict=True)
        )
        self.control = 8229
        self.first_port = FIRST_PORT
        self.seeds = seeds
        self.process = None
        self.log = self.folder / f'{name}.log'
        self.path = self.folder / f'{name}.json'
        self.more = {}

    @property
    def front(self):
        return self.ip, self.ports['front']

    def write_settings(self):
        fields = {
            'nodeName': self.name,
            'role': 'gateway',
            'machineClass': 'front',
            'serves': ['front', 'control'],
            'ip': self.ip,
            'zone': self.zone,
            'region': 'r',
            'zones': {'zone-a': 'r', 'zone-b': 'r'},
            'listen': {
                'front': '%s:%d' % self.front,
                'ready': f'{self.ip}:{self.ports["ready"]}',
                'control': f'{self.ip}:{self.control}',
            },
            'internalPorts': [self.first_port, self.first_port + 15],
            'seeds': [f'{seed}:{self.control}' for seed in self.seeds],
            'bootstrap': True,
            'inTolerance': False,
            'limits': {
                'cpuShare': 0.537,
                'cores': 2,
                'memoryMb': 300,
                'maxFds': 4100,
                'linkMbps': 1000.0,
                'diskMb': 0,
            },
            'dataDir': None,
            'discovery': 'platform',
            'entry': 'vip',
            'heartbeatMs': 1200,
            'contracts': [
                'base',
                'drain',
                'config',
                'cost',
                'retry',
                'recover',
                'engine',
                'stream',
                'tenants',
                'platform',
                'spans',
            ],
            'tolerance': {'machines': 1, 'zones': 0, 'regions': 0},
            'bounds': {
                'seedLagS': 3,
                'addrReuseS': 2,
                'stableMs': 3000,
                'ackMs': 4000,
                'syncS': 4,
                'drainMs': 2000,
                'graceS': 8,
                'lossSlackMs': 200,
                'configApplyMs': 2000,
                'rollbackSlackMs': 250,
                'skewMaxMs': 5000,
                'strictRevoke': False,
                'revokeMs': 5000,
                'retryRatio': 0.2,
                'retryWindowS': 10,
                'retrySlack': 104,
                'recoveryS': 12,
                'passMs': 120,
                'retryAfterS': 0,
                'stall_ms': 1500,
                'holdMaxMs': 20000,
                'freeMs': 4000,
                'idleMaxMs': 9000,
            },
            'platform': {
                'address': self.store,
                'form': 'read',
                'writesPerS': 400,
                'readsPerS': 2000,
                'historyS': 20,
                'valueBytes': 1048576,
                'ttlMinMs': 1000,
            },
        }
        for name, value in self.more.items():
            fields[name] = value
        self.path.write_text(json.dumps(fields))

    def start(self):
        self.write_settings()
        kept = ('PATH', 'HOME', 'LANG')
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        env['TREFOILHINGE_CONFIG'] = str(self.path)
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(
                ['python3', '-m', 'trefoilhinge.gateway'],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait(10)

    async def is_ready(self):
        try:
            answer = await asyncio.wait_for(
                send((self.ip, self.ports['ready']), 'GET', '/ready', {}), 1
            )
        except (OSError, TimeoutError):
            return False
        return answer.status == 200

    async def wait_until_ready(self, limit_s=15):
        end_s = time.monotonic() + limit_s
        while time.monotonic() < end_s:
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise Unplayable(f'{self.name} is not ready')


class Unplayable(Exception):
    """The case could not run."""


class Answer:
    """What a client got.

    :ivar status: zero if no head arrived.
    :ivar is_complete: whether the answer looks complete.
    """

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.content = b''
        self.is_complete = False
        self.problem = ''

    def __repr__(self):
        return (
            f'{self.status} complete={self.is_complete}'
            f' {self.content[:160]!r} {self.problem}'
        )


def encode_request(method, target, headers, body=b''):
    lines = [f'{method} {target} HTTP/1.1', f'Host: {HOST}']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    if body or method != 'GET':
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


async def read_answer(reader):
    """Return an answer, also if it ends early."""
    answer = Answer()
    try:
        while True:
            head = await read_head(reader)
            if head is None:
                answer.problem = 'no answer'
                return answer
            status = int(head[0].split(' ')[1])
            if status >= 200:
                break
        answer.status = status
        answer.headers = head[1]
        if 'chunked' in head[1].get('transfer-encoding', ''):
            while True:
                line = await reader.readuntil(b'\n')
                size = int(line.split(b';')[0], 16)
                answer.content += await reader.readexactly(size)
                await reader.readuntil(b'\n')
                if not size:
                    break
        elif 'content-length' in head[1]:
            length = int(head[1]['content-length'])
            answer.content = await reader.readexactly(length)
        else:
            answer.content = await reader.read()
        answer.is_complete = True
    except asyncio.IncompleteReadError as problem:
        answer.content += problem.partial
        answer.problem = 'ended early'
    except (OSError, ValueError) as problem:
        answer.problem = f'{type(problem).__name__}: {problem}'
    return answer


async def send(address, method, target, headers, body=b'', limit_s=30):
    """Send a request on a connection of its own; return the answer."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(encode_request(method, target, headers, body))
        return await asyncio.wait_for(read_answer(reader), limit_s)
    except TimeoutError:
        answer = Answer()
        answer.problem = f'nothing within {limit_s} s'
        return answer
    finally:
        writer.close()


def make_headers(request_id, deadline_ms=10000, **more):
    """Return the headers of a client's request."""
    headers = {
        'X-Request-Id': request_id,
        'X-Deadline': deadline_ms,
        'Api-Key': KEY,
    }
    headers.update({name.replace('_', '-'): one for name, one in more.items()})
    return headers


def make_stream_headers(request_id, prompt=1460, limit=80, **more):
    """Return the headers of a client's request for a stream."""
    return make_headers(
        request_id,
        X_Model='m',
        X_Token_Count=f'{prompt},{limit}',
        X_Prompt_Prefix=f'5c1e07a2:40,{request_id}:{prompt}',
        **more,
    )


class World:
    """A store, replicas and gateways, which end with the script."""

    def __init__(self):
        self.folder = tempfile.TemporaryDirectory(prefix='review-3-')
        self.network = find_network()
        self.store = Store()
        self.replicas = []
        self.gateways = []

    async def __aenter__(self):
        await self.store.start()
        return self

    async def __aexit__(self, *problem):
        for gateway in self.gateways:
            gateway.kill()
        self.folder.cleanup()

    async def add_replica(self, name, service, **fields):
        replica = Replica(self.store, name, service, **fields)
        await replica.start()
        self.replicas.append(replica)
        return replica

    def add_gateway(self, number, zone='zone-a', seeds=None):
        ip = f'{self.network}.{number}'
        first = self.gateways[0].ip if self.gateways else ip
        gateway = Gateway(
            f'front-{number}',
            ip,
            self.store.name,
            seeds or [first],
            self.folder.name,
            zone,
        )
        self.gateways.append(gateway)
        gateway.start()
        return gateway


def run(play, folder, name='record.txt'):
    """Run a case; its status is 1 if the rule was broken, 2 if it failed."""
    record = pathlib.Path(folder) / name
    lines = []
    began_s = time.monotonic()

    def note(text):
        lines.append(f'{time.monotonic() - began_s:8.3f} {text}')

    async def limited():
        # Tasks of the stand-ins that the end of a case cancels are no news.
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: None)
        return await asyncio.wait_for(play(note, is_troubled), 105)

    is_troubled = os.environ.get('TROUBLE', '1') != '0'
    note(f'trouble {int(is_troubled)}')
    try:
        is_broken = asyncio.run(limited())
        status = int(is_broken)
    except Exception as problem:  # the case could not run
        note(f'not run: {type(problem).__name__}: {problem}')
        status = 2
    note(f'status {status}')
    record.write_text('\n'.join(lines) + '\n')
    sys.exit(status)
