"""Simulated deployment that faults are injected into."""

import json
from collections.abc import Callable
from typing import Any

from attrs import define, evolve, field

from trefoilhinge.core.events import StopRequested
from trefoilhinge.core.identifiers import (
    InstanceIdentity,
    InstanceName,
    TargetName,
)
from trefoilhinge.core.reports import ListedInstance, ListedTarget
from trefoilhinge.faults.documents import (
    ENGINE_MEMORY_TOKENS,
    ENGINES,
    FAILURE_DOMAINS,
    PLAIN_TARGETS,
    PREFILL_TOKENS_PER_S,
    find_failure_domain,
    make_document,
    make_target_entry,
)
from trefoilhinge.node.composition import make_node, make_parts
from trefoilhinge.node.core import NodeCore, NodeParts
from trefoilhinge.standins.simulation.driver import NodeDriver
from trefoilhinge.standins.simulation.engine import EngineSpeeds, FakeEngine
from trefoilhinge.standins.simulation.network import Network
from trefoilhinge.standins.simulation.scheduler import START_WALL_S, Simulation
from trefoilhinge.standins.simulation.services import FakePlainService
from trefoilhinge.standins.simulation.world import World

INSTANCES = ('entry-0', 'entry-1', 'entry-2')
LATENCY_S = 0.001
TARGET_LIST_DELAY_S = 3.0
START_WAIT_S = 1.0
STOP_WAIT_S = 2.0
PLAIN_SERVE_S = 0.3

AlterParts = Callable[[NodeParts], NodeParts]
AlterCore = Callable[[NodeCore], NodeCore]


