"""Executes the events of a plan."""

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable

from trefoilhinge.platform.store import TARGET_PREFIX
from trefoilhinge.soak.cold_targets import turn_cold
from trefoilhinge.soak.crashes import CrashSource
from trefoilhinge.soak.evacuations import (
    evacuate,
    resume_evacuations,
    suspend_evacuations,
)
from trefoilhinge.soak.crowds import send_crowd
from trefoilhinge.soak.event_kinds import (
    ColdKind,
    CrashKind,
    CrowdKind,
    DemandKind,
    EntryKind,
    EvacuationKind,
    EventKind,
    ExpiryKind,
    FaultKind,
    MaintenanceKind,
    NeedKind,
    OutageKind,
    ReaderKind,
    RetryKind,
    SilenceKind,
    StopKind,
    StreamKind,
)
from trefoilhinge.soak.expiries import expire_entry
from trefoilhinge.soak.fleets import CALLER_KEYS, SoakFleet
from trefoilhinge.soak.instances import Instance
from trefoilhinge.soak.limits import name_limit
from trefoilhinge.soak.observations import PART_CRASHES, REQUEST_CRASHES
from trefoilhinge.soak.plans import PlannedEvent
from trefoilhinge.soak.proxies import ConnectionFault, Proxy
from trefoilhinge.soak.readers import ANSWER_TIME_S, READERS, read_slowly
from trefoilhinge.soak.records import CrashingTrait
from trefoilhinge.soak.restarts import restart_in_outage
from trefoilhinge.soak.retries import retry_at_once
from trefoilhinge.soak.silences import (
    GATHERING_S,
    LEAD_S,
    silence_store,
)
from trefoilhinge.soak.spoiled_streams import spoil_streams
from trefoilhinge.soak.stops import restart_gracefully, stop_under_load
from trefoilhinge.soak.switches import switch_load
from trefoilhinge.soak.targets import SoakTarget, TargetBehaviour

DRAIN_TIME_S = 6.0  # before a drained target returns as a new incarnation
MAXIMUM_LOST_REVISIONS = 12  # by a restoration of the store
CUT_AFTER_S = 0.8  # of waiting watches
REPLAY_DELAY_S = 1.0  # until operator and targets make lost changes again
TARGET_BEHAVIOURS = {
    FaultKind.lose_answers: TargetBehaviour.losing,
    FaultKind.tear_streams: TargetBehaviour.tearing,
    FaultKind.stay_mute: TargetBehaviour.mute,
    FaultKind.refuse: TargetBehaviour.full,
}
CONNECTION_FAULTS = {
    FaultKind.delay_links: ConnectionFault.delay,
    FaultKind.cut_one_way: ConnectionFault.one_way,
}
LINK_FAULTS = frozenset(
    (*CONNECTION_FAULTS, FaultKind.reset_links, FaultKind.silence_links)
)


Execution = Callable[[SoakFleet, PlannedEvent], Awaitable[None]]


async def execute_event(fleet: SoakFleet, event: PlannedEvent) -> None:
    """Execute an event and wait until its effect has ended."""
    execute = EXECUTIONS.get(type(event.kind), _execute_fault)
    await execute(fleet, event)


async def _execute_fault(fleet: SoakFleet, event: PlannedEvent) -> None:
    observations = fleet.observations
    begin_s = time.monotonic()
    # Until its end is known, the fault exempts all later observations.
    observations.faults.append((begin_s, float('inf')))
    position = len(observations.faults) - 1
    try:
        await _inject_fault(fleet, event)
    finally:
        fault = (begin_s, time.monotonic())
        observations.faults[position] = fault
        _record_effect(fleet, event, fault)


def _record_effect(
    fleet: SoakFleet, event: PlannedEvent, fault: tuple[float, float]
) -> None:
    """Record a fault among those of instances or of the store."""
    observations = fleet.observations
    if event.kind in {FaultKind.kill, FaultKind.pause}:
        observations.instance_faults.append(fault)
    if event.kind is FaultKind.pause:
        observations.pauses.append(fault)
    if _is_store_fault(fleet, event):
        observations.store_faults.append(fault)


def _is_store_fault(fleet: SoakFleet, event: PlannedEvent) -> bool:
    """Return whether a fault keeps all instances from the store."""
    if event.kind in {FaultKind.store_down, FaultKind.restore_store}:
        return True
    return (
        event.kind in LINK_FAULTS
        and _choose_proxy(fleet, event.selector) is fleet.store_proxy
    )


def _choose_proxy(fleet: SoakFleet, selector: float) -> Proxy:
    proxies = [*fleet.proxies, fleet.store_proxy]
    return proxies[int(selector * len(proxies))]


async def _crash_targets(fleet: SoakFleet, event: PlannedEvent) -> None:
    """Let some requests crash targets for a time."""
    traits = fleet.observations.crashing_traits
    kind = CrashKind(event.kind)
    is_part = kind is CrashKind.part
    trait = CrashingTrait(
        f'bad{len(traits)}', PART_CRASHES if is_part else REQUEST_CRASHES
    )
    traits.append(trait)
    keys = sorted(fleet.keys)
    key = keys[int(event.selector * len(keys))]
    fleet.crash_source = CrashSource(kind, trait, key)
    await asyncio.sleep(event.duration_s)
    fleet.crash_source = None


async def _execute_entry_event(fleet: SoakFleet, event: PlannedEvent) -> None:
    if event.kind is EntryKind.cut_watches:
        fleet.store.cut_after_s = CUT_AFTER_S
        await asyncio.sleep(event.duration_s)
        fleet.store.cut_after_s = None
    else:
        await _remove(fleet, fleet.choose_target(event.selector))


