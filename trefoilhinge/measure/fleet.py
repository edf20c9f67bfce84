"""Simulated fleet that a policy is measured on.

The instances run complete nodes; engines, network and platform are simulated.
"""

from collections.abc import Callable, Iterable

from attrs import define, evolve, field
from expression import Ok, Result

from trefoilhinge.conf.generated.document import Document, Service
from trefoilhinge.conf.generated.messages import PeerExchange
from trefoilhinge.conf.messages import decode_exchange
from trefoilhinge.core.identifiers import (
    InstanceIdentity,
    InstanceName,
    ReservationTag,
    StreamId,
    TargetName,
)
from trefoilhinge.core.profiles import CallProfile
from trefoilhinge.core.reports import ListedInstance
from trefoilhinge.measure.baselines import BASELINES, make_baseline_router
from trefoilhinge.node.composition import make_node, make_parts
from trefoilhinge.standins.simulation.driver import NodeDriver
from trefoilhinge.standins.simulation.engine import (
    BLOCK_TOKENS,
    EngineSpeeds,
    FakeEngine,
    Listener,
)
from trefoilhinge.standins.simulation.network import Network
from trefoilhinge.standins.simulation.scheduler import Simulation
from trefoilhinge.standins.simulation.services import FakePlainService
from trefoilhinge.standins.simulation.world import SimulatedInstance, World

DEFAULT_POLICY = 'default'
INSTANCES = 8
LOAD_REPORT_DELAY_S = 0.3
CACHE_EVENT_DELAY_S = 1.0
LOST_CACHE_EVENT_INTERVAL = 50  # one cache event in this many is lost
CROSS_DOMAIN_DELAY_S = 0.001
SAME_DOMAIN_DELAY_S = 0.0002
FIRST_INCARNATION_MS = 1_800_000_000_000


@define
class IdealCacheTracker:
    """Tracks the cache hits of an ideal policy that knows every cache.

    :ivar engines: engines whose caches are compared.
    :ivar ideal_hit_tokens: tokens of the longest prefix match in any engine,
        summed over the started streams.
    """

    engines: list['TrackedEngine'] = field(factory=list)
    ideal_hit_tokens: int = 0

    def record_start(self, profile: CallProfile) -> None:
        """Add the ideal hit of a stream that is about to start."""
        longest_blocks = max(
            _count_matching_blocks(profile, engine.cache)
            for engine in self.engines
            if not engine.dead and not engine.leaving
        )
        # An engine prefills at least one token of a prompt.
        limit_tokens = profile.prompt_tokens - 1
        self.ideal_hit_tokens += min(
            longest_blocks * BLOCK_TOKENS, limit_tokens
        )


def _count_matching_blocks(profile: CallProfile, cached: Iterable[int]) -> int:
    for index, digest in enumerate(profile.prefix_digests):
        if digest not in cached:
            return index
    return len(profile.prefix_digests)


@define
class TrackedEngine(FakeEngine):
    """Simulated engine that reports started streams to the cache tracker."""

    cache_tracker: IdealCacheTracker = field(factory=IdealCacheTracker)

    def start(
        self,
        stream_id: StreamId,
        profile: CallProfile,
        priority: int,
        listener: Listener,
        tag: ReservationTag | None = None,
    ) -> bool:
        """Start a stream.

        :return: false if the stream was refused and has not started.
        """
        if not tag:
            self.cache_tracker.record_start(profile)
        # attrs replaces the class to add slots, which breaks super() without
        # arguments.
        return FakeEngine.start(
            self,
            stream_id,
            profile,
            priority,
            listener,
            tag,
        )


@define
class InMemoryCodec:
    """Codec that passes messages by reference instead of as JSON.

    The cost of JSON is measured separately.
    """

    _messages: dict[str, PeerExchange] = field(factory=dict)
    _count: int = 0

    def write(self, exchange: PeerExchange) -> str:
        """Store a message and return its name."""
        self._count += 1
        name = str(self._count)
        self._messages[name] = exchange
        # Bounds the memory held by messages that are never read.
        self._messages.pop(str(self._count - 4096), None)
        return name

    def read(self, text: str) -> Result[PeerExchange, str]:
        """Return the message stored under a name."""
        exchange = self._messages.get(text)
        # Messages that were not written by this codec are plain JSON.
        return decode_exchange(text) if exchange is None else Ok(exchange)


