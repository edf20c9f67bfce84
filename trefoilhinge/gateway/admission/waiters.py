"""Calls of this instance that wait for capacity."""

import asyncio
import collections
from collections.abc import Callable

from attrs import define, field

from trefoilhinge.dispatch.admission.codec import (
    MAXIMUM_NUMBERS,
    MAXIMUM_ALIVE_NUMBERS,
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
from trefoilhinge.dispatch.admission.waiting import WaitingCall, WaitingKey
from trefoilhinge.dispatch.calls import Call
from trefoilhinge.dispatch.documents import REQUEST_HASH_VALUES
from trefoilhinge.dispatch.group_placement import Placement
from trefoilhinge.dispatch.messages import Message
from trefoilhinge.gateway.admission.learned_output import LearnedOutput
from trefoilhinge.gateway.admission.rooms import (
    Find,
    Turn,
    allot_rooms,
    list_rooms,
    take_turn,
)
from trefoilhinge.gateway.placement import find_engine_profile
from trefoilhinge.gateway.progress import CallProgress
from trefoilhinge.gateway.refusals import CallFailed, make_no_capacity_refusal
from trefoilhinge.gateway.run_records import (
    end_missed_runs,
    make_alive_message,
)
from trefoilhinge.gateway.state import GatewayState

# Ends and starts of runs that arrive within this time are handled together.
MINIMUM_PASS_INTERVAL_S = 0.002
# A pass takes about 5 microseconds of processor time for each waiting call.
PASS_INTERVAL_PER_CALL_S = 0.00003
# Also without news, for instance as an ejection or a rest ends.
MAXIMUM_PASS_INTERVAL_S = 0.05
RENEWAL_INTERVAL_S = 0.5
SWEEPS_PER_REPORT = 2  # one a second
# Until the announcement of a call has arrived, others may not know that it is
# ahead of theirs.
ANNOUNCEMENT_S = 0.005
# Free slots for each call that is expected within that time. Calls come in
# bursts of several times their mean rate.
AMPLE_ROOM_FACTOR = 4


@define
class _Waiter:
    call: Call
    waiting: WaitingCall
    announced_s: float
    changed: asyncio.Event = field(factory=asyncio.Event)


@define
class Admission:
    """Decides when the calls of this instance are placed."""

    _state: GatewayState
    _broadcast: Callable[[Message], None]
    _waiters: dict[WaitingKey, _Waiter] = field(factory=dict)
    _timer: asyncio.TimerHandle | None = None
    _due_s: float = float('inf')
    _renewed_s: float = float('-inf')
    _sweeps: int = 0
    _taken: dict[str, 'collections.deque[float]'] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Be told when capacity may be free."""
        record = self._state.admission
        record.output_estimator = LearnedOutput(self._state)
        self._state.admission.notify_change = self.notify

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
        turn = take_turn(self._state, call, waiting, excluded, find)
        if turn.placement is not None and self._may_place_now(waiting, turn):
            return turn.placement, waiting.number
        if turn.placement is None and not turn.can_wait:
            return None, waiting.number
        decision = self._decide(waiting, turn)
        if decision.verdict is Verdict.refuse:
            raise self._make_refusal(call, progress, decision, turn)
        waiter = _Waiter(call, waiting, self._state.get_now_s())
        self._enter(waiter, decision, turn)
        try:
            placement = await self._wait(waiter, progress, excluded, find)
        except BaseException:
            self.withdraw(waiting.number)
            raise
        finally:
            self._waiters.pop(waiting.key, None)
        return placement, waiting.number

    def withdraw(self, number: int) -> None:
        """Tell the others that a call is not placed after all."""
        key = (self._state.origin, number)
        if self._state.admission.waiting.remove(key) is not None:
            self._broadcast(WaitsEnded(self._state.origin, (number,)))
            self.notify()

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
                    table.remove((origin, number))
                self.notify()
            case RunsAlive():
                end_missed_runs(self._state, message)

    def notify(self) -> None:
        """Consider the waiting calls again soon."""
        if self._waiters:
            known = self._state.admission.waiting.count()
            self._schedule(
                MINIMUM_PASS_INTERVAL_S + known * PASS_INTERVAL_PER_CALL_S
            )

    def sweep(self) -> None:
        """Forget calls of which nothing is heard; repeat which runs go on."""
        admission = self._state.admission
        if not admission.is_enabled:
            return
        self._sweeps += 1
        # A run whose end was lost matters only while calls wait for its slot,
        # and each instance takes such a report from each other one.
        if admission.waiting.count() and not self._sweeps % SWEEPS_PER_REPORT:
            alive = make_alive_message(self._state)
            if len(alive.numbers) <= MAXIMUM_ALIVE_NUMBERS:
                self._broadcast(alive)
        forgotten = admission.waiting.remove_expired(self._state.get_now_s())
        if forgotten:
            self._state.log.write('waits_forgotten', count=forgotten)
            self.notify()
        metrics = self._state.metrics
        metrics.set_gauge('calls_awaiting_capacity', len(self._waiters))
        metrics.set_gauge('known_waiting_calls', admission.waiting.count())

    def announce_to(self, send: Callable[[Message], None]) -> None:
        """Tell a new peer which calls wait here."""
        own = [waiter.waiting for waiter in self._waiters.values()]
        for message in split_calls(own, self._state.get_now_s()):
            send(message)

    def close(self) -> None:
        """Cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

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

    def _may_place_now(self, waiting: WaitingCall, turn: Turn) -> bool:
        """Return whether a call may be placed before others know of it.

        Within the time of an announcement, an instance takes no more than its
        part of the free slots. Otherwise a burst of calls at all instances
        would fill the same slots many times over. Where the free slots are many
        times the calls that the whole service gets meanwhile, it need not wait.
        """
        state = self._state
        now_s = state.get_now_s()
        if state.admission.waiting.list_calls(waiting.service):
            return False
        taken = self._taken.setdefault(waiting.service, collections.deque())
        while taken and now_s - taken[0] > 2 * ANNOUNCEMENT_S:
            taken.popleft()
        instances = state.peers.count_instances(now_s)
        expected = len(taken) + 1
        # Its own calls of this time are not among the free slots any more.
        is_part = expected * instances <= turn.free_calls + len(taken)
        if not is_part and not self._has_ample_room(waiting, turn, expected):
            return False
        taken.append(now_s)
        return True

    def _has_ample_room(
        self, waiting: WaitingCall, turn: Turn, own_calls: int
    ) -> bool:
        """Return whether the free slots suffice for calls not heard of yet.

        :param own_calls: calls of this instance in the time of an announcement.
        """
        rate = self._state.admission.capacity.estimate_release_per_s(
            waiting.service, self._state.get_now_s()
        )
        if rate is None:
            return False
        expected = own_calls + rate * 2 * ANNOUNCEMENT_S
        return expected * AMPLE_ROOM_FACTOR <= turn.free_calls

    def _decide(self, waiting: WaitingCall, turn: Turn) -> Decision:
        now_s = self._state.get_now_s()
        capacity = self._state.admission.capacity
        return decide(
            waiting,
            has_room=turn.placement is not None,
            position=turn.position,
            release_per_s=capacity.estimate_release_per_s(
                waiting.service, now_s
            ),
            now_s=now_s,
        )

    def _enter(self, waiter: _Waiter, decision: Decision, turn: Turn) -> None:
        """Announce a call that begins to wait."""
        state = self._state
        now_s = state.get_now_s()
        self._waiters[waiter.waiting.key] = waiter
        state.admission.waiting.add(waiter.waiting, now_s)
        self._broadcast(CallsWaiting((waiter.waiting,), now_s))
        self._schedule(ANNOUNCEMENT_S)
        if turn.placement is not None:
            return
        state.metrics.increment('calls_waited')
        state.log.write(
            'capacity_awaited',
            request=waiter.call.head.request_id,
            service=waiter.waiting.service,
            priority=waiter.waiting.priority,
            ahead=turn.position,
            waits_s=decision.wait_s,
            remaining_s=waiter.waiting.latest_s - now_s,
        )

    async def _wait(
        self,
        waiter: _Waiter,
        progress: CallProgress,
        excluded: set[str],
        find: Find,
    ) -> Placement | None:
        state = self._state
        while True:
            await _wait_until(waiter.changed, waiter.waiting.latest_s)
            waiter.changed.clear()
            turn = take_turn(state, waiter.call, waiter.waiting, excluded, find)
            if turn.placement is None and not turn.can_wait:
                self.withdraw(waiter.waiting.number)
                return None
            decision = self._decide(waiter.waiting, turn)
            if decision.verdict is Verdict.refuse:
                raise self._make_refusal(waiter.call, progress, decision, turn)
            if decision.verdict is Verdict.place and turn.placement:
                self._record_found(waiter, turn.placement)
                return turn.placement

    def _record_found(self, waiter: _Waiter, placement: Placement) -> None:
        took_s = self._state.get_now_s() - waiter.announced_s
        self._state.metrics.observe('capacity_wait', took_s)
        self._state.log.write(
            'capacity_found',
            request=waiter.call.head.request_id,
            target=placement.parts[0].target,
            took_s=took_s,
        )

    def _make_refusal(
        self,
        call: Call,
        progress: CallProgress,
        decision: Decision,
        turn: Turn,
    ) -> CallFailed:
        state = self._state
        state.metrics.increment('calls_without_capacity')
        state.log.write(
            'capacity_refused',
            request=call.head.request_id,
            service=call.service,
            priority=call.priority,
            reason=decision.reason,
            ahead=turn.position,
            waits_s=decision.wait_s,
            known=state.peers.count_known(),
        )
        spread = call.head.request_hash / REQUEST_HASH_VALUES
        return CallFailed(
            make_no_capacity_refusal(progress, decision.wait_s, spread)
        )

    def _schedule(self, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        due_s = loop.time() + delay_s
        if self._timer is not None:
            if self._due_s <= due_s:
                return
            self._timer.cancel()
        self._due_s = due_s
        self._timer = loop.call_at(due_s, self._reconsider)

    def _reconsider(self) -> None:
        """Wake the calls that are allotted capacity."""
        self._timer = None
        if not self._waiters:
            return
        now_s = self._state.get_now_s()
        self._renew(now_s)
        by_service: dict[str, list[_Waiter]] = {}
        for waiter in self._waiters.values():
            by_service.setdefault(waiter.call.service, []).append(waiter)
        allotted: set[WaitingKey] = set()
        for service, waiters in by_service.items():
            allotted |= self._wake(service, waiters, now_s)
        self._state.admission.absences.record(allotted, now_s)
        self._schedule(MAXIMUM_PASS_INTERVAL_S)

    def _wake(
        self, service: str, waiters: list[_Waiter], now_s: float
    ) -> set[WaitingKey]:
        state = self._state
        rooms = list_rooms(state, waiters[0].call, set())
        allotment = allot_rooms(state, rooms, service)
        largest = max((room.total_tokens for room in rooms), default=0)
        release_per_s = state.admission.capacity.estimate_release_per_s(
            service, now_s
        )
        for waiter in waiters:
            if now_s < waiter.announced_s + ANNOUNCEMENT_S:
                self._schedule(ANNOUNCEMENT_S)
                continue
            # A prompt that only a group holds is not allotted a target.
            is_large = waiter.waiting.memory_tokens > largest
            decision = decide(
                waiter.waiting,
                has_room=waiter.waiting.key in allotment.targets or is_large,
                position=allotment.positions.get(waiter.waiting.key, 0),
                release_per_s=release_per_s,
                now_s=now_s,
            )
            if not rooms or decision.verdict is not Verdict.wait:
                waiter.changed.set()
        return set(allotment.targets)

    def _renew(self, now_s: float) -> None:
        """Repeat the announcements, of which some may be lost."""
        if now_s - self._renewed_s < RENEWAL_INTERVAL_S:
            return
        self._renewed_s = now_s
        own = [waiter.waiting for waiter in self._waiters.values()]
        for waiting in own:
            self._state.admission.waiting.add(waiting, now_s)
        for message in split_calls(own, now_s):
            self._broadcast(message)


async def _wait_until(changed: asyncio.Event, latest_s: float) -> None:
    try:
        async with asyncio.timeout_at(latest_s):
            await changed.wait()
    except TimeoutError:
        return
