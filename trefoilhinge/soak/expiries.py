"""Entries that expire while their targets, which serve on, are cut off."""

import asyncio
import time

from trefoilhinge.platform.store import TARGET_PREFIX
from trefoilhinge.soak.fleets import SoakFleet
from trefoilhinge.soak.observations import RECOVERY_S
from trefoilhinge.soak.plans import PlannedEvent
from trefoilhinge.soak.returns import RETURN_S, ObservedReturn
from trefoilhinge.soak.targets import SoakTarget, TargetBehaviour

CUT_S = 3.0  # from the expiry of an entry, until the cut ends
USE_S = 3.0  # in which all other targets of the service refuse calls


async def expire_entry(fleet: SoakFleet, event: PlannedEvent) -> None:
    """Cut a target off from the store until its entry has expired."""
    target = fleet.choose_target(event.selector)
    name = target.name
    leaving_since_s = fleet.observations.leaving_since_s
    if name in leaving_since_s:
        return
    fleet.store.remove(f'{TARGET_PREFIX}{name}')
    begin_s = time.monotonic()
    # No other event changes the entry meanwhile.
    leaving_since_s[name] = begin_s
    await asyncio.sleep(CUT_S + event.duration_s)
    leaving_since_s.pop(name)
    target.sequence += 1
    fleet.put_target(target, is_leaving=False)
    fleet.observations.expiries.append((name, begin_s, time.monotonic()))
    await observe_return(fleet, target)


async def observe_return(fleet: SoakFleet, target: SoakTarget) -> None:
    """Let only a target that returned serve, and record it if undisturbed."""
    observations = fleet.observations
    name = target.name
    returned_s = time.monotonic()
    await asyncio.sleep(RETURN_S)
    others = [
        one
        for one in fleet.targets
        if one.service == target.service
        and one is not target
        and one.behaviour is TargetBehaviour.sound
    ]
    begin_s = time.monotonic()
    observations.faults.append((begin_s, float('inf')))
    position = len(observations.faults) - 1
    for other in others:
        other.behaviour = TargetBehaviour.full
    await asyncio.sleep(USE_S)
    end_s = time.monotonic()
    for other in others:
        other.behaviour = TargetBehaviour.sound
    observations.faults[position] = (begin_s, end_s)
    is_registered = (
        target.name == name and name not in observations.leaving_since_s
    )
    is_faulty = any(
        fault_end_s > returned_s - RECOVERY_S
        for number, (_, fault_end_s) in enumerate(observations.faults)
        if number != position
    )
    is_kept = _is_kept_from_calls(fleet, target, returned_s)
    if is_registered and not (is_faulty or is_kept):
        observations.returns.append(
            ObservedReturn(name, target.service, begin_s, end_s)
        )


def _is_kept_from_calls(
    fleet: SoakFleet, target: SoakTarget, since_s: float
) -> bool:
    """Return whether a target was to get few calls or none meanwhile."""
    observations = fleet.observations
    ends_s = [
        target.crashed_s,
        target.cold_until_s,
        fleet.demand_ended_s,
        # Its broken answers keep calls from it for a while.
        target.spoiled_until_s + RECOVERY_S,
        *(
            limit.end_s
            for limit in observations.limits
            if limit.port == target.address[1]
        ),
        *(one.end_s + RECOVERY_S for one in observations.evacuations),
    ]
    return (
        target.requests_per_s is not None
        or fleet.demand is not None
        or max(ends_s) > since_s
    )
