"""Targets that turn cold during a soak."""

import asyncio
import time

from trefoilhinge.soak.cold_checks import ObservedCold
from trefoilhinge.soak.event_kinds import ColdKind
from trefoilhinge.soak.fleets import SoakFleet
from trefoilhinge.soak.plans import PlannedEvent
from trefoilhinge.soak.targets import SoakTarget

MINIMUM_COLD_S = 2.5  # longer than the time that instances have to learn of it


async def turn_cold(fleet: SoakFleet, event: PlannedEvent) -> None:
    """Let a target, or all of its service, be cold for a time.

    It says so in its entry and its answers, and refuses nothing.
    """
    chosen = fleet.choose_target(event.selector)
    is_single = event.kind is ColdKind.target
    await asyncio.gather(
        *(
            _chill(fleet, target, MINIMUM_COLD_S + event.duration_s)
            for target in fleet.targets
            if target is chosen
            or not is_single
            and target.service == chosen.service
        )
    )


async def _chill(fleet: SoakFleet, target: SoakTarget, cold_s: float) -> None:
    name = target.name
    if name in fleet.observations.leaving_since_s or target.compute_cold_s():
        return
    target.cold_until_s = time.monotonic() + cold_s
    fleet.put_target(target, is_leaving=False)
    begin_s = time.monotonic()
    await asyncio.sleep(cold_s)
    end_s = begin_s + cold_s
    if target.crashed_s > begin_s:
        end_s = target.crashed_s
    fleet.observations.colds.append(
        ObservedCold(target.address[1], begin_s, end_s)
    )
