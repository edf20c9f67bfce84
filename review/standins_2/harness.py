"""Stand-ins of the platform, replicas and clients for the cases 6 to 10.

Only the standard library is used. The gateways run as separate processes with
the command of the deploy file; everything else runs in one event loop.
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
import tomllib
from urllib.parse import parse_qsl

ROOT = pathlib.Path(__file__).resolve().parents[2]
STORE_DELAY_S = 0.004
METRICS_PORT = 9464
BOUNDS = {
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
}
LIMITS = {
    'maxHeaderBytes': 16384,
    'maxBodyBytes': 4194304,
    'headerTimeoutMs': 3000,
    'idleTimeoutMs': 15000,
}
ENGINE = {
    'slots': 8,
    'kvCapacity': 232000,
    'stride': 43,
    'step_ms': 1.02,
    'per_seq_ms': 0.00452,
    'context_per_k': 0.00431,
    'read_per_s': 206000.0,
    'pairs_per_m': 0.138,
    'chunk': 2048,
    'usual': {'prompt': 12327, 'answer': 1303},
    'delays': [],
}


class CaseFailed(Exception):
    """The case could not run."""


class Record:
    """The record of a run, with seconds since its start."""

    def __init__(self, path):
        self.began_s = time.monotonic()
        self.lines = []
        self.path = pathlib.Path(path)

    def now(self):
        return time.monotonic() - self.began_s

    def write(self, text):
        self.lines.append(f'{self.now():8.3f}  {text}')

    def save(self):
        self.path.write_text('\n'.join(self.lines) + '\n')


def choose_network():
    """Return a loopback network whose addresses nobody seems to use."""
    for _ in range(50):
        prefix = f'127.{random.randint(20, 250)}.{random.randint(1, 250)}'
        try:
            for port in (METRICS_PORT, 7340, 7341, 8227, 8220, 8223, 8229):
                with socket.socket() as probe:
                    probe.bind((f'{prefix}.11', port))
        except OSError:
            continue
        return prefix
    raise CaseFailed('no free loopback addresses')


async def read_head(reader):
    """Return the first line and the headers of a message, none at the end."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = raw.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(':')
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


