"""Capacity that the first of the waiting calls get.

All instances that know the same calls and loads compute the same.
"""

import math
from collections.abc import Collection, Iterable, Mapping

from attrs import define, evolve, field

from trefoilhinge.dispatch.admission.capacity import TargetRoom
from trefoilhinge.dispatch.admission.waiting_calls import (
    WaitingCall,
    WaitingKey,
)
from trefoilhinge.dispatch.group_placement import (
    MAXIMUM_HELPERS,
    MINIMUM_RESERVATION_TOKENS,
    RESERVATION_SLACK_TOKENS,
)

# A call that fits nowhere for lack of memory may keep targets from those
# behind it, so that it does not starve, once it has waited for this long.
CLAIM_AFTER_S = 0.25
# Part of the targets that such calls may keep, so that they do not block all.
MAXIMUM_CLAIMED_SHARE = 0.25


@define
class Allotment:
    """Capacity that the first of the waiting calls get.

    :ivar targets: target of each call that can be placed now; of a group the
        one that answers.
    :ivar positions: number of calls ahead of each call that was considered.
    :ivar left: capacity that is left by all calls that were considered.
    """

    targets: dict[WaitingKey, str] = field(factory=dict)
    positions: dict[WaitingKey, int] = field(factory=dict)
    left: dict[str, TargetRoom] = field(factory=dict)
    _open: dict[str, TargetRoom] = field(factory=dict)
    _largest: float = 0
    _claimable: int = 0
    # Capacity only shrinks from call to call, so that a call that needs as
    # much as one that found none need not be compared with all targets.
    _least_failed: float = math.inf
    _least_failed_group: float = math.inf

    def __attrs_post_init__(self) -> None:
        """Find the targets with free slots."""
        rooms = self.left.values()
        self._open = {room.target: room for room in rooms if room.slots > 0}
        self._largest = max((room.total_tokens for room in rooms), default=0)
        self._claimable = max(1, int(len(rooms) * MAXIMUM_CLAIMED_SHARE))

    @property
    def is_exhausted(self) -> bool:
        """Return whether no slot is left."""
        return not self._open

    def take(self, call: WaitingCall, now_s: float) -> None:
        """Give the next call in the order what it needs, if that is left."""
        if call.memory_tokens > self._largest:
            is_placed = self._take_group(call)
        else:
            is_placed = self._take_one(call)
        has_waited = now_s - call.since_s >= CLAIM_AFTER_S
        if not is_placed and has_waited and self._claimable:
            self._claimable -= self._claim(call)

    def _take_one(self, call: WaitingCall) -> bool:
        if call.memory_tokens >= self._least_failed:
            return False
        room = find_room(call, self._open.values())
        if room is None:
            self._least_failed = call.memory_tokens
            return False
        self.targets[call.key] = room.target
        free = room.memory_tokens - call.memory_tokens
        self._put(evolve(room, slots=room.slots - 1, memory_tokens=free))
        return True

    def _take_group(self, call: WaitingCall) -> bool:
        if call.memory_tokens >= self._least_failed_group:
            return False
        members = find_group(call, self.left.values())
        if not members:
            self._least_failed_group = call.memory_tokens
            return False
        self.targets[call.key] = members[0].target
        missing = float(call.memory_tokens)
        for room in members:
            free = max(0, room.memory_tokens - missing)
            missing -= room.memory_tokens
            slots = room.slots - int(room is members[0])
            self._put(evolve(room, slots=slots, memory_tokens=free))
        return True

    def _put(self, room: TargetRoom) -> None:
        self.left[room.target] = room
        if room.slots > 0:
            self._open[room.target] = room
        else:
            self._open.pop(room.target, None)

    def _claim(self, call: WaitingCall) -> int:
        """Keep the targets with the most free memory from the calls behind.

        :return: the number of targets; zero if it is not memory that lacks.
        """
        rooms = self.left.values()
        if any(call.memory_tokens <= room.memory_tokens for room in rooms):
            return 0
        claimed = 0
        missing = float(call.memory_tokens)
        by_memory = sorted(
            rooms, key=lambda room: (room.memory_tokens, room.target)
        )
        for room in reversed(by_memory[-self._claimable :]):
            if missing <= 0:
                break
            missing -= room.total_tokens
            self.left.pop(room.target)
            self._open.pop(room.target, None)
            claimed += 1
        return claimed


def allot(
    ranked: Iterable[WaitingCall],
    rooms: Iterable[TargetRoom],
    now_s: float,
    until: WaitingKey | None = None,
) -> Allotment:
    """Allot free capacity to calls in their order.

    :param ranked: calls in their order, read as long as a slot is left.
    :param until: call at which to stop, so that what is left is left for it;
        the calls ahead of it are counted.
    """
    found = Allotment(left={room.target: room for room in rooms})
    for position, call in enumerate(ranked):
        if found.is_exhausted and until is None:
            break
        found.positions[call.key] = position
        if call.key == until:
            break
        if not found.is_exhausted:
            found.take(call, now_s)
    return found


def find_room(
    call: WaitingCall, rooms: Iterable[TargetRoom]
) -> TargetRoom | None:
    """Return the target with the least backlog that can take a call now."""
    fitting = [room for room in rooms if fits(call, room)]
    return min(
        fitting,
        key=lambda room: (room.idle_s, -room.slots, room.target),
        default=None,
    )


def find_group(
    call: WaitingCall, rooms: Collection[TargetRoom]
) -> list[TargetRoom]:
    """Return the fewest targets that hold a prompt together.

    :return: the target that answers, then the others; empty if too little
        memory is free, or no slot.
    """
    by_memory = sorted(
        (
            room
            for room in rooms
            if room.memory_tokens >= MINIMUM_RESERVATION_TOKENS
        ),
        key=lambda room: (-room.memory_tokens, room.target),
    )
    first = next((room for room in by_memory if room.slots > 0), None)
    if first is None:
        return []
    members: list[TargetRoom] = []
    missing = float(call.memory_tokens)
    by_memory.remove(first)
    for room in (first, *by_memory[: MAXIMUM_HELPERS - 1]):
        members.append(room)
        missing -= room.memory_tokens - RESERVATION_SLACK_TOKENS
        if missing <= 0:
            return members
    return []


def can_hold(call: WaitingCall, rooms: Mapping[str, TargetRoom]) -> bool:
    """Return whether targets hold a call once they are idle."""
    if not needs_group(call, rooms):
        return True
    idle = [
        evolve(room, slots=1, memory_tokens=room.total_tokens)
        for room in rooms.values()
    ]
    return bool(find_group(call, idle))


def needs_group(call: WaitingCall, rooms: Mapping[str, TargetRoom]) -> bool:
    """Return whether no target alone holds a call, even an idle one."""
    needed = call.memory_tokens
    return not any(needed <= room.total_tokens for room in rooms.values())


def fits(call: WaitingCall, room: TargetRoom) -> bool:
    """Return whether a target can take a call now."""
    return room.slots > 0 and call.memory_tokens <= room.memory_tokens


def can_take(
    call: WaitingCall, rooms: Iterable[TargetRoom], calls: float
) -> bool:
    """Return whether targets can take as many calls like the given one now.

    :param calls: number of calls, at least one.
    """
    missing = calls
    for room in rooms:
        if not fits(call, room):
            continue
        slots = float(room.slots)
        if call.memory_tokens:
            slots = min(slots, room.memory_tokens // call.memory_tokens)
        missing -= slots
        if missing <= 0:
            return True
    return False
