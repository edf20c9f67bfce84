"""Times in which a target spoils the streams that it sends."""

import asyncio
import time

from trefoilhinge.soak.fleets import MODEL_TARGETS, SoakFleet
from trefoilhinge.soak.plans import PlannedEvent


async def spoil_streams(fleet: SoakFleet, event: PlannedEvent) -> None:
    """Let a model target spoil one event of each stream for a time.

    It is no fault: other targets go on with the streams. A wrong number on
    which two targets agree looks like a gap, so each makes another one of it.
    """
    index = int(event.selector * MODEL_TARGETS)
    target = fleet.targets[index]
    target.number_excess = 1 + index
    target.spoiled_until_s = time.monotonic() + event.duration_s
    await asyncio.sleep(event.duration_s)
