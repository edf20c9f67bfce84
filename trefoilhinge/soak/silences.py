"""Short times in which the store answers nothing, around a departure."""

import asyncio
import time

from trefoilhinge.soak.fleets import SoakFleet
from trefoilhinge.soak.plans import PlannedEvent

# Between a first change, after which instances let changes gather, and the one
# that the silence hides.
GATHERING_S = 0.3
LEAD_S = 0.1  # between that change and the silence
MINIMUM_SILENCE_S = 0.2
DURATION_FRACTION = 0.1  # of the duration of a fault, on top of that


async def silence_store(fleet: SoakFleet, event: PlannedEvent) -> None:
    """Let the store be silent for a moment, shortly after a change.

    It is no fault: calls are served meanwhile, and changes must be in force
    soon after the store's return.
    """
    if fleet.store.is_silent or fleet.store.is_down:
        return
    observations = fleet.observations
    begin_s = time.monotonic()
    position = len(observations.silences)
    observations.silences.append((begin_s, float('inf')))
    fleet.store.begin_silence()
    await asyncio.sleep(
        MINIMUM_SILENCE_S + DURATION_FRACTION * event.duration_s
    )
    fleet.store.end_silence()
    silence = (begin_s, time.monotonic())
    observations.silences[position] = silence
    observations.store_faults.append(silence)
