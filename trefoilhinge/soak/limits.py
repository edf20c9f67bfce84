"""Limits that targets in need name during a soak."""

import asyncio
import math
import time

from trefoilhinge.soak.fleets import SoakFleet
from trefoilhinge.soak.plans import PlannedEvent
from trefoilhinge.soak.records import ObservedLimit

# Requests per second that a target in need names.
LOWEST_LIMIT = 0.4
HIGHEST_LIMIT = 3.0


async def name_limit(fleet: SoakFleet, event: PlannedEvent) -> None:
    """Let a target name a limit for a time."""
    target = fleet.choose_target(event.selector)
    if target.requests_per_s is not None:
        return
    # The selector's digits after those that chose the target.
    share, _ = math.modf(event.selector * len(fleet.targets))
    rate = round(LOWEST_LIMIT + share * (HIGHEST_LIMIT - LOWEST_LIMIT), 1)
    begin_s = time.monotonic()
    target.requests_per_s = rate
    await asyncio.sleep(event.duration_s)
    end_s = time.monotonic()
    if target.crashed_s > begin_s:
        # Its next incarnation may name a limit of its own.
        end_s = target.crashed_s
    else:
        target.requests_per_s = None
    fleet.observations.limits.append(
        ObservedLimit(target.address[1], rate, begin_s, end_s)
    )
