"""Fault injection into a simulated fleet under load."""

import enum
import functools
import itertools

from attrs import frozen

from trefoilhinge.core.identifiers import InstanceName, TargetName
from trefoilhinge.measure.fleet import SimulatedFleet
from trefoilhinge.standins.simulation.world import PLATFORM_ENDPOINT

FAULT_DURATION_S = 20.0


class FaultKind(enum.StrEnum):
    """Kinds of faults, as values of the ``--faults`` flag."""

    NONE = 'none'
    ENGINE_DEATH = 'engine_death'
    INSTANCE_RESTART = 'instance_restart'
    PARTITION = 'partition'


@frozen
class _FaultWindow:
    """Start and end of a fault, in simulated seconds."""

    start_s: float
    end_s: float


def schedule_fault(
    fleet: SimulatedFleet,
    kind: FaultKind,
    load_start_s: float,
    load_duration_s: float,
) -> None:
    """Schedule a fault after the first third of the load.

    :param load_start_s: simulated seconds at which the load starts.
    :param load_duration_s: duration of the load, seconds.
    """
    start_s = load_start_s + load_duration_s / 3
    window = _FaultWindow(start_s, start_s + FAULT_DURATION_S)
    if kind is FaultKind.ENGINE_DEATH:
        _schedule_engine_death(fleet, window)
    elif kind is FaultKind.INSTANCE_RESTART:
        _schedule_restart(fleet, window)
    elif kind is FaultKind.PARTITION:
        _schedule_partition(fleet, window)


def _schedule_engine_death(fleet: SimulatedFleet, window: _FaultWindow) -> None:
    world = fleet.world
    name = TargetName(next(iter(world.engines)))
    engine = world.engines[name]

    def stop_engine() -> None:
        engine.dead = True
        world.network.dead.add(name)

    def restart_engine() -> None:
        engine.dead = False
        engine.restart()
        world.network.dead.discard(name)

    world.simulation.schedule(window.start_s, stop_engine)
    world.simulation.schedule(window.end_s, restart_engine)


def _schedule_restart(fleet: SimulatedFleet, window: _FaultWindow) -> None:
    world = fleet.world
    name = fleet.names[0]
    world.simulation.schedule(
        window.start_s,
        lambda: fleet.drivers[name].kill(),
    )
    world.simulation.schedule(
        window.end_s,
        functools.partial(fleet.start_instance, name),
    )


def _schedule_partition(fleet: SimulatedFleet, window: _FaultWindow) -> None:
    """Partition the first half of the instances from all others.

    The platform, with its configuration service, stays with the other half.
    """
    half = len(fleet.names) // 2
    isolated: tuple[InstanceName, ...] = fleet.names[:half]
    reachable = (*fleet.names[half:], PLATFORM_ENDPOINT)
    network = fleet.world.network
    for isolated_name, reachable_name in itertools.product(isolated, reachable):
        fleet.world.simulation.schedule(
            window.start_s,
            functools.partial(network.partition, isolated_name, reachable_name),
        )
        fleet.world.simulation.schedule(
            window.end_s,
            functools.partial(network.heal, isolated_name, reachable_name),
        )