class Store:
    """The platform's store."""

    def __init__(self, record, address):
        self.record = record
        self.address = address
        self.items = {}
        self.events = []
        self.revision = 1
        self.is_silent = False
        self.silences = 0
        self.waiting = {}
        self.changed = asyncio.Event()

    async def start(self):
        await asyncio.start_server(self._serve, *self.address)

    def put(self, key, fields):
        """Write an item; the return of this is its acknowledgement."""
        self.revision += 1
        content = json.dumps(fields).encode()
        known = self.items.get(key)
        item = {
            'key': key,
            'value': base64.b64encode(content).decode(),
            'rev': self.revision,
            'created': known['created'] if known else self.revision,
            'lease': 0,
        }
        self.items[key] = item
        self._add(item)

    def remove(self, key):
        self.revision += 1
        self.items.pop(key, None)
        self._add({'key': key, 'rev': self.revision, 'tombstone': True})

    def _add(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def begin_silence(self):
        """Answer nothing from now on, also not what is being answered."""
        self.is_silent = True
        self.silences += 1

    def end_silence(self):
        self.is_silent = False

    async def _serve(self, reader, writer):
        while True:
            head = await read_head(reader)
            if head is None:
                writer.close()
                return
            silences = self.silences
            target = head[0].split(' ')[1]
            if self.is_silent:
                await self._lose(reader, writer)
                return
            answer = await self._answer(target)
            await asyncio.sleep(STORE_DELAY_S)
            if silences != self.silences:
                await self._lose(reader, writer)
                return
            status, fields = answer
            content = json.dumps(fields).encode()
            try:
                writer.write(
                    f'HTTP/1.1 {status} -\r\nContent-Type: application/json'
                    f'\r\nContent-Length: {len(content)}\r\n\r\n'.encode()
                    + content
                )
                await writer.drain()
            except OSError:
                return

    async def _lose(self, reader, writer):
        """Return nothing further on a connection."""
        while await reader.read(65536):
            pass
        writer.close()

    async def _answer(self, target):
        path, _, query = target.partition('?')
        query = dict(parse_qsl(query, keep_blank_values=True))
        if path == '/kv-key':
            item = self.items.get(query['key'])
            return (200 if item else 404), {
                **(item or {}),
                'currentRev': self.revision,
            }
        if path == '/kv-range':
            keys = sorted(
                key
                for key in self.items
                if key.startswith(query['prefix'])
                and key > query.get('after', '')
            )
            return 200, {
                'items': [self.items[key] for key in keys[:500]],
                'truncated': len(keys) > 500,
                'currentRev': self.revision,
            }
        token = object()
        self.waiting[token] = target
        try:
            return await self._watch(query)
        finally:
            self.waiting.pop(token)

    async def _watch(self, query):
        ends_s = time.monotonic() + min(30000, int(query['waitMs'])) / 1000
        while True:
            events = [
                event
                for event in self.events
                if event['rev'] > int(query['after'])
                and event['key'].startswith(query['prefix'])
            ]
            left_s = ends_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {'events': events, 'currentRev': self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except TimeoutError:
                continue


class Replica:
    """A replica of a plain service.

    It takes one request at a time on a connection and closes it afterwards.
    """

    def __init__(self, record, store, name, service, address, zone, **options):
        self.record = record
        self.store = store
        self.name = name
        self.service = service
        self.address = address
        self.zone = zone
        self.work_s = options.get('work_s', 0.03)
        self.slots = options.get('slots', 6)
        self.born = options.get('born', int(time.time() * 1000))
        self.sequence = 1
        self.state = 'ready'
        self.arrivals = []
        self.runs = []
        self.writers = set()
        self.is_ended = False
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, *self.address, reuse_address=True
        )

    def register(self):
        """Write the entry; the store has acknowledged it on return."""
        self.store.put(f'servers/{self.name}', self.describe())

    def describe(self):
        return {
            'service': self.service,
            'address': f'{self.address[0]}:{self.address[1]}',
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'coldLeftMs': 0,
            'seq': self.sequence,
            'born': self.born,
        }

    def end(self):
        """Exit: close the port and reset all connections."""
        self.is_ended = True
        if self._server is not None:
            self._server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await self._serve_request(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _serve_request(self, reader, writer):
        head = await read_head(reader)
        if head is None:
            return
        line, headers = head
        length = int(headers.get('content-length', 0))
        body = await reader.readexactly(length)
        request = headers.get('x-request-id', '')
        if line.startswith('GET /health'):
            self._send(writer, 200, request, b'', {'X-Replica-Id': self.name})
            await writer.drain()
            return
        expected = headers.get('x-expect-replica', self.name)
        if expected != self.name:
            self._send(writer, 421, request, b'', {'X-Replica-Id': self.name})
            await writer.drain()
            return
        self.arrivals.append((self.record.now(), request))
        self.record.write(f'{request} reaches {self.name} and runs')
        self.runs.append(request)
        await self.run(writer, line, headers, request, body)

    async def run(self, writer, line, headers, request, body):
        await asyncio.sleep(self.work_s)
        if self.is_ended:
            return
        content = f'{request} served by {self.name}'.encode()
        self.record.write(f'{request} answered by {self.name}')
        self._send(writer, 200, request, content, {})
        await writer.drain()

    def _send(self, writer, status, request, content, headers):
        extra = ''.join(f'{name}: {text}\r\n' for name, text in headers.items())
        seal = f'X-Server-Seal: {self.name}.{request}\r\n'
        writer.write(
            f'HTTP/1.1 {status} -\r\nX-Request-Id: {request}\r\n{seal}{extra}'
            f'Connection: close\r\nContent-Length: {len(content)}\r\n\r\n'
            ''.encode()
            + content
        )


class Gateway:
    """A gateway process."""

    def __init__(self, record, folder, ip, zone, store, seeds):
        self.record = record
        self.name = f'front-{zone}-{ip.rpartition(".")[2]}'
        self.ip = ip
        self.path = folder / f'{self.name}.json'
        self.log = folder / f'{self.name}.log'
        self.front = (ip, 8227)
        self.ready = (ip, 8220)
        self.process = None
        self.path.write_text(
            json.dumps(
                {
                    'nodeName': self.name,
                    'role': 'gateway',
                    'machineClass': 'front',
                    'serves': ['front', 'control'],
                    'ip': ip,
                    'zone': zone,
                    'region': 'tt-south',
                    'zones': {
                        'pointe-a': 'tt-south',
                        'couva-b': 'tt-south',
                        'claxton-c': 'tt-south',
                    },
                    'listen': {
                        'front': f'{ip}:8227',
                        'ready': f'{ip}:8220',
                        'control': f'{ip}:8229',
                    },
                    'internalPorts': [7340, 7355],
                    'seeds': seeds,
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
                    'bounds': BOUNDS,
                    'platform': {
                        'address': f'{store[0]}:{store[1]}',
                        'form': 'read',
                        'writesPerS': 400,
                        'readsPerS': 2000,
                        'historyS': 20,
                        'valueBytes': 1048576,
                        'ttlMinMs': 1000,
                    },
                }
            )
        )

    def start(self):
        with (ROOT / 'deploy' / 'system.toml').open('rb') as file:
            run = tomllib.load(file)['roles']['gateway']['run'].split()
        if run[0] == 'python3':
            run[0] = sys.executable
        kept = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(
                run,
                cwd=ROOT,
                env={
                    **kept,
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'PYTHONDONTWRITEBYTECODE': '1',
                    'TREFOILHINGE_CONFIG': str(self.path),
                },
                stdout=log,
                stderr=log,
            )
        self.record.write(f'{self.name} started')

    def signal(self, number):
        self.record.write(f'{self.name} gets {signal.Signals(number).name}')
        self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait(10)

    async def is_ready(self):
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(*self.ready)
                writer.write(b'GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n')
                head = await read_head(reader)
                writer.close()
        except (OSError, TimeoutError):
            return False
        return head is not None and ' 200 ' in f'{head[0]} '


async def wait_until_ready(gateways, limit_s=20):
    """Wait until all gateways say that they are ready."""
    ends_s = time.monotonic() + limit_s
    while time.monotonic() < ends_s:
        if all([await gateway.is_ready() for gateway in gateways]):
            return
        await asyncio.sleep(0.1)
    raise CaseFailed('the gateways are not ready')


async def send(record, gateway, request, path, **options):
    """Send a request on a new connection; return its status, 0 for none.

    :return: status and content.
    """
    method = options.get('method', 'POST')
    body = options.get('body', b'')
    deadline_ms = options.get('deadline_ms', 1500)
    extra = ''.join(
        f'{name}: {text}\r\n'
        for name, text in options.get('headers', {}).items()
    )
    length = f'Content-Length: {len(body)}\r\n' if method == 'POST' else ''
    record.write(f'{request} sent to {gateway.name}: {method} {path}')
    status, content = 0, b''
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 1):
            reader, writer = await asyncio.open_connection(*gateway.front)
            writer.write(
                f'{method} {path} HTTP/1.1\r\nHost: desk.example\r\n'
                f'X-Request-Id: {request}\r\nX-Deadline: {deadline_ms}\r\n'
                f'{extra}{length}\r\n'.encode()
                + body
            )
            head = await read_head(reader)
            if head is not None:
                status = int(head[0].split(' ')[1])
                size = int(head[1].get('content-length', 0))
                content = await reader.readexactly(size)
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as problem:
        record.write(f'{request} got no answer: {type(problem).__name__}')
        return 0, b''
    finally:
        if writer is not None:
            writer.close()
    record.write(f'{request} answered {status} {content[:90]!r}')
    return status, content


def make_route(name, prefix, service, kind='non_idempotent', **fields):
    return {
        'name': name,
        'host': 'desk.example',
        'prefix': prefix,
        'kind': kind,
        'timeoutMs': 1500,
        'sloMs': 125,
        'priority': 2,
        'service': service,
        'attempts': 2,
        'public': True,
        **fields,
    }


def make_config(version, routes, services):
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': LIMITS,
    }


