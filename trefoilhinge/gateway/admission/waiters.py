"""Calls of this instance that wait for capacity."""

import asyncio
from collections.abc import Callable

from attrs import define, field

from trefoilhinge.dispatch.admission.codec import (
    MAXIMUM_NUMBERS,
    AdmissionMessage,
    CallsWaiting,
    RunsAlive,
    WaitsEnded,
    split_calls,
)
from trefoilhinge.dispatch.admission.decisions import (
    Decision,
    Verdict,
    decide,
)
from trefoilhinge.dispatch.admission.needs import make_waiting_call
from trefoilhinge.dispatch.admission.waiting_calls import (
    WaitingCall,
    WaitingKey,
)
from trefoilhinge.dispatch.calls import Call
from trefoilhinge.dispatch.group_placement import Placement
from trefoilhinge.dispatch.messages import Message
from trefoilhinge.gateway.admission.announcements import Announcements
from trefoilhinge.gateway.admission.learned_output import LearnedOutput
from trefoilhinge.gateway.admission.outcomes import (
    make_refusal,
    record_found,
    record_wait,
)
from trefoilhinge.gateway.admission.passes import Passes
from trefoilhinge.gateway.admission.rooms import (
    Find,
    Turn,
    can_wait,
    compute_turn,
    find_rooms,
)
from trefoilhinge.gateway.admission.searches import PlacementSearch
from trefoilhinge.gateway.admission.waiter import Waiter
from trefoilhinge.gateway.placement import find_engine_profile
from trefoilhinge.gateway.progress import CallProgress
from trefoilhinge.gateway.run_records import end_missed_runs
from trefoilhinge.gateway.state import GatewayState


