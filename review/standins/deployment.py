"""Gateway processes, started with the command of the deploy file."""

import asyncio
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

from review.standins.http import request
from review.standins.store import Store

ROOT = pathlib.Path(__file__).parents[2]
LIBRARIES = ROOT / 'target' / 'deps'
SERVICE_HOST = 'ficu95.example'
API_KEY = 'n2ctnfzs989anu6wsjnb'
TENANT = 'hule930'
DRAIN_S = 2.0
GRACE_S = 8
START_TIMEOUT_S = 20.0
REPLICA_PORT_OFFSET = 40  # after the ports of a machine
BOUNDS = {
    'seedLagS': 3,
    'addrReuseS': 2,
    'stableMs': 3000,
    'ackMs': 4000,
    'syncS': 4,
    'drainMs': int(DRAIN_S * 1000),
    'graceS': GRACE_S,
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
}


class CannotRun(Exception):
    """The case could not run; this says nothing about the rule."""


class Network:
    """Loopback addresses and free ports of one run."""

    def __init__(self) -> None:
        """Choose a part of the loopback range, and ports that are free."""
        pick = random.Random()
        self._prefix = f'127.{pick.randint(10, 250)}.{pick.randint(1, 250)}'
        self._last = 1
        self.first_port = self._find_port(pick)
        self.replica_port = self.first_port + REPLICA_PORT_OFFSET

    def make_ip(self) -> str:
        """Return another loopback address."""
        self._last += 1
        return f'{self._prefix}.{self._last}'

    def _find_port(self, pick: random.Random) -> int:
        for _ in range(50):
            port = pick.randint(20_000, 29_000)
            if all(map(self._is_free, (port, port + REPLICA_PORT_OFFSET))):
                return port
        raise CannotRun('no free port')

    def _is_free(self, port: int) -> bool:
        try:
            with socket.socket() as probe:
                probe.bind((f'{self._prefix}.1', port))
        except OSError:
            return False
        return True


class Gateway:
    """One machine with the program of the deploy file."""

    def __init__(self, name: str, ip: str, port: int, folder: str) -> None:
        """Keep the addresses; ``port`` and those after it are used."""
        self.name = name
        self.ip = ip
        self.entry = (ip, port)
        self.ready = (ip, port + 1)
        self.control = f'{ip}:{port + 2}'
        self.internal = [port + 3, port + 18]
        self.settings_path = pathlib.Path(folder) / f'{name}.json'
        self.log_path = pathlib.Path(folder) / f'{name}.log'
        self.process: subprocess.Popen | None = None

    def write_settings(self, store: str, seeds: list[str]) -> None:
        """Write the settings file, with the fields of DEPLOY.md."""
        fields = {
            'nodeName': self.name,
            'role': 'gateway',
            'machineClass': 'front',
            'serves': ['front', 'control'],
            'ip': self.ip,
            'zone': 'pointe-a',
            'region': 'tt-south',
            'zones': {'pointe-a': 'tt-south'},
            'listen': {
                'front': f'{self.ip}:{self.entry[1]}',
                'ready': f'{self.ip}:{self.ready[1]}',
                'control': self.control,
            },
            'internalPorts': self.internal,
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
            'contracts': ['base', 'drain', 'config', 'stream', 'tenants'],
            'tolerance': {'machines': 1, 'zones': 0, 'regions': 0},
            'bounds': BOUNDS,
            'platform': {
                'address': store,
                'form': 'read',
                'writesPerS': 400,
                'readsPerS': 2000,
                'historyS': 20,
                'valueBytes': 1048576,
                'ttlMinMs': 1000,
            },
        }
        # In one step, so that the process never reads half of it.
        part = self.settings_path.with_suffix('.part')
        part.write_text(json.dumps(fields))
        part.replace(self.settings_path)

    def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        words = deploy['roles']['gateway']['run'].split()
        with self.log_path.open('ab') as log:
            self.process = subprocess.Popen(
                [sys.executable, *words[1:]],
                cwd=ROOT,
                env={
                    'PATH': os.environ.get('PATH', ''),
                    'PYTHONPATH': str(LIBRARIES),
                    'TREFOILHINGE_CONFIG': str(self.settings_path),
                },
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        if self.process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self.process.wait(10)

    async def wait_until_ready(self) -> None:
        """Wait until the process answers 200 at its ready address."""
        end_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end_s:
            answer = await request(
                self.ready, 'GET', '/ready', {'Host': 'ready'}, timeout_s=1.0
            )
            if answer.status == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f'{self.name} did not get ready')


class Deployment:
    """A store, gateways and the folder of their files."""

    def __init__(self) -> None:
        """Create a deployment without processes."""
        if not LIBRARIES.is_dir():
            raise CannotRun('run the build of the deploy file first')
        self.network = Network()
        self.folder = tempfile.TemporaryDirectory()
        port = self.network.first_port
        self.store = Store(self.network.make_ip(), port)
        self.gateways: list[Gateway] = []

    def add_gateways(self, count: int) -> None:
        """Add machines; all use the same ports."""
        for number in range(1, count + 1):
            self.gateways.append(
                Gateway(
                    f'front-pointe-a-{number}',
                    self.network.make_ip(),
                    self.network.first_port + 1,
                    self.folder.name,
                )
            )

    def write_settings(self) -> None:
        """Write the settings files of all machines."""
        seeds = [gateway.control for gateway in self.gateways[:3]]
        for gateway in self.gateways:
            gateway.write_settings(self.store.address, seeds)

    async def start(self) -> None:
        """Start the store and all gateways, and wait until they are ready."""
        await self.store.start()
        self.write_settings()
        for gateway in self.gateways:
            gateway.start()
        for gateway in self.gateways:
            await gateway.wait_until_ready()

    def stop(self) -> None:
        """End all processes that this run started."""
        for gateway in self.gateways:
            gateway.kill()
        self.folder.cleanup()


def make_route(name: str, kind: str, service: str, **fields: object) -> dict:
    """Return a route of the configuration."""
    return {
        'name': name,
        'host': SERVICE_HOST,
        'prefix': f'/{name}/',
        'kind': kind,
        'service': service,
        'timeoutMs': 15000,
        'sloMs': 3000,
        'priority': 1,
        'attempts': 2,
        **fields,
    }


def make_config(version: int, routes: list[dict]) -> dict:
    """Return a configuration with these routes and both services."""
    return {
        'version': version,
        'routes': routes,
        'services': [
            {'name': 'chipdesk-llm', 'maxConns': 364, 'engine': ENGINE},
            {'name': 'yard-ops', 'maxConns': 110},
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [{'name': TENANT, 'apiKeys': [API_KEY], 'priority': 1}],
    }


def make_entry(service: str, address: str, **fields: object) -> dict:
    """Return the entry of a replica in the store."""
    return {
        'service': service,
        'address': address,
        'zone': 'pointe-a',
        'version': 'v1',
        'slots': 8,
        'state': 'ready',
        'coldLeftMs': 0,
        'seq': 1,
        'born': int(time.time() * 1000) - 60_000,
        **fields,
    }


def make_headers(
    request_id: str, deadline_ms: int, **fields: str
) -> dict[str, str]:
    """Return the headers of a client's request."""
    added = {name.replace('_', '-'): text for name, text in fields.items()}
    return {
        'Host': SERVICE_HOST,
        'X-Request-Id': request_id,
        'X-Deadline': str(deadline_ms),
        'Api-Key': API_KEY,
        **added,
    }
