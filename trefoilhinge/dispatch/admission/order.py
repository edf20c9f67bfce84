"""Order of the waiting calls, and the capacity that each of them gets.

All instances that know the same calls and loads compute the same.
"""

import heapq
import math
from collections.abc import Iterable, Iterator, Sequence

from attrs import define, field

from trefoilhinge.dispatch.admission.capacity import TargetRoom
from trefoilhinge.dispatch.admission.waiting import (
    UsageTable,
    WaitingCall,
    WaitingKey,
)

# A call that fits nowhere for lack of memory may keep targets from those
# behind it, so that it does not starve, once it has waited for this long.
CLAIM_AFTER_S = 0.25
# Part of the targets that such calls may keep, so that they do not block all.
MAXIMUM_CLAIMED_SHARE = 0.25
USAGE_UNIT = 0.5  # half of a short call
# Calls that fit nowhere and are compared with those behind them, which then
# need not be compared with all targets.
MAXIMUM_FAILURES = 8


def rank_calls(
    calls: Iterable[WaitingCall], usage: UsageTable, now_s: float
) -> Iterator[WaitingCall]:
    """Return calls in the order in which they are to be placed.

    The highest priority comes first, then calls that can still be on time.
    Among these the organisation that was given the least work is next, with
    its oldest call.
    """
    classes: dict[tuple[int, bool], list[WaitingCall]] = {}
    for call in sorted(calls, key=_find_age):
        is_late = now_s > call.on_time_s
        classes.setdefault((call.priority, is_late), []).append(call)
    for one in sorted(classes):
        yield from _take_turns(classes[one], usage, now_s)


@define
class Allotment:
    """Capacity that the first of the waiting calls get.

    :ivar targets: target of each call that can be placed now.
    :ivar positions: number of calls ahead of each call that was considered.
    :ivar left: capacity that is left by all calls that were considered.
    """

    targets: dict[WaitingKey, str] = field(factory=dict)
    positions: dict[WaitingKey, int] = field(factory=dict)
    left: dict[str, TargetRoom] = field(factory=dict)


def allot(
    ranked: Iterable[WaitingCall],
    rooms: Sequence[TargetRoom],
    now_s: float,
    until: WaitingKey | None = None,
) -> Allotment:
    """Allot free capacity to calls in their order.

    :param ranked: calls in the order of ``rank_calls``.
    :param until: call at which to stop, so that what is left is left for it.
    """
    claimable = max(1, int(len(rooms) * MAXIMUM_CLAIMED_SHARE))
    found = Allotment(left={room.target: room for room in rooms})
    failures: list[WaitingCall] = []
    for position, call in enumerate(ranked):
        found.positions[call.key] = position
        if call.key == until:
            break
        room = None
        if not any(_needs_as_much(call, failed) for failed in failures):
            room = find_room(call, found.left.values())
        if room is not None:
            found.targets[call.key] = room.target
            found.left[room.target] = _take(room, call)
            continue
        if len(failures) < MAXIMUM_FAILURES:
            failures.append(call)
        if claimable and now_s - call.since_s >= CLAIM_AFTER_S:
            claimable -= _claim(call, found.left, claimable)
    return found


def find_room(
    call: WaitingCall, rooms: Iterable[TargetRoom]
) -> TargetRoom | None:
    """Return the target with the least backlog that can take a call now."""
    fitting = [room for room in rooms if fits(call, room)]
    return min(
        fitting,
        key=lambda room: (room.backlog_s, -room.slots, room.target),
        default=None,
    )


def fits(call: WaitingCall, room: TargetRoom) -> bool:
    """Return whether a target can take a call now."""
    return room.slots > 0 and call.memory_tokens <= room.memory_tokens


def count_calls(call: WaitingCall, room: TargetRoom) -> int:
    """Return how many calls like the given one a target can take now."""
    slots = max(0, room.slots)
    if not call.memory_tokens or math.isinf(room.memory_tokens):
        return slots
    return min(slots, max(0, int(room.memory_tokens // call.memory_tokens)))


def _needs_as_much(call: WaitingCall, failed: WaitingCall) -> bool:
    """Return whether a call fits nowhere as another one did not."""
    return call.memory_tokens >= failed.memory_tokens


def _claim(call: WaitingCall, left: dict[str, TargetRoom], maximum: int) -> int:
    """Keep the targets with the most free memory from the calls behind.

    :return: the number of targets; zero if it is not memory that lacks.
    """
    if any(call.memory_tokens <= room.memory_tokens for room in left.values()):
        return 0
    claimed = 0
    missing = float(call.memory_tokens)
    by_memory = sorted(
        left, key=lambda name: (left[name].memory_tokens, name), reverse=True
    )
    for name in by_memory[:maximum]:
        if missing <= 0:
            break
        missing -= left.pop(name).total_tokens
        claimed += 1
    return claimed


def _take(room: TargetRoom, call: WaitingCall) -> TargetRoom:
    return TargetRoom(
        room.target,
        room.slots - 1,
        room.memory_tokens - call.memory_tokens,
        room.total_tokens,
        room.backlog_s,
        room.age_s,
    )


def _find_age(call: WaitingCall) -> tuple[int, str, int]:
    return call.stamp, call.origin, call.number


def _round_usage(used: float) -> float:
    """Round away the differences of a few milliseconds between instances."""
    return round(used / USAGE_UNIT) * USAGE_UNIT


def _take_turns(
    calls: list[WaitingCall], usage: UsageTable, now_s: float
) -> Iterator[WaitingCall]:
    queues: dict[int, list[WaitingCall]] = {}
    for call in calls:
        queues.setdefault(call.organisation, []).append(call)
    heap = [
        (_round_usage(usage.get(organisation, now_s)), organisation, 0)
        for organisation in queues
    ]
    heapq.heapify(heap)
    while heap:
        used, organisation, index = heapq.heappop(heap)
        queue = queues[organisation]
        yield queue[index]
        if index + 1 < len(queue):
            used += queue[index].weight
            heapq.heappush(heap, (used, organisation, index + 1))
