"""Settings and documents of the tests' fleets."""

import itertools
import os

from trefoilhinge.dispatch.settings import Bounds, GatewaySettings

# Each test process has loopback addresses of its own, so that none meets
# another's ports.
_PID = os.getpid()
HOST = f'127.{1 + _PID // 256 % 126}.{_PID % 256}.1'
OTHER_HOST = f'127.{1 + _PID // 256 % 126}.{_PID % 256}.2'
FIRST_PORT = 12_000  # below the ports that the system gives to callers
_ports = itertools.count(FIRST_PORT)


def find_port():
    """Return a port that this process gave to nobody yet."""
    return next(_ports)


def make_settings(store_port, seeds=(), ip=HOST, port=None, **bounds):
    """Return settings of an instance on loopback."""
    usual = {
        'grace_s': 8,
        'repeat_ratio': 0.2,
        'repeat_slack': 104,
        'repeat_window_s': 10,
        'free_s': 4,
        'hold_maximum_s': 20,
        'apply_s': 2,
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
