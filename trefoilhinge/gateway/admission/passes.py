"""Passes over the waiting calls of this instance as capacity becomes free."""

import asyncio
from collections.abc import Sequence

from attrs import define, field

from trefoilhinge.dispatch.admission.absences import TAKE_LIMIT_S
from trefoilhinge.dispatch.admission.bursts import ANNOUNCEMENT_S
from trefoilhinge.dispatch.admission.decisions import Verdict, decide
from trefoilhinge.dispatch.admission.order import rank_queue
from trefoilhinge.dispatch.admission.pacing import PassPacer
from trefoilhinge.dispatch.admission.rooms import ServiceRooms
from trefoilhinge.dispatch.admission.waiting_calls import WaitingKey
from trefoilhinge.gateway.admission.rooms import (
    allot_rooms,
    can_wait,
    refresh_rooms,
)
from trefoilhinge.gateway.admission.waiter import Waiter
from trefoilhinge.gateway.state import GatewayState

# Ends of runs that arrive within this time are handled together.
GATHERING_S = 0.002
# Also without news, for instance as an ejection or a rest ends.
MAXIMUM_PASS_INTERVAL_S = 0.1
# How often it is computed whether a call would wait for too long.
REFUSAL_INTERVAL_S = 0.25


@define
class Passes:
    """Allots what becomes free, and wakes the calls that get it.

    :ivar waiters: the waiting calls of this instance.
    """

    _state: GatewayState
    waiters: dict[WaitingKey, Waiter] = field(factory=dict)
    _pacer: PassPacer = field(factory=PassPacer)
    _changed: set[str] = field(factory=set)
    _versions: dict[str, int] = field(factory=dict)
    _checked_s: dict[str, float] = field(factory=dict)
    _timer: asyncio.TimerHandle | None = None
    _due_s: float = float('inf')

    def notify(self, service: str) -> None:
        """Consider the calls that wait for a service again soon."""
        if self.waiters:
            self._changed.add(service)
            self._schedule(GATHERING_S)

    def mark(self, service: str) -> None:
        """Consider the calls that wait for a service in the next pass."""
        if self.waiters:
            self._changed.add(service)

    def notify_all(self) -> None:
        """Consider all waiting calls again soon."""
        for waiter in self.waiters.values():
            self.notify(waiter.call.service)

    def add(self, waiter: Waiter) -> None:
        """Add a call, which is considered once the others know of it."""
        self.waiters[waiter.waiting.key] = waiter
        self._changed.add(waiter.call.service)
        self._schedule(ANNOUNCEMENT_S)

    def close(self) -> None:
        """Cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _schedule(self, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        due_s = max(now_s + delay_s, self._pacer.find_time_s(now_s))
        if self._timer is not None:
            if self._due_s <= due_s:
                return
            self._timer.cancel()
        self._due_s = due_s
        self._timer = loop.call_at(due_s, self._run)

    def _run(self) -> None:
        self._timer = None
        changed = self._changed
        self._changed = set()
        if not self.waiters:
            return
        now_s = self._state.get_now_s()
        self._pacer.record(now_s)
        by_service: dict[str, list[Waiter]] = {}
        for waiter in self.waiters.values():
            by_service.setdefault(waiter.call.service, []).append(waiter)
        for service, waiters in by_service.items():
            self._consider(waiters, now_s, is_changed=service in changed)
        self._schedule(MAXIMUM_PASS_INTERVAL_S)

    def _consider(
        self, waiters: Sequence[Waiter], now_s: float, *, is_changed: bool
    ) -> None:
        """Consider the calls that wait here for one service."""
        service = waiters[0].call.service
        found = refresh_rooms(self._state, waiters[0].call)
        watch = self._state.admission.select_absences(service)
        is_new = found.version != self._versions.get(service)
        if is_changed or is_new or watch.is_watching:
            self._versions[service] = found.version
            allotment = allot_rooms(self._state, found.rooms, service)
            watch.record(allotment.targets.keys(), now_s)
            if watch.is_watching:
                self._schedule(TAKE_LIMIT_S)
            self._grant(waiters, allotment.targets, found.version, now_s)
        checked_s = self._checked_s.get(service, float('-inf'))
        if not found.rooms or now_s >= checked_s + REFUSAL_INTERVAL_S:
            self._checked_s[service] = now_s
            self._check(waiters, found, now_s)

    def _grant(
        self,
        waiters: Sequence[Waiter],
        targets: dict[WaitingKey, str],
        version: int,
        now_s: float,
    ) -> None:
        for waiter in waiters:
            target = targets.get(waiter.waiting.key)
            remaining_s = waiter.announced_s + ANNOUNCEMENT_S - now_s
            if remaining_s > 0:
                self._changed.add(waiter.call.service)
                self._schedule(remaining_s)
            elif target is not None and waiter.may_try(target, version, now_s):
                waiter.grant(target)

    def _check(
        self, waiters: Sequence[Waiter], found: ServiceRooms, now_s: float
    ) -> None:
        """End the wait of calls that cannot be served in time."""
        for waiter in waiters:
            if not can_wait(
                self._state, waiter.call, waiter.waiting, found.rooms
            ):
                waiter.give_up()
        admission = self._state.admission
        service = waiters[0].call.service
        queue = admission.waiting.get_queue(service)
        rate = admission.capacity.estimate_release_per_s(service, now_s)
        doubtful = [
            waiter
            for waiter in waiters
            if not waiter.changed.is_set()
            and _is_refused(waiter, queue.count, rate, now_s)
        ]
        if not doubtful:
            return
        absent = admission.select_absences(service).list_absent(now_s)
        ranked = rank_queue(queue, admission.waiting.usage, now_s, absent)
        positions = {call.key: position for position, call in enumerate(ranked)}
        for waiter in doubtful:
            position = positions.get(waiter.waiting.key, 0)
            decision = decide(
                waiter.waiting,
                has_room=False,
                position=position,
                release_per_s=rate,
                now_s=now_s,
            )
            if decision.verdict is Verdict.refuse:
                waiter.refuse(decision, position)


def _is_refused(
    waiter: Waiter, position: int, rate: float | None, now_s: float
) -> bool:
    decision = decide(
        waiter.waiting,
        has_room=False,
        position=position,
        release_per_s=rate,
        now_s=now_s,
    )
    return decision.verdict is Verdict.refuse
