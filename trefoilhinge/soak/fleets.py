"""Instances, stand-ins and proxies of one soak."""

import asyncio
import itertools
import os
import pathlib
import time

from attrs import define, field

from trefoilhinge.platform import store
from trefoilhinge.platform.standins import formats
from trefoilhinge.soak.cold_checks import COLD_REQUESTS_PER_S
from trefoilhinge.soak.crashes import CrashSource
from trefoilhinge.soak.demands import (
    ENGINE_SLOTS,
    QUEUED_TIMEOUT_S,
    SCARCE_SLOTS,
    Demand,
    EnginePrefills,
)
from trefoilhinge.soak.instances import PROGRAM, Instance
from trefoilhinge.soak.observations import ObservationLog
from trefoilhinge.soak.proxies import Proxy
from trefoilhinge.soak.records import QUEUED_NAME
from trefoilhinge.soak.stores import StoreStandIn
from trefoilhinge.soak.targets import SoakTarget

INSTANCES = 4
MODEL_TARGETS = 4
PLAIN_TARGETS = 3
CALLER_KEYS = 6
REVOCABLE_KEYS = 2  # may be revoked in a soak, each with a caller of its own
FIRST_PORT = 21_000
FIRST_LINK_PORT = 21_100
FAILURE_DOMAINS = ('a', 'b')  # of the targets, by turns
RESTART_S = 1.5  # of a target that has crashed
# Routes of calls that may take longer than a stop.
QUEUED_ROUTES = formats.encode_queued_routes(QUEUED_NAME, QUEUED_TIMEOUT_S)
# Networks of processes whose numbers differ by less than 127 * 256 differ; the
# tests of the gateway use 127.1 to 127.126 in the same way.
FIRST_NETWORK = 127
NETWORKS = 127
SUBNETS = 256


@define
class SoakFleet:
    """Processes and servers of one soak.

    :ivar store_links: proxy of each instance before that of the store.
    :ivar proxies: proxies of the targets, in their order.
    :ivar demand: what all callers ask for at present, none if each draws.
    :ivar demand_ended_s: time at which the last one ended.
    :ivar retrying_keys: API keys whose callers retry at once at present.
    :ivar has_admission: whether calls wait in one order over all instances.
    :ivar restorations: restorations of the store whose lost changes are not
        made again yet.
    :ivar keys: organisation of each valid API key.
    :ivar version: version of the latest document.
    :ivar crash_source: what crashes targets at present, if anything does.
    :ivar revoked_keys: time at which each key was revoked, in seconds of the
        monotonic clock.
    """

    observations: ObservationLog
    store: StoreStandIn
    store_proxy: Proxy
    store_links: list[Proxy]
    instances: list[Instance]
    targets: list[SoakTarget]
    proxies: list[Proxy]
    keys: dict[str, str]
    version: int = 1
    crash_source: CrashSource | None = None
    _restarts: dict[str, asyncio.Task[None]] = field(factory=dict)
    revoked_keys: dict[str, float] = field(factory=dict)
    restorations: int = 0
    demand: Demand | None = None
    retrying_keys: frozenset[str] = frozenset()
    has_admission: bool = False
    demand_ended_s: float = float('-inf')

    async def start(self) -> None:
        """Start stand-ins, proxies and instances."""
        await self.store.start()
        for link in (self.store_proxy, *self.store_links):
            await link.start()
        prefills = EnginePrefills()
        for proxy, target in zip(self.proxies, self.targets, strict=True):
            target.get_crash_source = self.find_crash_source
            target.get_demand = self.find_demand
            target.prefills = prefills
            if self.has_admission:
                target.slots = asyncio.Semaphore(SCARCE_SLOTS)
            target.on_crash = self.crash_target
            await target.start()
            await proxy.start()
            self.put_target(target, is_leaving=False)
        self.put_document()
        for instance in self.instances:
            instance.start()

    def put_document(self) -> None:
        """Write the next version of the document to the store."""
        self.version += 1
        self.store.put(
            store.DOCUMENT_KEY,
            formats.encode_document(
                self.version,
                self.keys,
                COLD_REQUESTS_PER_S,
                SCARCE_SLOTS if self.has_admission else ENGINE_SLOTS,
                QUEUED_ROUTES,
            ),
        )

    def put_target(self, target: SoakTarget, *, is_leaving: bool) -> None:
        """Write the entry of a target, with the address of its proxy."""
        listen = self.proxies[self.targets.index(target)].listen
        self.store.put_target(
            target.name,
            f'{listen[0]}:{listen[1]}',
            target.service,
            is_leaving=is_leaving,
            born=target.started_ms,
            seq=target.sequence,
            zone=target.failure_domain,
            cold_s=target.compute_cold_s(),
        )
        if is_leaving:
            self.observations.leaving_since_s[target.name] = time.monotonic()

    def choose_instance(self, selector: float) -> Instance:
        """Return the instance that a number in [0, 1) selects."""
        return self.instances[int(selector * len(self.instances))]

    def choose_target(self, selector: float) -> SoakTarget:
        """Return the target that a number in [0, 1) selects."""
        return self.targets[int(selector * len(self.targets))]

    def find_crash_source(self) -> CrashSource | None:
        """Return what crashes targets at present, if anything does."""
        return self.crash_source

    def find_demand(self) -> Demand | None:
        """Return what all callers ask for at present, if each does not draw."""
        return self.demand

    def check_retrying(self, key: str) -> bool:
        """Return whether the callers with an API key retry at once."""
        return key in self.retrying_keys

    def crash_target(self, target: SoakTarget, source: CrashSource) -> None:
        """Let a target end with all its connections, and start again."""
        address = f'{target.address}'
        if address in self._restarts:
            return
        target.crashed_s = time.monotonic()
        target.requests_per_s = None
        target.cold_until_s = float('-inf')
        target.reservations.clear()
        source.trait.crashes_s.append(target.crashed_s)
        self.proxies[self.targets.index(target)].stop()
        restart = asyncio.ensure_future(self._restart_target(target))
        self._restarts[address] = restart
        restart.add_done_callback(lambda _: self._restarts.pop(address))

    async def _restart_target(self, target: SoakTarget) -> None:
        await asyncio.sleep(RESTART_S)
        await self.proxies[self.targets.index(target)].start()
        target.started_ms = int(time.time() * formats.MS_PER_S)
        if target.name not in self.observations.leaving_since_s:
            self.put_target(target, is_leaving=False)

    def revoke_key(self, key: str) -> None:
        """Revoke an API key, unless it is revoked already."""
        if self.keys.pop(key, None) is not None:
            self.put_document()
            self.revoked_keys[key] = time.monotonic()

    def close(self) -> None:
        """Kill all instances for good, and close all sockets."""
        for restart in self._restarts.values():
            restart.cancel()
        for instance in self.instances:
            instance.end()
        for proxy in self.proxies:
            proxy.stop()
        for target in self.targets:
            target.stop()
        for link in (self.store_proxy, *self.store_links):
            link.stop()
        self.store.stop()