def make_service(name, **fields):
    return {
        'name': name,
        'healthPath': '/health',
        'maxConns': 110,
        'protocol': 'h1',
        'tls': False,
        **fields,
    }


def run_case(play, folder):
    """Play a case, and end the script with the exit code of the page.

    :param play: coroutine function; it gets the record, an empty folder, the
        loopback network and whether the disruption is to come, and returns
        the breaches that it saw. It adds its gateways to the given list.
    """
    record = Record(pathlib.Path(folder) / 'record.txt')
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    gateways = []
    code = 2
    with tempfile.TemporaryDirectory() as temporary:
        try:
            breaches = asyncio.run(
                asyncio.wait_for(
                    play(
                        record,
                        pathlib.Path(temporary),
                        choose_network(),
                        has_trouble,
                        gateways,
                    ),
                    110,
                )
            )
            for breach in breaches:
                record.write(f'BROKEN: {breach}')
            code = 1 if breaches else 0
            record.write(f'{len(breaches)} breaches')
        except Exception as problem:
            record.write(f'the case could not run: {problem!r}')
        finally:
            for gateway in gateways:
                gateway.end()
                if os.environ.get('KEEP_LOGS'):
                    record.lines.append(f'-- log of {gateway.name}')
                    record.lines.extend(
                        gateway.log.read_text(errors='replace').splitlines()
                    )
            record.save()
    print(f'{len(record.lines)} lines in record.txt; exit code {code}')
    sys.stdout.flush()
    # Connections that are still open would complain of the closed loop.
    os._exit(code)
