"""Failure domains that are evacuated during a soak."""

import asyncio
import math
import time

from trefoilhinge.platform.store import EVACUATION_PREFIX
from trefoilhinge.soak.evacuation_checks import EVACUATE_S, ObservedEvacuation
from trefoilhinge.soak.event_kinds import EvacuationKind
from trefoilhinge.soak.fleets import FAILURE_DOMAINS, SoakFleet
from trefoilhinge.soak.instances import Instance
from trefoilhinge.soak.plans import PlannedEvent

DOWN_S = 0.5  # of an instance that is killed
CHECKED_S = 3.0  # from the bound until the item may be removed
POLL_INTERVAL_S = 0.05


async def evacuate(fleet: SoakFleet, event: PlannedEvent) -> None:
    """Evacuate a failure domain, with one instance cut off from the store.

    The instance learns of it, and of the end, from its peers only.
    """
    await _await_store(fleet)
    while _has_evacuation(fleet):
        await asyncio.sleep(POLL_INTERVAL_S)
        await _await_store(fleet)
    # The selector's digits after those that choose the domain.
    share, chosen = math.modf(event.selector * len(FAILURE_DOMAINS))
    instance = fleet.choose_instance(share)
    link = fleet.store_links[fleet.instances.index(instance)]
    faults = fleet.observations.faults
    begin_s = time.monotonic()
    position = len(faults)
    faults.append((begin_s, float('inf')))
    link.stop()
    await _hold(fleet, event, FAILURE_DOMAINS[int(chosen)], instance)
    await link.start()
    faults[position] = (begin_s, time.monotonic())


async def _hold(
    fleet: SoakFleet, event: PlannedEvent, domain: str, instance: Instance
) -> None:
    """Keep a failure domain evacuated for a time."""
    key = f'{EVACUATION_PREFIX}{domain}'
    fleet.store.put(key, {})
    fleet.observations.evacuations.append(
        ObservedEvacuation(domain, time.monotonic())
    )
    await asyncio.sleep(EVACUATE_S)
    if event.kind is EvacuationKind.restart and not instance.is_stopping:
        await _restart(fleet, instance)
    await asyncio.sleep(CHECKED_S + event.duration_s)
    await _await_store(fleet)
    _end_observations(fleet, domain)
    fleet.store.remove(key)


async def _restart(fleet: SoakFleet, instance: Instance) -> None:
    begin_s = time.monotonic()
    instance.kill()
    await asyncio.sleep(DOWN_S)
    instance.start()
    fleet.observations.instance_faults.append((begin_s, time.monotonic()))


def suspend_evacuations(fleet: SoakFleet) -> None:
    """End what is observed, as a restored store may lack the items."""
    fleet.restorations += 1
    for domain in FAILURE_DOMAINS:
        _end_observations(fleet, domain)


def resume_evacuations(fleet: SoakFleet) -> None:
    """Observe anew what stands after the lost changes were made again."""
    fleet.restorations -= 1
    if fleet.restorations:
        return
    fleet.observations.evacuations.extend(
        ObservedEvacuation(domain, time.monotonic())
        for domain in FAILURE_DOMAINS
        if f'{EVACUATION_PREFIX}{domain}' in fleet.store.items
    )


def _end_observations(fleet: SoakFleet, domain: str) -> None:
    for evacuation in fleet.observations.evacuations:
        if evacuation.failure_domain == domain:
            evacuation.end_s = min(evacuation.end_s, time.monotonic())


def _has_evacuation(fleet: SoakFleet) -> bool:
    return any(key.startswith(EVACUATION_PREFIX) for key in fleet.store.items)


async def _await_store(fleet: SoakFleet) -> None:
    """Wait until the store takes changes and has made lost ones again."""
    while fleet.store.is_down or fleet.restorations:
        await asyncio.sleep(POLL_INTERVAL_S)
