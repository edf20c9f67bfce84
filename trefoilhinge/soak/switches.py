"""Switches of the load from long to short prompts during a soak."""

import asyncio
import time

from trefoilhinge.soak.demands import (
    LONG_DEMAND,
    SETTLE_S,
    SHORT_DEMAND,
    ObservedSwitch,
)
from trefoilhinge.soak.fleets import SoakFleet
from trefoilhinge.soak.observations import RECOVERY_S
from trefoilhinge.soak.plans import PlannedEvent

LONG_S = 2.0  # of the long prompts, at least
CHECKED_S = 4.0  # of the short prompts, after they have settled


async def switch_load(fleet: SoakFleet, event: PlannedEvent) -> None:
    """Let all callers send few long prompts, then many short ones."""
    if fleet.demand is not None:
        return
    fleet.demand = LONG_DEMAND
    await asyncio.sleep(LONG_S + event.duration_s)
    fleet.demand = SHORT_DEMAND
    await asyncio.sleep(SETTLE_S)
    begin_s = time.monotonic()
    await asyncio.sleep(CHECKED_S)
    fleet.demand = None
    fleet.demand_ended_s = time.monotonic()
    if not _is_disturbed(fleet, begin_s):
        fleet.observations.switches.append(
            ObservedSwitch(begin_s, time.monotonic())
        )


def _is_disturbed(fleet: SoakFleet, begin_s: float) -> bool:
    """Return whether anything else kept short prompts from targets."""
    observations = fleet.observations
    since_s = begin_s - RECOVERY_S
    ends_s = [
        *(end_s for _, end_s in observations.faults),
        *(one.end_s for one in observations.evacuations),
        *(target.crashed_s for target in fleet.targets),
        *(target.cold_until_s for target in fleet.targets),
        *(target.spoiled_until_s for target in fleet.targets),
        *(limit.end_s for limit in observations.limits),
    ]
    return (
        any(end_s > since_s for end_s in ends_s)
        or any(one.requests_per_s is not None for one in fleet.targets)
        or any(one.is_stopping for one in fleet.instances)
        or any(
            target.name in observations.leaving_since_s
            for target in fleet.targets
        )
    )