@define
class FaultWorld:
    """Deployment of three instances, four engines and two plain services.

    :ivar world: simulation that the instances share, with the records of the
        fakes.
    :ivar drivers: current incarnation of each instance.
    :ivar earlier_incarnations: incarnations that were replaced.
    :ivar published_s: simulated time of publication, by revision.
    :ivar alter_parts: replaces parts of each node, so that tests can prove
        that a check fails for a broken node.
    :ivar alter_core: replaces the node core, for the same purpose.
    :ivar silence_s: seconds without an event after which an attempt counts
        as silent.
    :ivar make_document: returns the configuration document of a revision.
    """

    world: World
    seed: int
    drivers: dict[InstanceName, NodeDriver] = field(factory=dict)
    earlier_incarnations: list[NodeDriver] = field(factory=list)
    published_s: dict[int, float] = field(factory=dict)
    alter_parts: AlterParts = field(default=lambda parts: parts)
    alter_core: AlterCore = field(default=lambda core: core)
    silence_s: float = 2.0
    make_document: Callable[[int], dict[str, Any]] = field(
        factory=lambda: make_document,
    )

    @property
    def now_s(self) -> float:
        """Return the simulated time, in seconds."""
        return self.world.simulation.now_s

    def start(self) -> None:
        """Publish the first revision and start all instances."""
        self.publish()
        for name in INSTANCES:
            self.start_instance(InstanceName(name))

    def publish(self) -> int:
        """Publish the document of the next revision; return the revision."""
        revision = len(self.world.platform.published) + 1
        text = json.dumps(self.make_document(revision))
        self.world.platform.published.append(text)
        self.published_s[revision] = self.now_s
        return revision

    def start_instance(self, name: InstanceName) -> NodeDriver:
        """Start an instance, as a new incarnation if it ran before."""
        wall_s = START_WALL_S + self.now_s
        identity = InstanceIdentity(name, int(wall_s * 1000))
        parts = make_parts(
            identity,
            name,
            FAILURE_DOMAINS[INSTANCES.index(name) % len(FAILURE_DOMAINS)],
            'a secret of the deployment, 32 bytes and more',
            tuple(one for one in INSTANCES if one != name),
            self.seed + INSTANCES.index(name),
            f'life{len(self.earlier_incarnations)}',
        )
        core = make_node(
            self.alter_parts(parts),
            START_WAIT_S,
            STOP_WAIT_S,
            self.seed + INSTANCES.index(name),
        )
        driver = NodeDriver(
            name,
            self.world,
            self.alter_core(core),
            silence_s=self.silence_s,
            incarnation=identity.incarnation,
        )
        if name in self.drivers:
            self.earlier_incarnations.append(self.drivers[name])
        self.drivers[name] = driver
        self.world.drivers[name] = driver
        self.world.network.dead.discard(name)
        driver.start()
        return driver

    def kill_instance(self, name: InstanceName) -> None:
        """Kill the process of an instance."""
        self.drivers[name].kill()

    def stop_instance(self, name: InstanceName) -> None:
        """Ask an instance to stop."""
        self.drivers[name].handle_event(StopRequested())

    def kill_engine(self, name: TargetName) -> None:
        """Kill an engine; its memory and streams are lost."""
        engine = self.world.engines[name]
        engine.dead = True
        engine.restart()
        self.world.network.dead.add(name)
        self.world.chains.fail_streams(self.world.engines)
        self.clear_leaving(name)

    def restart_engine(self, name: TargetName) -> None:
        """Start a killed engine again, empty and as a new incarnation."""
        self.world.engines[name].dead = False
        self.world.network.dead.discard(name)

    def mark_leaving(self, name: TargetName) -> None:
        """Have the platform list a target as leaving, after its usual delay."""

        engine = self.world.engines.get(name)
        incarnation = engine.incarnation if engine else 0

        def mark() -> None:
            if engine is None or engine.incarnation == incarnation:
                self._set_leaving(name, leaving=True)

        self.world.simulation.schedule(TARGET_LIST_DELAY_S, mark)

    def clear_leaving(self, name: TargetName) -> None:
        """List a new incarnation of a target, which is not leaving."""
        self._set_leaving(name, leaving=False)
        self.world.leaving_noticed_s.pop(name, None)
        self.world.starts.pop(name, None)

    def _set_leaving(self, name: TargetName, *, leaving: bool) -> None:
        self.world.platform.targets = tuple(
            evolve(one, leaving=leaving) if one.name == name else one
            for one in self.world.platform.targets
        )

    def is_running(self, name: str) -> bool:
        """Return whether an instance is alive, not paused and not stopped."""
        driver = self.drivers[InstanceName(name)]
        return driver.alive and not driver.paused and not driver.stopped


def make_fault_world(seed: int) -> FaultWorld:
    """Return a deployment that is not started."""
    simulation = Simulation()
    network = Network(
        simulation,
        lambda source, target: LATENCY_S,
        tracks_connections=True,
    )
    world = World(simulation, network)
    for name in ENGINES:
        engine = FakeEngine(TargetName(name), simulation, make_speeds())
        engine.model = 'open-large'
        engine.version = 'v1'
        world.engines[engine.name] = engine
    for name in PLAIN_TARGETS:
        plain = FakePlainService(TargetName(name), serve_s=PLAIN_SERVE_S)
        world.plains[plain.name] = plain
    world.platform.instances = tuple(
        ListedInstance(InstanceName(name), name, FAILURE_DOMAINS[0])
        for name in INSTANCES
    )
    world.platform.targets = tuple(
        ListedTarget(
            TargetName(name),
            make_target_entry(name)['address'],
            find_failure_domain(name),
            'writer' if name in ENGINES else 'desk',
        )
        for name in (*ENGINES, *PLAIN_TARGETS)
    )
    return FaultWorld(world, seed)


def make_speeds() -> EngineSpeeds:
    """Return the speeds of the simulated engines."""
    return EngineSpeeds(
        prefill_tokens_per_s=PREFILL_TOKENS_PER_S,
        step_s=0.04,
        step_per_stream_s=0.001,
        chunk_tokens=10_000,
        memory_tokens=ENGINE_MEMORY_TOKENS,
        cache_tokens=20_000,
        maximum_running=8,
    )