@define
class Admission:
    """Decides when the calls of this instance are placed."""

    _state: GatewayState
    _broadcast: Callable[[Message], None]
    _passes: Passes = field(init=False)
    _announcements: Announcements = field(init=False)
    _search: PlacementSearch = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Be told when capacity may be free."""
        self._passes = Passes(self._state)
        self._search = PlacementSearch(self._state)
        self._announcements = Announcements(self._state, self._broadcast)
        record = self._state.admission
        record.output_estimator = LearnedOutput(self._state)
        record.notify_change = self._passes.notify
        record.mark_change = self._passes.mark

    async def admit(
        self,
        call: Call,
        progress: CallProgress,
        excluded: set[str],
        find: Find,
    ) -> tuple[Placement | None, int]:
        """Wait until a call is to be placed.

        :param excluded: targets that failed the call; used only if no other
            one is left.
        :param find: chooses the call's targets, without those of given names.
        :return: the placement and the number of its run; no placement if
            capacity that becomes free cannot help the call.
        :raises CallFailed: no capacity is free for it in time.
        """
        waiting = self._make_waiting(call, progress)
        table = self._state.admission.waiting
        if table.get_queue(call.service).count:
            # Ranked among the others, which are not told of it yet.
            table.add(waiting, self._state.get_now_s())
        waiter = None
        try:
            placement, waiter = self._place_or_enter(
                Waiter(call, waiting, excluded), progress, find
            )
        finally:
            if waiter is None:
                table.remove(waiting.key)
        if waiter is not None:
            placement = await self._wait_withdrawably(waiter, progress, find)
        return placement, waiting.number

    def withdraw(self, number: int) -> None:
        """Tell the others that a call is not placed after all."""
        if self._record_withdrawn((self._state.origin, number)):
            self._announcements.withdraw(number)

    def apply_message(self, message: AdmissionMessage) -> None:
        """Apply what another instance says of its waiting calls."""
        if not self._state.admission.is_enabled:
            return
        if message.origin == self._state.origin:
            return
        table = self._state.admission.waiting
        match message:
            case CallsWaiting(calls, now_s):
                for call in calls:
                    table.add(call, now_s)
            case WaitsEnded(origin, numbers):
                for number in numbers[:MAXIMUM_NUMBERS]:
                    self._record_withdrawn((origin, number))
            case RunsAlive():
                end_missed_runs(self._state, message)

    def sweep(self) -> None:
        """Forget calls of which nothing is heard; repeat what may be lost."""
        admission = self._state.admission
        if not admission.is_enabled:
            return
        waiters = self._passes.waiters
        self._announcements.renew(waiter.waiting for waiter in waiters.values())
        self._announcements.report_runs()
        forgotten = admission.waiting.remove_expired(self._state.get_now_s())
        if forgotten:
            self._state.log.write('waits_forgotten', count=forgotten)
            self._passes.notify_all()
        metrics = self._state.metrics
        metrics.set_gauge('calls_awaiting_capacity', len(waiters))
        metrics.set_gauge('known_waiting_calls', admission.waiting.count())

    def announce_to(self, send: Callable[[Message], None]) -> None:
        """Tell a new peer which calls wait here."""
        own = [waiter.waiting for waiter in self._passes.waiters.values()]
        for message in split_calls(own, self._state.get_now_s()):
            send(message)

    def close(self) -> None:
        """Cancel the timer."""
        self._passes.close()

    def _make_waiting(self, call: Call, progress: CallProgress) -> WaitingCall:
        state = self._state
        output = state.admission.output_estimator.estimate_output(call)
        asked_s = call.received_s
        if progress.has_started:
            asked_s = state.get_now_s()
        return make_waiting_call(
            call,
            (state.origin, state.make_run_number()),
            find_engine_profile(state, call.service),
            output,
            asked_s,
            state.admission.waiting.make_stamp(),
        )

    def _place_or_enter(
        self, waiter: Waiter, progress: CallProgress, find: Find
    ) -> tuple[Placement | None, Waiter | None]:
        """Place a call that arrives, or let it begin to wait.

        :return: the placement, if there is one; the call, if it waits.
        :raises CallFailed: it cannot be served in time.
        """
        state = self._state
        waiting = waiter.waiting
        rooms = find_rooms(state, waiter.call, waiter.excluded)
        turn = compute_turn(state, waiting, rooms)
        if self._search.may_place_now(waiter, turn):
            placement = self._search.find_at_once(waiter, rooms, turn, find)
            if placement is not None:
                return placement, None
            is_hopeless = self._search.is_hopeless(waiter, find)
        else:
            is_hopeless = not can_wait(state, waiter.call, waiting, rooms)
        if is_hopeless:
            return None, None
        decision = self._decide(waiting, turn)
        if decision.verdict is Verdict.refuse and not turn.is_exact:
            turn = compute_turn(state, waiting, rooms, is_exact=True)
            decision = self._decide(waiting, turn)
        waiter.position = turn.position
        if decision.verdict is Verdict.refuse:
            raise make_refusal(state, waiter, progress, decision)
        self._enter(waiter)
        if decision.verdict is Verdict.wait:
            record_wait(state, waiter, decision.wait_s)
        return None, waiter

    def _decide(self, waiting: WaitingCall, turn: Turn) -> Decision:
        now_s = self._state.get_now_s()
        capacity = self._state.admission.capacity
        return decide(
            waiting,
            has_room=turn.is_exact and turn.has_room(waiting),
            position=turn.position,
            release_per_s=capacity.estimate_release_per_s(
                waiting.service, now_s
            ),
            now_s=now_s,
        )

    def _enter(self, waiter: Waiter) -> None:
        """Announce a call that begins to wait."""
        now_s = self._state.get_now_s()
        waiter.announced_s = now_s
        self._state.admission.waiting.add(waiter.waiting, now_s)
        self._announcements.announce(waiter.waiting, now_s)
        self._passes.add(waiter)

    async def _wait_withdrawably(
        self, waiter: Waiter, progress: CallProgress, find: Find
    ) -> Placement | None:
        """Wait for a placement; withdraw the call if there is none."""
        placement = None
        try:
            placement = await self._wait(waiter, progress, find)
        finally:
            self._passes.waiters.pop(waiter.waiting.key, None)
            if placement is None:
                self.withdraw(waiter.waiting.number)
        return placement

    async def _wait(
        self, waiter: Waiter, progress: CallProgress, find: Find
    ) -> Placement | None:
        state = self._state
        while True:
            await _wait_until(waiter.changed, waiter.waiting.latest_s)
            waiter.changed.clear()
            decision = waiter.refusal
            if state.get_now_s() >= waiter.waiting.latest_s:
                decision = self._decide(
                    waiter.waiting, Turn(waiter.position, {})
                )
            if decision is not None:
                raise make_refusal(state, waiter, progress, decision)
            if waiter.is_hopeless:
                return None
            placement = self._search.find_granted(waiter, find)
            if placement is not None:
                record_found(state, waiter, placement)
                return placement
            if self._search.is_hopeless(waiter, find):
                return None

    def _record_withdrawn(self, key: WaitingKey) -> bool:
        """Remove a call that no longer waits; return whether it was known."""
        waiting = self._state.admission.waiting.remove(key)
        if waiting is not None:
            self._passes.notify(waiting.service)
        return waiting is not None


async def _wait_until(changed: asyncio.Event, latest_s: float) -> None:
    try:
        async with asyncio.timeout_at(latest_s):
            await changed.wait()
    except TimeoutError:
        return
