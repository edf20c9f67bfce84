"""Free capacity of the targets that a call may be sent to."""

from collections.abc import Callable, Collection

from attrs import evolve, frozen

from trefoilhinge.dispatch.admission.capacity import (
    TargetRoom,
    count_ahead,
    make_room,
)
from trefoilhinge.dispatch.admission.order import (
    Allotment,
    allot,
    count_calls,
    find_room,
    fits,
    rank_calls,
)
from trefoilhinge.dispatch.admission.waiting import WaitingCall
from trefoilhinge.dispatch.calls import Call
from trefoilhinge.dispatch.group_placement import (
    MAXIMUM_HELPERS,
    MINIMUM_RESERVATION_TOKENS,
    Placement,
)
from trefoilhinge.dispatch.placement import MINIMUM_GROUP_TOKENS
from trefoilhinge.gateway.placement import find_engine_profile, list_usable
from trefoilhinge.gateway.state import GatewayState

# Chooses the targets of a call, without those of the given names.
Find = Callable[[Collection[str]], Placement | None]


@frozen
class Turn:
    """What is left for a call by those ahead of it.

    :ivar placement: where it can be placed now; none if it has no room.
    :ivar position: number of calls ahead of it.
    :ivar can_wait: whether capacity that becomes free can help it.
    :ivar free_calls: calls like it that free slots and memory bear, over all
        targets.
    """

    placement: Placement | None
    position: int
    can_wait: bool
    free_calls: int = 0


def list_rooms(
    state: GatewayState, call: Call, excluded: set[str]
) -> list[TargetRoom]:
    """Return the free capacity of the targets that may be sent a call.

    :param excluded: targets that failed the call; used only if no other one
        is left.
    """
    now_s = state.get_now_s()
    engine = find_engine_profile(state, call.service)
    records = [
        record
        for record in list_usable(state, call, excluded)
        if state.permits.has_room(record.name, record.started_ms, now_s)
    ]
    capacity = state.admission.capacity
    release_per_s = capacity.estimate_release_per_s(call.service, now_s)
    ahead = count_ahead(release_per_s, len(records))
    rooms = []
    for record in records:
        load = state.loads.get(record.name)
        room = make_room(record, load, engine, ahead, now_s)
        if capacity.is_full(record.name, now_s):
            room = evolve(room, slots=0)
        rooms.append(room)
    return rooms


def allot_rooms(
    state: GatewayState,
    rooms: list[TargetRoom],
    service: str,
    own: WaitingCall | None = None,
) -> Allotment:
    """Allot the free capacity of a service to the calls that wait for it.

    :param own: call at which to stop.
    """
    now_s = state.get_now_s()
    admission = state.admission
    calls = admission.absences.select_present(
        admission.waiting.list_calls(service), now_s
    )
    if own is not None and all(call.key != own.key for call in calls):
        calls.append(own)
    ranked = rank_calls(calls, admission.waiting.usage, now_s)
    return allot(ranked, rooms, now_s, None if own is None else own.key)


def take_turn(
    state: GatewayState,
    call: Call,
    waiting: WaitingCall,
    excluded: set[str],
    find: Find,
) -> Turn:
    """Find room for a call among what those ahead of it leave."""
    rooms = list_rooms(state, call, excluded)
    allotment = allot_rooms(state, rooms, call.service, waiting)
    position = allotment.positions[waiting.key]
    names = {room.target for room in rooms}
    free_calls = sum(
        count_calls(waiting, room) for room in allotment.left.values()
    )
    placement = find(names - set(allotment.left))
    if placement is None:
        return Turn(None, position, _can_wait(state, call, waiting, rooms))
    size = call.head.prompt_size
    is_short = size is None or size.prompt_tokens < MINIMUM_GROUP_TOKENS
    # All instances take the same target for the same short call, so that calls
    # that are allotted capacity at the same time do not meet.
    if not (is_short and allotment.targets):
        if _has_room(placement, waiting, allotment.left):
            return Turn(placement, position, True, free_calls)
    open_names = {
        name for name, room in allotment.left.items() if fits(waiting, room)
    }
    room = find_room(waiting, allotment.left.values())
    if is_short and allotment.targets and room is not None:
        open_names = {room.target}
    found = find(names - open_names) if open_names else None
    if found is not None and not _has_room(found, waiting, allotment.left):
        found = None
    return Turn(found, position, True, free_calls)


def _has_room(
    placement: Placement, waiting: WaitingCall, left: dict[str, TargetRoom]
) -> bool:
    """Return whether the answering target of a placement has room.

    The helpers only prefill. A group waits until its targets have processed
    their backlogs, and its reserved memory was found to be free.
    """
    room = left.get(placement.parts[0].target)
    if room is None or room.slots <= 0:
        return False
    if placement.reserved_tokens:
        return True
    if len(placement.parts) > 1:
        return waiting.memory_tokens <= room.memory_tokens
    return fits(waiting, room)


def _can_wait(
    state: GatewayState,
    call: Call,
    waiting: WaitingCall,
    rooms: list[TargetRoom],
) -> bool:
    """Return whether a call that has no placement may find one later.

    That is a prompt for whose memory a group has too little now, or a call
    whose targets all have as many connections as they accept.
    """
    if rooms:
        totals = sorted((room.total_tokens for room in rooms), reverse=True)
        held = sum(totals[:MAXIMUM_HELPERS])
        largest = totals[0]
        return (
            largest < waiting.memory_tokens <= held
            and min(totals) >= MINIMUM_RESERVATION_TOKENS
        )
    now_s = state.get_now_s()
    return any(
        not state.rests.is_resting(record, now_s)
        and state.permits.get(record.name, record.started_ms) is None
        and state.loads.get(record.name).running
        for record in state.directory.list_serving(call.service)
    )
