"""Random walk of calls, faults and their undoing over one deployment."""

from collections.abc import Callable

import numpy as np
from attrs import define, evolve, field

from trefoilhinge.faults.callers import Callers, RequestKind
from trefoilhinge.faults.catalogue import FAULTS, InjectionContext, Undo
from trefoilhinge.faults.documents import (
    ENGINES,
    PLAIN_TARGETS,
)
from trefoilhinge.faults.invariants import (
    check_invariants,
    wait_for_convergence,
)
from trefoilhinge.faults.matrix import PrepareWorld
from trefoilhinge.faults.monitor import InvariantMonitor, Violation
from trefoilhinge.faults.world import (
    make_fault_world,
)
from trefoilhinge.standins.simulation.fault_points import FaultPoint, FaultSite

WARM_UP_S = 4.0
SETTLE_S = 75.0
MAXIMUM_STEP_S = 0.8
MAXIMUM_ACTIVE_FAULTS = 3
_CALL_WEIGHTS = (0.4, 0.15, 0.05, 0.25, 0.15)  # in the order of RequestKind
_FAULT_PROBABILITY = 0.12
_UNDO_PROBABILITY = 0.16
_PUBLISH_PROBABILITY = 0.02


class ArmedFaultProbe:
    """Injects an armed fault at the next fault point that is reached.

    :ivar inject_next: injects the armed fault, none if no fault is armed.
    """

    def __init__(self) -> None:
        """Start without an armed fault."""
        self.inject_next: Callable[[FaultSite], None] | None = None

    def reach(self, site: FaultSite) -> bool:
        """Inject the armed fault, if any, except when a document is read."""
        inject_next = self.inject_next
        if inject_next is None or site.point is FaultPoint.DOCUMENT_READ:
            return False
        self.inject_next = None
        inject_next(site)
        return False


@define
class RandomWalk:
    """Random sequence of calls, faults, undone faults and documents.

    :ivar active_faults: names and undo functions of the faults in effect,
        oldest first.
    """

    context: InjectionContext
    monitor: InvariantMonitor
    probe: ArmedFaultProbe
    generator: np.random.Generator
    active_faults: list[tuple[str, Undo]] = field(factory=list)

    def take_step(self) -> None:
        """Take one random step and advance the simulation."""
        draw = float(self.generator.uniform(0, 1))
        if draw < _FAULT_PROBABILITY:
            self._arm_fault()
        elif draw < _FAULT_PROBABILITY + _UNDO_PROBABILITY:
            self._undo_oldest_fault()
        elif (
            draw < _FAULT_PROBABILITY + _UNDO_PROBABILITY + _PUBLISH_PROBABILITY
        ):
            self.context.world.publish()
        else:
            number = self.generator.choice(len(RequestKind), p=_CALL_WEIGHTS)
            self.context.callers.send(tuple(RequestKind)[number])
        self._advance(float(self.generator.uniform(0, MAXIMUM_STEP_S)))

    def settle(self) -> None:
        """Undo all faults and simulate until all calls have ended."""
        self.probe.inject_next = None
        while self.active_faults:
            self._undo_oldest_fault()
        for _ in range(3):
            self._advance(SETTLE_S / 3)

    def _advance(self, duration_s: float) -> None:
        simulation = self.context.world.world.simulation
        simulation.run_until(simulation.now_s + duration_s)

    def _arm_fault(self) -> None:
        if len(self.active_faults) >= MAXIMUM_ACTIVE_FAULTS:
            return
        names = tuple(FAULTS)
        name = names[int(self.generator.integers(len(names)))]

        def inject(site: FaultSite) -> None:
            site = site if site.target else self._choose_site(site)
            if name == 'target-leaving' and site.target in PLAIN_TARGETS:
                # Plain targets have no incarnations, so that a departed one
                # cannot return: only the first may leave.
                site = evolve(site, target=PLAIN_TARGETS[0])
            self.active_faults.append(
                (name, FAULTS[name].inject(self.context, site))
            )

        self.probe.inject_next = inject

    def _choose_site(self, site: FaultSite) -> FaultSite:
        targets = (*ENGINES, *PLAIN_TARGETS)
        number = int(self.generator.integers(len(targets)))
        return FaultSite(
            site.point, site.subject, site.instance, targets[number]
        )

    def _undo_oldest_fault(self) -> None:
        if self.active_faults:
            _, undo = self.active_faults.pop(0)
            undo()
            self._restart_drained_engines()

    def _restart_drained_engines(self) -> None:
        """Restart engines that have drained, so that enough are in service."""
        world = self.context.world
        for engine in world.world.engines.values():
            if engine.leaving and not engine.running and not engine.waiting:
                engine.restart()
                world.clear_leaving(engine.name)


def run_walk(
    steps: int,
    seed: int,
    prepare: PrepareWorld | None = None,
) -> tuple[Violation, ...]:
    """Run a random walk and return the violations.

    :param prepare: alters the deployment before it starts.
    """
    world = make_fault_world(seed)
    if prepare is not None:
        prepare(world)
    callers = Callers(world, last_retry_s=float('inf'))
    context = InjectionContext(world, callers)
    probe = ArmedFaultProbe()
    monitor = InvariantMonitor(world)
    world.world.probe = probe
    world.start()
    monitor.start()
    callers.start()
    world.world.simulation.run_until(WARM_UP_S)
    generator = np.random.default_rng(seed)
    walk = RandomWalk(context, monitor, probe, generator)
    for _ in range(steps):
        walk.take_step()
    callers.last_retry_s = world.now_s
    walk.settle()
    found = tuple(check_invariants(world, context.resumed_s, context.stopped))
    return (*monitor.violations, *found, *wait_for_convergence(world))
