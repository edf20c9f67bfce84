"""Callers that retry at once after refusals during a soak."""

import asyncio
import time

from trefoilhinge.soak.demands import SCARCE_DEMAND
from trefoilhinge.soak.fleets import CALLER_KEYS, SoakFleet
from trefoilhinge.soak.plans import PlannedEvent
from trefoilhinge.soak.retry_checks import ObservedRetries

RETRYING_KEYS = 2
RETRY_S = 4.0  # at least
SETTLE_S = 2.0  # until all slots are taken and calls wait


async def retry_at_once(fleet: SoakFleet, event: PlannedEvent) -> None:
    """Let the callers of some keys retry at once for a time.

    Where calls wait in one order over all instances, they compete for too few
    slots meanwhile, so that it shows whether such callers gain. It has to be
    the first event then: a key that had long prompts served before gets less.
    """
    if fleet.retrying_keys:
        return
    keys = sorted(fleet.keys)[:CALLER_KEYS]
    first = int(event.selector * (len(keys) - RETRYING_KEYS + 1))
    retrying = frozenset(keys[first : first + RETRYING_KEYS])
    fleet.retrying_keys = retrying
    if fleet.has_admission:
        fleet.demand = SCARCE_DEMAND
        await asyncio.sleep(SETTLE_S)
    begin_s = time.monotonic()
    await asyncio.sleep(RETRY_S + event.duration_s)
    if fleet.has_admission:
        fleet.observations.retries.append(
            ObservedRetries(
                retrying,
                frozenset(keys) - retrying,
                begin_s,
                time.monotonic(),
            )
        )
        fleet.demand = None
    fleet.retrying_keys = frozenset()