@define
class SimulatedFleet:
    """Fleet on simulated time.

    :ivar names: names of the instances, in the load balancer's order.
    :ivar drivers: latest incarnation of each instance, by name.
    """

    world: World
    document: Document
    policy: str
    seed: int
    cache_tracker: IdealCacheTracker
    names: tuple[InstanceName, ...]
    codec: InMemoryCodec = field(factory=InMemoryCodec)
    drivers: dict[InstanceName, NodeDriver] = field(factory=dict)
    _start_count: int = 0

    def start_instance(self, name: InstanceName) -> None:
        """Start an instance, or restart it as a new incarnation."""
        index = self.names.index(name)
        domains = self.document.failure_domains
        self._start_count += 1
        parts = make_parts(
            InstanceIdentity(name, FIRST_INCARNATION_MS + self._start_count),
            name,
            domains[index % len(domains)].name,
            'measured-secret',
            tuple(peer for peer in self.names if peer != name),
            self.seed * INSTANCES + index,
            start_token=f'l{self._start_count}',
        )
        if self.policy != DEFAULT_POLICY:
            parts.router = make_baseline_router(
                self.policy,
                self.seed * INSTANCES + index,
            )
        node = make_node(parts, start_wait_s=0, stop_wait_s=0, seed=index)
        node.exchanger.codec = self.codec
        driver = NodeDriver(
            name,
            self.world,
            node,
            incarnation=FIRST_INCARNATION_MS + self._start_count,
        )
        self.world.network.dead.discard(name)
        self.drivers[name] = driver
        self.world.drivers[name] = driver
        driver.start()

    def choose_instance(self, instance_draw: int) -> SimulatedInstance | None:
        """Return the ready instance that the load balancer picks for a request.

        :param instance_draw: random number of the request.
        :return: none if no instance is ready.
        """
        ready = [
            driver for driver in self.world.drivers.values() if driver.ready
        ]
        if not ready:
            return None
        return ready[instance_draw % len(ready)]


def make_fleet(
    document: Document,
    document_text: str,
    policy: str,
    seed: int,
    speeds: EngineSpeeds,
) -> SimulatedFleet:
    """Return a fleet of ``INSTANCES`` instances, all of them started.

    :param document_text: JSON text that the configuration service serves.
    :param policy: the default policy or one of the baselines.
    :param speeds: speeds of the engines; their memory is the service's.
    """
    simulation = Simulation()
    domains = _map_failure_domains(document)
    world = World(
        simulation,
        Network(simulation, _make_delay_function(domains)),
        load_lag_s=LOAD_REPORT_DELAY_S,
        cache_lag_s=CACHE_EVENT_DELAY_S,
        cache_gap=LOST_CACHE_EVENT_INTERVAL,
    )
    cache_tracker = IdealCacheTracker()
    for service in document.services:
        _add_targets(world, service, cache_tracker, speeds)
    names = tuple(InstanceName(f'entry-{index}') for index in range(INSTANCES))
    world.platform.published.append(document_text)
    world.platform.instances = tuple(
        ListedInstance(name, name, domains[name]) for name in names
    )
    fleet = SimulatedFleet(world, document, policy, seed, cache_tracker, names)
    for name in names:
        fleet.start_instance(name)
    return fleet


def list_policies() -> tuple[str, ...]:
    """Return the default policy and every baseline."""
    return (DEFAULT_POLICY, *BASELINES)


def _add_targets(
    world: World,
    service: Service,
    cache_tracker: IdealCacheTracker,
    speeds: EngineSpeeds,
) -> None:
    for target in service.targets:
        name = TargetName(target.name)
        if service.kind == 'plain':
            world.plains[name] = FakePlainService(name)
            continue
        engine = TrackedEngine(
            name,
            world.simulation,
            evolve(speeds, memory_tokens=service.memory_tokens),
            retains_events=False,
            skips_events=True,
            cache_tracker=cache_tracker,
        )
        cache_tracker.engines.append(engine)
        world.engines[name] = engine


def _map_failure_domains(document: Document) -> dict[str, str]:
    domains = {
        target.name: target.failure_domain
        for service in document.services
        for target in service.targets
    }
    for index in range(INSTANCES):
        domain = document.failure_domains[index % len(document.failure_domains)]
        domains[f'entry-{index}'] = domain.name
    return domains


def _make_delay_function(
    domains: dict[str, str],
) -> Callable[[str, str], float]:
    def get_delay_s(source: str, target: str) -> float:
        here = domains.get(source)
        if here is not None and here == domains.get(target):
            return SAME_DOMAIN_DELAY_S
        return CROSS_DOMAIN_DELAY_S

    return get_delay_s
