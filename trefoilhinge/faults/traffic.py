"""Traffic of a cell: short, long and huge prompts, bookings and lookups."""

from collections.abc import Callable

import numpy as np

from trefoilhinge.faults.callers import Callers, RequestKind
from trefoilhinge.faults.world import INSTANCES, FaultWorld

TRAFFIC_START_S = 3.0
TRAFFIC_END_S = 20.0
CELL_END_S = 68.0
PUBLICATION_TIMES_S = (4.0, 11.0, 17.0)
BURST_CALLS = 18
BURST_S = 5.0
_INTERVALS_S = {
    RequestKind.SHORT: 0.4,
    RequestKind.LONG: 2.5,
    RequestKind.GROUP: 6.0,
    RequestKind.BOOKING: 0.8,
    RequestKind.LOOKUP: 1.1,
}


def schedule_traffic(world: FaultWorld, callers: Callers, seed: int) -> None:
    """Schedule all requests and document publications of a cell."""
    simulation = world.world.simulation
    generator = np.random.default_rng(seed)
    for kind, interval_s in _INTERVALS_S.items():
        at_s = TRAFFIC_START_S + interval_s * float(generator.uniform(0, 1))
        while at_s < TRAFFIC_END_S:
            simulation.schedule(at_s, _make_send(callers, kind, ''))
            at_s += interval_s * float(generator.uniform(0.6, 1.4))
    for _ in range(BURST_CALLS):
        # One instance gets more long calls than it may send at once, so that
        # some are queued.
        send = _make_send(callers, RequestKind.LONG, INSTANCES[0])
        simulation.schedule(BURST_S, send)
    for publish_s in PUBLICATION_TIMES_S:
        simulation.schedule(publish_s, world.publish)


def _make_send(
    callers: Callers,
    kind: RequestKind,
    instance: str,
) -> Callable[[], object]:
    return lambda: callers.send(kind, instance)
