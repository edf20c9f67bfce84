"""Searches for the targets of calls, each once for capacity that appeared."""

from attrs import define, field

from trefoilhinge.dispatch.admission.allotment import can_take, needs_group
from trefoilhinge.dispatch.admission.bursts import BurstTable
from trefoilhinge.dispatch.admission.waiting_calls import WaitingCall
from trefoilhinge.dispatch.group_placement import Placement
from trefoilhinge.gateway.admission.rooms import (
    NONE,
    Find,
    Rooms,
    Turn,
    can_wait,
    compute_turn,
    find_in_turn,
    find_rooms,
    refresh_rooms,
)
from trefoilhinge.gateway.admission.waiter import Waiter
from trefoilhinge.gateway.state import GatewayState


@define
class PlacementSearch:
    """Searches for the targets of the calls of this instance."""

    _state: GatewayState
    _bursts: BurstTable = field(factory=BurstTable)

    def may_place_now(self, waiting: WaitingCall, turn: Turn) -> bool:
        """Return whether a call may be placed before others know of it."""
        if not turn.is_exact:
            return False
        admission = self._state.admission
        now_s = self._state.get_now_s()
        service = waiting.service
        rate = admission.capacity.estimate_release_per_s(service, now_s)
        left = turn.left.values()
        ample = self._bursts.count_ample(service, rate, now_s)
        if can_take(waiting, left, ample):
            return True
        if admission.waiting.get_queue(service).count:
            return False
        instances = self._state.peers.count_instances(now_s)
        part = self._bursts.count_part(service, instances, now_s)
        return can_take(waiting, left, part)

    def find_at_once(
        self, waiter: Waiter, rooms: Rooms, turn: Turn, find: Find
    ) -> Placement | None:
        """Search for the targets of a call that need not wait."""
        waiting = waiter.waiting
        placement = find_in_turn(waiting, rooms, turn.left, find)
        if placement is not None:
            self._bursts.record(waiting.service, self._state.get_now_s())
        return placement

    def find_granted(self, waiter: Waiter, find: Find) -> Placement | None:
        """Search for the targets of a call that is allotted capacity."""
        state = self._state
        known = refresh_rooms(state, waiter.call)
        if waiter.takes_granted:
            placement = find(known.rooms.keys() - {waiter.granted}, NONE)
        else:
            rooms = find_rooms(state, waiter.call, waiter.excluded)
            turn = compute_turn(state, waiter.waiting, rooms)
            placement = find_in_turn(waiter.waiting, rooms, turn.left, find)
        if placement is None:
            waiter.record_failed(known.version, state.get_now_s())
        return placement

    def is_hopeless(self, waiter: Waiter, find: Find) -> bool:
        """Return whether a call that found no target cannot wait for one.

        The list of usable targets may be outdated, or a limited target refused
        a permit.
        """
        state = self._state
        state.admission.select_rooms(waiter.call.service).expire()
        rooms = find_rooms(state, waiter.call, waiter.excluded)
        if not can_wait(state, waiter.call, waiter.waiting, rooms):
            return True
        if not rooms or needs_group(waiter.waiting, rooms):
            return False
        return find(NONE, NONE) is None
