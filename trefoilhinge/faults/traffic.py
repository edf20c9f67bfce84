"""The traffic of a cell: short, long and huge prompts, bookings, lookups."""

from collections.abc import Callable

import numpy as np

from trefoilhinge.faults.callers import Callers, Kind
from trefoilhinge.faults.world import INSTANCES, FaultWorld

TRAFFIC_START_S = 3.0
TRAFFIC_END_S = 20.0
END_S = 68.0
PUBLISH_S = (4.0, 11.0, 17.0)
CROWD = 18
CROWD_S = 5.0
_INTERVALS_S = {
    Kind.SHORT: 0.4,
    Kind.LONG: 2.5,
    Kind.GROUP: 6.0,
    Kind.BOOKING: 0.8,
    Kind.LOOKUP: 1.1,
}


def schedule_traffic(world: FaultWorld, callers: Callers, seed: int) -> None:
    """Schedule every request and publication of a cell."""
    simulation = world.world.simulation
    generator = np.random.default_rng(seed)
    for kind, interval_s in _INTERVALS_S.items():
        at_s = TRAFFIC_START_S + interval_s * float(generator.uniform(0, 1))
        while at_s < TRAFFIC_END_S:
            simulation.schedule(at_s, _make_send(callers, kind, ''))
            at_s += interval_s * float(generator.uniform(0.6, 1.4))
    for _ in range(CROWD):
        # More long calls at one instance than it may send: some wait.
        send = _make_send(callers, Kind.LONG, INSTANCES[0])
        simulation.schedule(CROWD_S, send)
    for publish_s in PUBLISH_S:
        simulation.schedule(publish_s, world.publish)


def _make_send(
    callers: Callers,
    kind: Kind,
    instance: str,
) -> Callable[[], object]:
    return lambda: callers.send(kind, instance)
