"""Carries out one entry of a plan."""

import asyncio
import signal
import time

from trefoilhinge.platform.store import TARGET_PREFIX
from trefoilhinge.soak.fleets import CALLER_KEYS, SoakFleet
from trefoilhinge.soak.instances import Instance
from trefoilhinge.soak.plans import Entry, Trouble, Work
from trefoilhinge.soak.proxies import Harm, Proxy
from trefoilhinge.soak.targets import Mood, SoakTarget

STOP_S = 9.0  # until a process that was told to stop has ended
DRAIN_S = 6.0  # until a target that left is there again, as another life
MOODS = {
    Trouble.lose_answers: Mood.losing,
    Trouble.tear_streams: Mood.tearing,
    Trouble.stay_mute: Mood.mute,
    Trouble.refuse: Mood.full,
}
HARMS = {Trouble.delay_links: Harm.delay, Trouble.cut_one_way: Harm.one_way}


async def carry_out(fleet: SoakFleet, entry: Entry) -> None:
    """Let something happen, for as long as it lasts."""
    if isinstance(entry.what, Work):
        await _do_work(fleet, entry)
        return
    begin_s = time.monotonic()
    # An end that is not known yet spoils the calm of everything after it.
    fleet.ledger.faults.append((begin_s, float('inf')))
    position = len(fleet.ledger.faults) - 1
    try:
        await _do_harm(fleet, entry)
    finally:
        fleet.ledger.faults[position] = (begin_s, time.monotonic())


async def _do_harm(fleet: SoakFleet, entry: Entry) -> None:
    what = entry.what
    proxies = [*fleet.proxies, fleet.store_proxy]
    if what in MOODS:
        target = _choose_target(fleet, entry)
        target.mood = MOODS[what]
        await asyncio.sleep(entry.lasts_s)
        target.mood = Mood.sound
    elif what is Trouble.store_down:
        fleet.store.is_down = True
        await asyncio.sleep(entry.lasts_s)
        fleet.store.is_down = False
    elif what in {Trouble.kill, Trouble.pause}:
        await _harm_instance(_choose_instance(fleet, entry), entry)
    else:
        proxy = proxies[int(entry.draw * len(proxies))]
        await _harm_links(proxy, entry)


async def _harm_instance(instance: Instance, entry: Entry) -> None:
    if entry.what is Trouble.pause:
        instance.send(signal.SIGSTOP)
        await asyncio.sleep(entry.lasts_s)
        instance.send(signal.SIGCONT)
        return
    instance.end()
    await asyncio.sleep(entry.lasts_s)
    instance.start()


async def _harm_links(proxy: Proxy, entry: Entry) -> None:
    if entry.what is Trouble.reset_links:
        proxy.reset()
        return
    if entry.what is Trouble.silence_links:
        proxy.silence()
        await asyncio.sleep(entry.lasts_s)
        return
    proxy.harm = HARMS[entry.what]  # type: ignore[index]
    await asyncio.sleep(entry.lasts_s)
    proxy.harm = Harm.none


async def _do_work(fleet: SoakFleet, entry: Entry) -> None:
    match entry.what:
        case Work.stop:
            await _stop(_choose_instance(fleet, entry))
        case Work.reload:
            _choose_instance(fleet, entry).send(signal.SIGHUP)
        case Work.change_document:
            fleet.put_document()
        case Work.revoke_key:
            left = sorted(fleet.keys)[CALLER_KEYS:]
            if left:
                fleet.end_key(left[-1])
        case Work.drain_target:
            await _drain(fleet, _choose_target(fleet, entry))


async def _stop(instance: Instance) -> None:
    if not instance.runs or instance.stops:
        return
    instance.stops = True
    instance.send(signal.SIGTERM)
    await asyncio.sleep(STOP_S)
    if instance.stops:
        instance.end()
        instance.start()


async def _drain(fleet: SoakFleet, target: SoakTarget) -> None:
    """Let a target leave, and another life of its name come later."""
    if target.name in fleet.ledger.left:
        return
    fleet.put_target(target, is_leaving=True)
    await asyncio.sleep(DRAIN_S)
    fleet.ledger.left.pop(target.name, None)
    fleet.store.remove(f'{TARGET_PREFIX}{target.name}')
    target.name = f'{target.name}x'
    fleet.put_target(target, is_leaving=False)


def _choose_instance(fleet: SoakFleet, entry: Entry) -> Instance:
    return fleet.instances[int(entry.draw * len(fleet.instances))]


def _choose_target(fleet: SoakFleet, entry: Entry) -> SoakTarget:
    return fleet.targets[int(entry.draw * len(fleet.targets))]
