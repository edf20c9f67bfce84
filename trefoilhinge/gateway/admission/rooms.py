"""Free capacity of the targets that a call may be sent to."""

from collections.abc import Callable, Collection, Mapping
from collections.abc import Set as AbstractSet

from attrs import frozen

from trefoilhinge.dispatch.admission.allotment import (
    Allotment,
    allot,
    can_hold,
    find_group,
    fits,
    needs_group,
)
from trefoilhinge.dispatch.admission.capacity import TargetRoom
from trefoilhinge.dispatch.admission.order import rank_queue
from trefoilhinge.dispatch.admission.rooms import ServiceRooms
from trefoilhinge.dispatch.admission.waiting_calls import WaitingCall
from trefoilhinge.dispatch.calls import Call
from trefoilhinge.dispatch.group_placement import (
    MINIMUM_RESERVATION_TOKENS,
    Placement,
)
from trefoilhinge.gateway.placement import find_engine_profile, list_usable
from trefoilhinge.gateway.state import GatewayState

# Chooses the targets of a call, without those of the first names, and so that
# none of the second names answers it.
Find = Callable[[AbstractSet[str], Collection[str]], Placement | None]
Rooms = Mapping[str, TargetRoom]
NONE: frozenset[str] = frozenset()


@frozen
class Turn:
    """What is left for a call by those ahead of it.

    :ivar position: number of calls ahead of it.
    :ivar left: free capacity that they leave.
    :ivar is_exact: whether the calls were ranked; if not, the position is the
        number of all other calls, and no slot is free.
    """

    position: int
    left: Rooms
    is_exact: bool = True

    def has_room(self, waiting: WaitingCall) -> bool:
        """Return whether capacity is left for a call."""
        rooms = self.left.values()
        if any(fits(waiting, room) for room in rooms):
            return True
        return needs_group(waiting, self.left) and bool(
            find_group(waiting, rooms)
        )


def refresh_rooms(state: GatewayState, call: Call) -> ServiceRooms:
    """Return the present free capacity of a call's service."""
    now_s = state.get_now_s()
    capacity = state.admission.capacity
    found = state.admission.select_rooms(call.service)
    is_idle = not state.admission.waiting.get_queue(call.service).count
    if not found.is_listed(now_s, is_idle=is_idle):
        records = [
            record
            for record in list_usable(state, call, set())
            if state.permits.has_room(record.name, record.started_ms, now_s)
        ]
        found.list_targets(records, state.loads, now_s)
    release_per_s = capacity.estimate_release_per_s(call.service, now_s)
    found.refresh(
        find_engine_profile(state, call.service),
        release_per_s,
        capacity.list_full(now_s),
    )
    return found


def find_rooms(state: GatewayState, call: Call, excluded: set[str]) -> Rooms:
    """Return the free capacity of the targets that may be sent a call.

    :param excluded: targets that failed the call; used only if no other one
        is left.
    """
    rooms = refresh_rooms(state, call).rooms
    if not excluded:
        return rooms
    usable = list_usable(state, call, excluded)
    return {
        record.name: rooms[record.name]
        for record in usable
        if record.name in rooms
    }


def compute_turn(
    state: GatewayState,
    waiting: WaitingCall,
    rooms: Rooms,
    *,
    is_exact: bool = False,
) -> Turn:
    """Return what is left for a call by those ahead of it.

    :param is_exact: whether its position is needed though no slot is free.
    """
    table = state.admission.waiting
    others = table.get_queue(waiting.service).count
    others -= int(table.get(waiting.key) is not None)
    if not others:
        return Turn(0, rooms)
    if not is_exact and all(room.slots <= 0 for room in rooms.values()):
        return Turn(others, {}, is_exact=False)
    found = allot_rooms(state, rooms, waiting.service, waiting)
    return Turn(found.positions.get(waiting.key, others), found.left)


def allot_rooms(
    state: GatewayState,
    rooms: Rooms,
    service: str,
    own: WaitingCall | None = None,
) -> Allotment:
    """Allot the free capacity of a service to the calls that wait for it.

    :param own: call at which to stop.
    """
    now_s = state.get_now_s()
    admission = state.admission
    absent = admission.select_absences(service).list_absent(now_s)
    if own is not None:
        absent.discard(own.key)
    ranked = rank_queue(
        admission.waiting.get_queue(service),
        admission.waiting.usage,
        now_s,
        absent,
    )
    until = None if own is None else own.key
    return allot(ranked, rooms.values(), now_s, until)


def find_in_turn(
    waiting: WaitingCall, rooms: Rooms, left: Rooms, find: Find
) -> Placement | None:
    """Search once for the targets of a call among what is left for it.

    Targets that have no room for it may still help. A group that holds the
    prompt together needs memory at all of its members.
    """
    if needs_group(waiting, rooms):
        members = {
            name
            for name, room in left.items()
            if room.memory_tokens >= MINIMUM_RESERVATION_TOKENS
        }
        full = {name for name in members if left[name].slots <= 0}
    else:
        members = set(left)
        needed = waiting.memory_tokens
        full = {
            name
            for name, room in left.items()
            if room.slots <= 0 or needed > room.memory_tokens
        }
    if len(full) == len(members):
        return None
    return find(rooms.keys() - members, full)


def can_wait(
    state: GatewayState, call: Call, waiting: WaitingCall, rooms: Rooms
) -> bool:
    """Return whether capacity that becomes free can help a call.

    Without any target that may be sent the call, it can wait for targets that
    all have as many connections as they accept.
    """
    if rooms:
        return can_hold(waiting, rooms)
    now_s = state.get_now_s()
    return any(
        not state.rests.is_resting(record, now_s)
        and state.permits.get(record.name, record.started_ms) is None
        and state.loads.get(record.name).running
        for record in state.directory.list_serving(call.service)
    )
