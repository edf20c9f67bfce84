"""A real gateway process with lowered limits, and what it uses."""

import asyncio
import contextlib
import json
import os
import pathlib
import resource
import sys

from attrs import define, field

from tests.gateway.documents import HOST, find_port, make_document, make_host
from tests.gateway.fleets import make_call, read_answer
from tests.gateway.stores import StoreStandIn
from tests.gateway.targets import TargetStandIn, reply
from trefoilhinge.platform.settings import (
    METRICS_PORT,
    SETTINGS_PATH_VARIABLE,
)
from trefoilhinge.platform.standins import formats

IP = make_host(91)
PORTS = 24  # of an instance
POLL_S = 0.02
START_LIMIT_S = 90  # on a starved machine
MEMORY_MB = 100
DESCRIPTORS = 1000
BODY_BYTES = 4_194_304  # the platform's default
LIMITS = {
    'maxBodyBytes': BODY_BYTES,
    'headerTimeoutMs': 5_000,
    'idleTimeoutMs': 10_000,
}
ROUTE_TIMEOUT_MS = 10_000
GRACE_S = 8
# Of an ordinary call, long enough for a busy machine.
DEADLINE_MS = '8000'


def read_peak_mb(process):
    """Return the peak of the resident memory of a process so far."""
    status = pathlib.Path(f'/proc/{process.pid}/status').read_text()
    (line,) = [one for one in status.splitlines() if one.startswith('VmHWM')]
    return int(line.split()[1]) / 1024


def reserve_ports():
    """Return the first port of an instance."""
    first_port, *_ = [find_port() for _ in range(PORTS)]
    return first_port


@define
class LimitedProcess:
    """A gateway process that may use little memory and few descriptors.

    :ivar handlers: what targets answer with, by name; those whose name begins
        with ``d`` belong to the plain service.
    """

    folder: pathlib.Path
    memory_mb: int = MEMORY_MB
    descriptors: int = DESCRIPTORS
    limits: dict = field(factory=dict)
    handlers: dict = field(factory=lambda: {'d1': reply(200, b'served')})
    seeds: tuple = ()
    first_port: int = field(factory=reserve_ports)
    store: StoreStandIn = field(factory=StoreStandIn)
    process: asyncio.subprocess.Process | None = None

    @property
    def listeners(self):
        """Return the addresses at which the process listens, by name."""
        return {
            'entry': (IP, self.settings['entry']),
            'readiness': (IP, self.settings['readiness']),
            'control': (IP, self.settings['control']),
            'metrics': (IP, METRICS_PORT),
            'peers': (IP, self.settings['first_port']),
            'relay': (IP, self.settings['first_port'] + 1),
        }

    @property
    def settings(self):
        fields = json.loads(self._encode_settings())
        listen = fields['listen']
        return {
            'entry': int(listen['front'].rpartition(':')[2]),
            'readiness': int(listen['ready'].rpartition(':')[2]),
            'control': int(listen['control'].rpartition(':')[2]),
            'first_port': int(fields['internalPorts'][0]),
        }

    def _encode_settings(self):
        text = formats.encode_settings(
            'crowded',
            IP,
            f'{HOST}:{self.store.port}',
            list(self.seeds),
            self.first_port,
            graceS=GRACE_S,
        )
        limits = {'memoryMb': self.memory_mb, 'maxFds': self.descriptors}
        return json.dumps({**json.loads(text), 'limits': limits})

    def put_limits(self, version, **limits):
        """Put a document with other limits into the store."""
        document = make_document(version)
        self.store.put(
            'op/config',
            {
                **document,
                'routes': [
                    {**route, 'timeoutMs': ROUTE_TIMEOUT_MS}
                    for route in document['routes']
                ],
                'limits': {**document['limits'], **LIMITS, **limits},
            },
        )

    async def start(self):
        """Start the stand-ins and the process; wait until it is ready."""
        await self.store.start()
        for name, handle in self.handlers.items():
            target = TargetStandIn(name, handle)
            await target.start()
            service = 'desk' if name.startswith('d') else 'model'
            self.store.put_target(name, target.address, service)
        self.put_limits(1, **self.limits)
        path = self.folder / 'settings.json'
        path.write_text(self._encode_settings())
        limit = (self.descriptors, self.descriptors)
        with (self.folder / 'log').open('wb') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *('-m', 'trefoilhinge.gateway'),
                env={**os.environ, SETTINGS_PATH_VARIABLE: str(path)},
                stdout=log,
                stderr=log,
                preexec_fn=lambda: resource.setrlimit(
                    resource.RLIMIT_NOFILE, limit
                ),
            )
        async with asyncio.timeout(START_LIMIT_S):
            while 'event=targets_listed' not in self.read_log():
                assert self.process.returncode is None, self.read_log()
                await asyncio.sleep(POLL_S)

    async def end(self):
        """Kill the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def read_log(self):
        return (self.folder / 'log').read_text(errors='replace')

    def read_peak_mb(self):
        """Return the peak of the resident memory so far."""
        assert self.process.returncode is None, self.read_log()[-2000:]
        return read_peak_mb(self.process)

    def count_descriptors(self):
        """Return the number of descriptors that the process has open."""
        return len(os.listdir(f'/proc/{self.process.pid}/fd'))

    async def call(self, **headers):
        """Make one ordinary call; return its answer."""
        reader, writer = await asyncio.open_connection(*self.listeners['entry'])
        headers = {'X_Deadline': DEADLINE_MS, **headers}
        writer.write(make_call('/book/1', body=b'a body', **headers))
        try:
            return await read_answer(reader)
        finally:
            writer.close()

    async def get(self, listener, path):
        """Make a GET at one of the other listeners; return its answer."""
        reader, writer = await asyncio.open_connection(
            *self.listeners[listener]
        )
        writer.write(f'GET {path} HTTP/1.1\r\nHost: h\r\n\r\n'.encode())
        try:
            return await read_answer(reader)
        finally:
            writer.close()

    async def check(self):
        """Check that the process lives within its limits and serves."""
        answer = await self.call(X_Request_Id='ordinary')
        assert self.read_peak_mb() <= self.memory_mb
        assert self.count_descriptors() <= self.descriptors
        assert (answer.status, answer.content) == (200, b'served')


@contextlib.asynccontextmanager
async def run_process(folder, **fields):
    """Run a process with lowered limits, and end it."""
    process = LimitedProcess(folder, **fields)
    try:
        await process.start()
        yield process
    finally:
        await process.end()
