"""Searches for the targets of calls, each once for capacity that appeared."""

from attrs import define, field

from trefoilhinge.dispatch.admission.allotment import can_take, needs_group
from trefoilhinge.dispatch.admission.bursts import BurstTable
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

    def may_place_now(self, waiter: Waiter, turn: Turn) -> bool:
        """Return whether a call may be placed before others know of it.

        Few prompts that may be placed on groups fill the memory of a target,
        and their objectives are long: they are announced even if room is ample.
        """
        if not turn.is_exact:
            return False
        waiting = waiter.waiting
        admission = self._state.admission
        now_s = self._state.get_now_s()
        service = waiting.service
        rate = admission.capacity.estimate_release_per_s(service, now_s)
        left = turn.left.values()
        ample = self._bursts.count_ample(service, rate, now_s)
        if waiter.is_short and can_take(waiting, left, ample):
            return True
        if admission.waiting.get_queue(service).count:
            return False
        instances = self._state.peers.count_instances(now_s)
        if instances > 1 and not waiter.is_short:
            return False
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
        # Calls that two instances place at the same moment do not meet, as both
        # take the very targets that they are allotted.
        others = known.rooms.keys() - {waiter.granted}
        if not waiter.excluded and waiter.is_short:
            placement = find(others, NONE)
        elif not waiter.excluded and not needs_group(
            waiter.waiting, known.rooms
        ):
            placement = find(NONE, others)
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
