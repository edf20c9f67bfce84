"""A random walk of faults, repairs and calls over one deployment."""

from collections.abc import Callable

import numpy as np
from attrs import define, evolve, field

from trefoilhinge.faults.callers import Callers, Kind
from trefoilhinge.faults.catalogue import FAULTS, Scene, Undo
from trefoilhinge.faults.documents import (
    ENGINES,
    PLAINS,
)
from trefoilhinge.faults.matrix import Prepare
from trefoilhinge.faults.promises import check_promises, settle_orders
from trefoilhinge.faults.watcher import Violation, Watcher
from trefoilhinge.faults.world import (
    make_fault_world,
)
from trefoilhinge.standins.simulation.fault_points import FaultPoint, FaultSite

WARM_UP_S = 4.0
SETTLE_S = 75.0
LONGEST_STEP_S = 0.8
MAXIMUM_ACTIVE = 3
_CALL_WEIGHTS = (0.4, 0.15, 0.05, 0.25, 0.15)
_FAULT_CHANCE = 0.12
_HEAL_CHANCE = 0.16
_PUBLISH_CHANCE = 0.02


class StepProbe:
    """Strikes at the next step that is reached, once it is loaded."""

    def __init__(self) -> None:
        """Hold no fault."""
        self.load: Callable[[FaultSite], None] | None = None

    def reach(self, site: FaultSite) -> bool:
        """Take a step."""
        load = self.load
        if load is None or site.point is FaultPoint.DOCUMENT_READ:
            return False
        self.load = None
        load(site)
        return False


@define
class RandomWalk:
    """Takes steps drawn from a seed: calls, faults, repairs, documents.

    :ivar active: what undoes each fault that is not yet repaired.
    """

    scene: Scene
    watcher: Watcher
    probe: StepProbe
    generator: np.random.Generator
    active: list[tuple[str, Undo]] = field(factory=list)

    def take_step(self) -> None:
        """Take one step and let some time pass."""
        drawn = float(self.generator.uniform(0, 1))
        if drawn < _FAULT_CHANCE:
            self._load_fault()
        elif drawn < _FAULT_CHANCE + _HEAL_CHANCE:
            self._heal_oldest()
        elif drawn < _FAULT_CHANCE + _HEAL_CHANCE + _PUBLISH_CHANCE:
            self.scene.world.publish()
        else:
            number = self.generator.choice(len(Kind), p=_CALL_WEIGHTS)
            self.scene.callers.send(tuple(Kind)[number])
        self._advance(float(self.generator.uniform(0, LONGEST_STEP_S)))

    def settle(self) -> None:
        """Repair everything and let every call end."""
        self.probe.load = None
        while self.active:
            self._heal_oldest()
        for _ in range(3):
            self._advance(SETTLE_S / 3)

    def _advance(self, seconds: float) -> None:
        simulation = self.scene.world.world.simulation
        simulation.run_until(simulation.now_s + seconds)

    def _load_fault(self) -> None:
        if len(self.active) >= MAXIMUM_ACTIVE:
            return
        names = tuple(FAULTS)
        name = names[int(self.generator.integers(len(names)))]

        def strike(site: FaultSite) -> None:
            site = site if site.target else self._choose_site(site)
            if name == 'target-leaving' and site.target in PLAINS:
                # Plain targets have no incarnations: only one may leave.
                site = evolve(site, target=PLAINS[0])
            self.active.append((name, FAULTS[name].strike(self.scene, site)))

        self.probe.load = strike

    def _choose_site(self, site: FaultSite) -> FaultSite:
        targets = (*ENGINES, *PLAINS)
        number = int(self.generator.integers(len(targets)))
        return FaultSite(
            site.point, site.subject, site.instance, targets[number]
        )

    def _heal_oldest(self) -> None:
        if self.active:
            _, undo = self.active.pop(0)
            undo()
            self._bring_back_targets()

    def _bring_back_targets(self) -> None:
        """Replace targets that left, so that the walk does not run dry."""
        world = self.scene.world
        for engine in world.world.engines.values():
            if engine.leaving and not engine.running and not engine.waiting:
                engine.restart()
                world.forget_leaving(engine.name)


def run_walk(
    steps: int,
    seed: int,
    prepare: Prepare | None = None,
) -> tuple[Violation, ...]:
    """Take a number of steps, settle, and return what did not hold."""
    world = make_fault_world(seed)
    if prepare is not None:
        prepare(world)
    callers = Callers(world, last_retry_s=float('inf'))
    scene = Scene(world, callers)
    probe = StepProbe()
    watcher = Watcher(world)
    world.world.probe = probe
    world.start()
    watcher.start()
    callers.start()
    world.world.simulation.run_until(WARM_UP_S)
    generator = np.random.default_rng(seed)
    walk = RandomWalk(scene, watcher, probe, generator)
    for _ in range(steps):
        walk.take_step()
    callers.last_retry_s = world.now_s
    walk.settle()
    found = tuple(check_promises(world, scene.paused_until_s, scene.stopped))
    return (*watcher.violations, *found, *settle_orders(world))
