"""Restarts of instances during an outage of the store."""

import asyncio
import time

from trefoilhinge.soak.fleets import SoakFleet
from trefoilhinge.soak.instances import Instance
from trefoilhinge.soak.observations import RECOVERY_S
from trefoilhinge.soak.plans import PlannedEvent

KILL_DELAY_S = 0.5  # of an instance, after the store has gone
DOWN_S = 0.5  # of the instance
READY_S = 6.0  # from the start of an instance until it is ready
POLL_INTERVAL_S = 0.2


async def restart_in_outage(fleet: SoakFleet, event: PlannedEvent) -> None:
    """Kill an instance while the store is away, and start it meanwhile.

    Its peers know the document and the targets. The store is back as soon as
    the instance is ready, or should have been.
    """
    if fleet.store.is_down:
        return
    instance = fleet.choose_instance(event.selector)
    observations = fleet.observations
    begin_s = time.monotonic()
    position = len(observations.faults)
    observations.faults.append((begin_s, float('inf')))
    fleet.store.is_down = True
    await asyncio.sleep(KILL_DELAY_S)
    instance.kill()
    await asyncio.sleep(DOWN_S)
    instance.start()
    is_ready = await _await_ready(instance)
    is_disturbed = not instance.is_running or any(
        one.is_stopping for one in fleet.instances
    )
    fleet.store.is_down = False
    fault = (begin_s, time.monotonic())
    observations.faults[position] = fault
    observations.instance_faults.append(fault)
    observations.store_faults.append(fault)
    is_disturbed = is_disturbed or any(
        end_s > begin_s - RECOVERY_S
        for number, (_, end_s) in enumerate(observations.faults)
        if number != position
    )
    if not (is_ready or is_disturbed):
        observations.late_starts.append(instance.name)


async def _await_ready(instance: Instance) -> bool:
    """Return whether an instance is ready in time."""
    latest_s = time.monotonic() + READY_S
    while time.monotonic() < latest_s:
        if await instance.check_ready():
            return True
        await asyncio.sleep(POLL_INTERVAL_S)
    return False
