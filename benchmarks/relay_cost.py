"""Cost of a relayed token and of an open stream for an entry instance.

Run as ``python -m benchmarks.relay_cost``; prints one JSON object for each
number of streams. The engine, the callers and the entry instance run in three
processes, so that only the relay is measured. Linux only: CPU time and memory
are read from ``/proc``.
"""

import json
import multiprocessing
import subprocess
import sys
import threading
import time
from collections.abc import Mapping
from multiprocessing.connection import Connection

import fire
import numpy as np
import urllib3
from attrs import asdict, frozen

from benchmarks.relay_clients import (
    BYTES_PER_KIB,
    OUTPUT_TOKENS,
    Caller,
    ProcessUsage,
)
from trefoilhinge.demo.deployment import (
    DeploymentOptions,
    add_key,
    list_entry_flags,
)
from trefoilhinge.standins.engines import EngineStandIn
from trefoilhinge.standins.platform import PlatformStandIn
from trefoilhinge.standins.servers import start_server

STREAMS = (50, 150, 300)
EVENT_INTERVAL_S = 0.04
MEASUREMENT_S = 8.0
SETTLE_S = 1.0
START_TIMEOUT_S = 30
ENGINE_THREADS = 340
MS_PER_S = 1000


@frozen
class RelayCost:
    """Cost of the relay at one number of streams.

    :ivar cores: CPU seconds per second of the entry instance.
    :ivar cpu_us_per_token: CPU time of the entry instance per token,
        microseconds.
    :ivar rss_mib: resident memory of the entry instance.
    :ivar kib_per_stream: resident memory per stream beyond that of the idle
        process.
    :ivar gap_p95_ms: 95th percentile of the time between two reads of a
        caller.
    """

    streams: int
    tokens_per_s: float
    cores: float
    cpu_us_per_token: float
    rss_mib: float
    kib_per_stream: float
    gap_p95_ms: float


def serve_engine(connection: Connection) -> None:
    """Run the engine until the parent sends a message or closes the pipe.

    The address of the engine is sent to the parent first.
    """
    engine = EngineStandIn('engine', decode_interval_s=EVENT_INTERVAL_S)
    engine.batch.maximum_running = ENGINE_THREADS
    engine.memory.capacity_tokens = ENGINE_THREADS * OUTPUT_TOKENS * 2
    connection.send(start_server(engine, threads=ENGINE_THREADS).address)
    connection.recv()


def make_document(engine_address: str) -> dict[str, object]:
    """Return a document with one service of one engine."""
    target = {
        'name': 'engine',
        'address': engine_address,
        'failure_domain': 'one',
    }
    return {
        'revision': 1,
        'deployment': 'relay',
        'failure_domains': [{'name': 'one', 'region': 'one'}],
        'organisations': [
            {
                'name': 'callers',
                'keys': [],
                'requests_per_s': 10_000,
                'tokens_per_s': 1e9,
                'services': ['relay'],
            },
        ],
        'services': [
            {
                'name': 'relay',
                'kind': 'model',
                'targets': [target],
                'memory_tokens': ENGINE_THREADS * OUTPUT_TOKENS * 2,
                'maximum_running': ENGINE_THREADS,
            },
        ],
        'time_limits': {'default_s': 600, 'maximum_s': 900},
        'balance': {'long_weight': 0.5},
    }


def measure_streams(
    count: int,
    url: str,
    key: str,
    usage: ProcessUsage,
    idle_kib: int,
) -> RelayCost:
    """Open streams and measure their cost in the steady state.

    :param idle_kib: resident memory of the entry instance without streams.
    """
    callers = [Caller(url, key) for _ in range(count)]
    for caller in callers:
        threading.Thread(target=caller.run, daemon=True).start()
    for caller in callers:
        caller.started.wait(START_TIMEOUT_S)
    time.sleep(SETTLE_S)
    for caller in callers:
        caller.gaps_s.clear()
    tokens = sum(caller.tokens for caller in callers)
    cpu_s = usage.read_cpu_s()
    started_s = time.monotonic()
    time.sleep(MEASUREMENT_S)
    elapsed_s = time.monotonic() - started_s
    cpu_s = usage.read_cpu_s() - cpu_s
    tokens = sum(caller.tokens for caller in callers) - tokens
    rss_kib = usage.read_rss_kib()
    gaps_s = [gap for caller in callers for gap in list(caller.gaps_s)]
    for caller in callers:
        caller.stopping.set()
    return RelayCost(
        count,
        round(tokens / elapsed_s),
        round(cpu_s / elapsed_s, 3),
        round(cpu_s / max(tokens, 1) * MS_PER_S**2, 1),
        round(rss_kib / BYTES_PER_KIB, 1),
        round((rss_kib - idle_kib) / count, 1),
        round(float(np.percentile(gaps_s, 95)) * MS_PER_S, 1),
    )


def measure(streams: tuple[int, ...] = STREAMS) -> None:
    """Measure each number of streams and print one JSON object per line."""
    parent_end, child_end = multiprocessing.Pipe()
    engine = multiprocessing.get_context('spawn').Process(
        target=serve_engine,
        args=(child_end,),
        daemon=True,
    )
    engine.start()
    document = make_document(parent_end.recv())
    organisations = document['organisations']
    key = add_key(organisations[0])  # type: ignore[index]
    platform = PlatformStandIn()
    platform.publish(json.dumps(document))
    address = start_server(platform).address
    options = DeploymentOptions(instances=1)
    flags = list_entry_flags(document, address, options)[0]
    arguments = [
        f'--{name}={_format_flag(value)}' for name, value in flags.items()
    ]
    command = [sys.executable, '-m', 'trefoilhinge', 'entry', *arguments]
    with subprocess.Popen(command, stderr=subprocess.DEVNULL) as entry:
        try:
            _measure_all(streams, flags, key, ProcessUsage(entry.pid))
        finally:
            entry.kill()
            parent_end.send('stop')


def _measure_all(
    streams: tuple[int, ...],
    flags: Mapping[str, object],
    key: str,
    usage: ProcessUsage,
) -> None:
    _wait_ready(f'http://{flags["peer_listen"]}/readyz')
    idle_kib = usage.read_rss_kib()
    for count in streams:
        cost = measure_streams(
            count,
            f'http://{flags["listen"]}',
            key,
            usage,
            idle_kib,
        )
        print(json.dumps(asdict(cost)), flush=True)
        time.sleep(SETTLE_S)


def _format_flag(value: object) -> str:
    if isinstance(value, list):
        return ','.join(value)
    return str(value)


def _wait_ready(url: str) -> None:
    pool = urllib3.PoolManager(retries=False)
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline_s:
        try:
            if pool.request('GET', url).status == 200:
                return
        except urllib3.exceptions.HTTPError:
            time.sleep(0.1)
    raise TimeoutError(f'{url} was not ready within {START_TIMEOUT_S} s')


if __name__ == '__main__':
    fire.Fire(measure)