async def _inject_fault(fleet: SoakFleet, event: PlannedEvent) -> None:
    kind = event.kind
    if kind in TARGET_BEHAVIOURS:
        target = fleet.choose_target(event.selector)
        target.behaviour = TARGET_BEHAVIOURS[kind]
        await asyncio.sleep(event.duration_s)
        target.behaviour = TargetBehaviour.sound
    elif kind is FaultKind.store_down:
        fleet.store.is_down = True
        await asyncio.sleep(event.duration_s)
        fleet.store.is_down = False
    elif kind is FaultKind.restore_store:
        await _restore_store(fleet, event)
    elif kind in {FaultKind.kill, FaultKind.pause}:
        await _inject_instance_fault(
            fleet.choose_instance(event.selector), event
        )
    else:
        await _inject_connection_fault(
            _choose_proxy(fleet, event.selector), event
        )


async def _restore_store(fleet: SoakFleet, event: PlannedEvent) -> None:
    """Return the store from a copy after a moment away."""
    store = fleet.store
    suspend_evacuations(fleet)
    store.is_down = True
    await asyncio.sleep(event.duration_s)
    lost_revisions = int(event.selector * MAXIMUM_LOST_REVISIONS)
    lost = store.restore(max(1, store.revision - lost_revisions))
    store.is_down = False
    await asyncio.sleep(REPLAY_DELAY_S)
    store.replay(lost)
    resume_evacuations(fleet)


async def _inject_instance_fault(
    instance: Instance, event: PlannedEvent
) -> None:
    if event.kind is FaultKind.pause:
        instance.send_signal(signal.SIGSTOP)
        await asyncio.sleep(event.duration_s)
        instance.send_signal(signal.SIGCONT)
        return
    instance.kill()
    await asyncio.sleep(event.duration_s)
    instance.start()


async def _inject_connection_fault(proxy: Proxy, event: PlannedEvent) -> None:
    if event.kind is FaultKind.reset_links:
        proxy.reset()
        return
    if event.kind is FaultKind.silence_links:
        proxy.silence()
        await asyncio.sleep(event.duration_s)
        return
    proxy.fault = CONNECTION_FAULTS[event.kind]  # type: ignore[index]
    await asyncio.sleep(event.duration_s)
    proxy.fault = ConnectionFault.none


async def _execute_maintenance(fleet: SoakFleet, event: PlannedEvent) -> None:
    match event.kind:
        case MaintenanceKind.stop:
            await restart_gracefully(fleet.choose_instance(event.selector))
        case MaintenanceKind.reload:
            fleet.choose_instance(event.selector).send_signal(signal.SIGHUP)
        case MaintenanceKind.change_document:
            fleet.put_document()
        case MaintenanceKind.revoke_key:
            _revoke_key(fleet)
        case MaintenanceKind.drain_target:
            await _drain(fleet, fleet.choose_target(event.selector))


def _revoke_key(fleet: SoakFleet) -> None:
    revocable_keys = sorted(fleet.keys)[CALLER_KEYS:]
    if revocable_keys:
        fleet.revoke_key(revocable_keys[-1])


async def _change_before_silence(fleet: SoakFleet, event: PlannedEvent) -> None:
    """Make a change that the silence of the store hides at first."""
    fleet.put_document()
    await asyncio.sleep(GATHERING_S)
    removal = None
    if event.kind is SilenceKind.revocation:
        _revoke_key(fleet)
    else:
        target = fleet.choose_target(event.selector)
        removal = asyncio.ensure_future(_remove(fleet, target))
    await asyncio.sleep(LEAD_S)
    await silence_store(fleet, event)
    if removal is not None:
        await removal


async def _stop_while_read(fleet: SoakFleet, event: PlannedEvent) -> None:
    """Stop an instance while callers read answers slowly."""
    instance = fleet.choose_instance(event.selector)
    if not instance.is_running or instance.is_stopping:
        return
    keys = sorted(fleet.keys)[:READERS]
    calls = [read_slowly(instance, key, fleet.observations) for key in keys]
    reading = asyncio.gather(*calls)
    await asyncio.sleep(ANSWER_TIME_S)
    await restart_gracefully(instance)
    await reading


async def _remove(fleet: SoakFleet, target: SoakTarget) -> None:
    """Remove the entry of a target that serves on, and then return it."""
    if target.name in fleet.observations.leaving_since_s:
        return
    fleet.store.remove(f'{TARGET_PREFIX}{target.name}')
    fleet.observations.leaving_since_s[target.name] = time.monotonic()
    await _replace(fleet, target)


async def _drain(fleet: SoakFleet, target: SoakTarget) -> None:
    """Drain a target, and then return it."""
    if target.name in fleet.observations.leaving_since_s:
        return
    fleet.put_target(target, is_leaving=True)
    await _replace(fleet, target)


async def _replace(fleet: SoakFleet, target: SoakTarget) -> None:
    """Return a target that leaves as a new incarnation with another name."""
    await asyncio.sleep(DRAIN_TIME_S)
    fleet.store.remove(f'{TARGET_PREFIX}{target.name}')
    target.name = f'{target.name}x'
    fleet.put_target(target, is_leaving=False)


EXECUTIONS: dict[type[EventKind], Execution] = {
    MaintenanceKind: _execute_maintenance,
    NeedKind: name_limit,
    CrashKind: _crash_targets,
    EntryKind: _execute_entry_event,
    ReaderKind: _stop_while_read,
    StopKind: stop_under_load,
    ExpiryKind: expire_entry,
    OutageKind: restart_in_outage,
    ColdKind: turn_cold,
    SilenceKind: _change_before_silence,
    StreamKind: spoil_streams,
    EvacuationKind: evacuate,
    DemandKind: switch_load,
    RetryKind: retry_at_once,
    CrowdKind: send_crowd,
}