def make_network(process_id: int) -> str:
    """Return the loopback network of a process that runs soaks."""
    high, low = divmod(process_id, SUBNETS)
    return f'127.{FIRST_NETWORK + high % NETWORKS}.{low}'


def make_fleet(
    folder: pathlib.Path,
    program: tuple[str, ...] = PROGRAM,
    instances: int = INSTANCES,
    *,
    has_admission: bool = False,
) -> SoakFleet:
    """Return a fleet that is not started.

    A process runs one fleet at a time: all have the same addresses.

    :param folder: directory of settings and logs.
    :param instances: number of instances, at most 240, the addresses of a
        network.
    :param has_admission: whether calls wait in one order over all instances,
        for engines with few slots.
    """
    network = make_network(os.getpid())
    host = f'{network}.1'
    observations = ObservationLog()
    store_port = FIRST_PORT
    proxy_port = FIRST_PORT + 1
    services = [
        'model' if number < MODEL_TARGETS else 'desk'
        for number in range(MODEL_TARGETS + PLAIN_TARGETS)
    ]
    ports = range(FIRST_PORT + 2, FIRST_PORT + 2 + 2 * len(services), 2)
    targets = [
        SoakTarget(
            f'{service}-{port}', service, domain, (host, port), observations
        )
        for service, domain, port in zip(
            services, itertools.cycle(FAILURE_DOMAINS), ports, strict=False
        )
    ]
    ips = [f'{network}.{10 + number}' for number in range(instances)]
    keys = {
        f'key-{number}': f'organisation-{number}'
        for number in range(CALLER_KEYS + REVOCABLE_KEYS)
    }
    store_links = [
        Proxy((host, FIRST_LINK_PORT + number), (host, proxy_port))
        for number in range(instances)
    ]
    return SoakFleet(
        observations=observations,
        store=StoreStandIn(host, store_port),
        store_proxy=Proxy((host, proxy_port), (host, store_port)),
        store_links=store_links,
        instances=[
            Instance(
                f'instance-{number}',
                ip,
                FIRST_PORT,
                f'{host}:{FIRST_LINK_PORT + number}',
                [f'{seed}:{FIRST_PORT}' for seed in ips[:3]],
                folder,
                program,
                has_admission,
            )
            for number, ip in enumerate(ips)
        ],
        targets=targets,
        proxies=[
            Proxy((host, target.address[1] + 1), target.address)
            for target in targets
        ],
        keys=keys,
        has_admission=has_admission,
    )
