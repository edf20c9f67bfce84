"""Stops of instances, also while long prompts wait for engines."""

import asyncio
import itertools
import signal
import time

from trefoilhinge.soak.demands import QUEUED_DEMAND
from trefoilhinge.soak.event_kinds import StopKind
from trefoilhinge.soak.fleets import SoakFleet
from trefoilhinge.soak.instances import Instance
from trefoilhinge.soak.kept_connections import KEPT_USES, use_until_exit
from trefoilhinge.soak.plans import PlannedEvent

STOP_TIMEOUT_S = 9.0  # for a process to exit after SIGTERM
# Until more prompts wait than engines have room for. Other calls that were sent
# before have ended then: their route allows 3 s.
BUILD_S = 3.0
OPEN_S = 0.5  # in which connections are used before the order to stop
SERIES_INTERVAL_S = 2.0
# Of the instances stop at most, so that others take calls.
MAXIMUM_SHARE = 0.75
TOGETHER_SHARE = 0.5
# Further signals, seconds after the order to stop.
REPEATED_SIGNALS = (
    (0, signal.SIGHUP),
    (0.1, signal.SIGTERM),
    (0.5, signal.SIGHUP),
    (3.0, signal.SIGTERM),
    (3.0, signal.SIGHUP),
)


async def restart_gracefully(instance: Instance) -> None:
    """Stop an instance, and start it again, unless it is stopping already."""
    if not instance.is_running or instance.is_stopping:
        return
    instance.order_stop()
    starts = instance.starts
    await asyncio.sleep(STOP_TIMEOUT_S)
    if instance.starts == starts:
        instance.kill()
        instance.start()


async def stop_under_load(fleet: SoakFleet, event: PlannedEvent) -> None:
    """Stop some instances while more prompts wait than engines have room."""
    if fleet.demand is not None:
        return
    fleet.demand = QUEUED_DEMAND
    await asyncio.sleep(BUILD_S)
    is_series = event.kind is StopKind.in_series
    interval_s = SERIES_INTERVAL_S if is_series else 0
    await asyncio.gather(
        *(
            _stop_in_use(fleet, instance, event, number * interval_s)
            for number, instance in enumerate(_choose_instances(fleet, event))
        )
    )
    fleet.demand = None
    fleet.demand_ended_s = time.monotonic()


def _choose_instances(fleet: SoakFleet, event: PlannedEvent) -> list[Instance]:
    is_series = event.kind is StopKind.in_series
    share = MAXIMUM_SHARE if is_series else TOGETHER_SHARE
    first = int(event.selector * len(fleet.instances))
    ordered = fleet.instances[first:] + fleet.instances[:first]
    return ordered[: max(1, int(share * len(ordered)))]


async def _stop_in_use(
    fleet: SoakFleet, instance: Instance, event: PlannedEvent, delay_s: float
) -> None:
    """Stop an instance whose connections are used until it has ended."""
    await asyncio.sleep(delay_s)
    if not instance.is_running or instance.is_stopping:
        return
    uses = [
        asyncio.ensure_future(
            use_until_exit(instance, key, fleet.observations, use)
        )
        for key, use in zip(itertools.cycle(sorted(fleet.keys)), KEPT_USES)
    ]
    await asyncio.sleep(OPEN_S)
    if event.kind is StopKind.repeated:
        uses.append(asyncio.ensure_future(_repeat_signals(instance)))
    await restart_gracefully(instance)
    await asyncio.gather(*uses)


async def _repeat_signals(instance: Instance) -> None:
    starts = instance.starts
    waited_s: float = 0
    for at_s, number in REPEATED_SIGNALS:
        await asyncio.sleep(at_s - waited_s)
        waited_s = at_s
        if instance.starts == starts:
            instance.send_signal(number)
