"""A small deployment on simulated time that faults are injected into."""

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
    DOMAINS,
    ENGINE_MEMORY_TOKENS,
    ENGINES,
    PLAINS,
    PREFILL_TOKENS_PER_S,
    describe_document,
    describe_target,
    find_domain,
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
LIST_LAG_S = 3.0
START_WAIT_S = 1.0
STOP_WAIT_S = 2.0
PLAIN_SERVE_S = 0.3

AlterParts = Callable[[NodeParts], NodeParts]
AlterCore = Callable[[NodeCore], NodeCore]


@define
class FaultWorld:
    """Three instances, four engines and two plain services.

    :ivar world: what the instances share, with the fakes' own records.
    :ivar drivers: the latest incarnation of each instance.
    :ivar retired: earlier incarnations.
    :ivar published_s: time of publication of each revision.
    :ivar alter_parts: replaces cores, to prove that a check can fail.
    :ivar alter_core: replaces the node, for the same reason.
    :ivar describe: returns the document of a revision.
    """

    world: World
    seed: int
    drivers: dict[InstanceName, NodeDriver] = field(factory=dict)
    retired: list[NodeDriver] = field(factory=list)
    published_s: dict[int, float] = field(factory=dict)
    alter_parts: AlterParts = field(default=lambda parts: parts)
    alter_core: AlterCore = field(default=lambda core: core)
    silence_s: float = 2.0
    describe: Callable[[int], dict[str, Any]] = field(
        factory=lambda: describe_document,
    )

    @property
    def now_s(self) -> float:
        """Return the simulated time."""
        return self.world.simulation.now_s

    def start(self) -> None:
        """Start every instance with the first revision published."""
        self.publish()
        for name in INSTANCES:
            self.start_instance(InstanceName(name))

    def publish(self) -> int:
        """Publish a document of the next revision and return that."""
        revision = len(self.world.platform.published) + 1
        text = json.dumps(self.describe(revision))
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
            DOMAINS[INSTANCES.index(name) % len(DOMAINS)],
            'a secret of the deployment, 32 bytes and more',
            tuple(one for one in INSTANCES if one != name),
            self.seed + INSTANCES.index(name),
            f'life{len(self.retired)}',
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
            self.retired.append(self.drivers[name])
        self.drivers[name] = driver
        self.world.drivers[name] = driver
        self.world.network.dead.discard(name)
        driver.start()
        return driver

    def kill_instance(self, name: InstanceName) -> None:
        """Lose the process of an instance."""
        self.drivers[name].kill()

    def stop_instance(self, name: InstanceName) -> None:
        """Ask an instance to stop."""
        self.drivers[name].handle_event(StopRequested())

    def kill_engine(self, name: TargetName) -> None:
        """Lose an engine and whatever it held."""
        engine = self.world.engines[name]
        engine.dead = True
        engine.restart()
        self.world.network.dead.add(name)
        self.world.chains.fail_streams(self.world.engines)
        self.forget_leaving(name)

    def restart_engine(self, name: TargetName) -> None:
        """Bring an engine back, empty and as a new incarnation."""
        self.world.engines[name].dead = False
        self.world.network.dead.discard(name)

    def list_leaving(self, name: TargetName) -> None:
        """Have the platform list a target as leaving, which it does late."""

        engine = self.world.engines.get(name)
        incarnation = engine.incarnation if engine else 0

        def change() -> None:
            if engine is None or engine.incarnation == incarnation:
                self._list_target(name, leaving=True)

        self.world.simulation.schedule(LIST_LAG_S, change)

    def forget_leaving(self, name: TargetName) -> None:
        """Begin a new incarnation of a target, which does not leave."""
        self._list_target(name, leaving=False)
        self.world.leaving_noticed_s.pop(name, None)
        self.world.starts.pop(name, None)

    def _list_target(self, name: TargetName, *, leaving: bool) -> None:
        self.world.platform.targets = tuple(
            evolve(one, leaving=leaving) if one.name == name else one
            for one in self.world.platform.targets
        )

    def is_up(self, name: str) -> bool:
        """Return whether an instance runs now."""
        driver = self.drivers[InstanceName(name)]
        return driver.alive and not driver.paused and not driver.stopped


def make_fault_world(seed: int) -> FaultWorld:
    """Return a world in which nothing runs yet."""
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
    for name in PLAINS:
        plain = FakePlainService(TargetName(name), serve_s=PLAIN_SERVE_S)
        world.plains[plain.name] = plain
    world.platform.instances = tuple(
        ListedInstance(InstanceName(name), name, DOMAINS[0])
        for name in INSTANCES
    )
    world.platform.targets = tuple(
        ListedTarget(
            TargetName(name),
            describe_target(name)['address'],
            find_domain(name),
            'writer' if name in ENGINES else 'desk',
        )
        for name in (*ENGINES, *PLAINS)
    )
    return FaultWorld(world, seed)


def make_speeds() -> EngineSpeeds:
    """Return the speeds of the world's engines."""
    return EngineSpeeds(
        prefill_tokens_per_s=PREFILL_TOKENS_PER_S,
        step_s=0.04,
        step_per_stream_s=0.001,
        chunk_tokens=10_000,
        memory_tokens=ENGINE_MEMORY_TOKENS,
        cache_tokens=20_000,
        maximum_running=8,
    )
