"""Faults that strike a measured fleet while it is under load."""

import enum
import functools
import itertools

from attrs import frozen

from trefoilhinge.core.identifiers import InstanceName, TargetName
from trefoilhinge.measure.fleet import MeasuredFleet
from trefoilhinge.standins.simulation.world import PLATFORM_END

DOWN_S = 20.0


class Disturbance(enum.StrEnum):
    """Kinds of faults, as the command names them."""

    NONE = 'none'
    ENGINE_DEATH = 'engine_death'
    INSTANCE_RESTART = 'instance_restart'
    PARTITION = 'partition'


@frozen
class _Strike:
    """When a fault begins and ends, in simulated seconds."""

    begins_s: float
    ends_s: float


def schedule_disturbance(
    fleet: MeasuredFleet,
    kind: Disturbance,
    start_s: float,
    seconds: float,
) -> None:
    """Plan a fault for a third of the way through the load.

    :param start_s: simulated seconds at which the load starts.
    :param seconds: length of the load.
    """
    begins_s = start_s + seconds / 3
    strike = _Strike(begins_s, begins_s + DOWN_S)
    if kind is Disturbance.ENGINE_DEATH:
        _plan_engine_death(fleet, strike)
    elif kind is Disturbance.INSTANCE_RESTART:
        _plan_restart(fleet, strike)
    elif kind is Disturbance.PARTITION:
        _plan_partition(fleet, strike)


def _plan_engine_death(fleet: MeasuredFleet, strike: _Strike) -> None:
    world = fleet.world
    name = TargetName(next(iter(world.engines)))
    engine = world.engines[name]

    def die() -> None:
        engine.dead = True
        world.network.dead.add(name)

    def come_back() -> None:
        engine.dead = False
        engine.restart()
        world.network.dead.discard(name)

    world.simulation.schedule(strike.begins_s, die)
    world.simulation.schedule(strike.ends_s, come_back)


def _plan_restart(fleet: MeasuredFleet, strike: _Strike) -> None:
    world = fleet.world
    name = fleet.names[0]
    world.simulation.schedule(
        strike.begins_s,
        lambda: fleet.drivers[name].kill(),
    )
    world.simulation.schedule(
        strike.ends_s,
        functools.partial(fleet.start_instance, name),
    )


def _plan_partition(fleet: MeasuredFleet, strike: _Strike) -> None:
    """Part the first half of the instances from the others and the service."""
    half = len(fleet.names) // 2
    near: tuple[InstanceName, ...] = fleet.names[:half]
    far = (*fleet.names[half:], PLATFORM_END)
    network = fleet.world.network
    for one, other in itertools.product(near, far):
        fleet.world.simulation.schedule(
            strike.begins_s,
            functools.partial(network.cut, one, other),
        )
        fleet.world.simulation.schedule(
            strike.ends_s,
            functools.partial(network.mend, one, other),
        )
