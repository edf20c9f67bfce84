"""Order of the waiting calls.

All instances that know the same calls compute the same order. It is computed
as far as it is read, since mostly few calls can be placed at a time.
"""

import heapq
from collections.abc import Collection, Iterable, Iterator, Mapping

from trefoilhinge.dispatch.admission.queues import ServiceQueue
from trefoilhinge.dispatch.admission.waiting import UsageTable
from trefoilhinge.dispatch.admission.waiting_calls import (
    WaitingCall,
    WaitingKey,
)

USAGE_UNIT = 0.5  # half of a short call


def rank_calls(
    calls: Iterable[WaitingCall], usage: UsageTable, now_s: float
) -> Iterator[WaitingCall]:
    """Return calls in the order in which they are to be placed."""
    queue = ServiceQueue()
    for call in calls:
        queue.add(call)
    return rank_queue(queue, usage, now_s)


def rank_queue(
    queue: ServiceQueue,
    usage: UsageTable,
    now_s: float,
    absent: Collection[WaitingKey] = (),
) -> Iterator[WaitingCall]:
    """Return the calls of a queue in the order in which they are to be placed.

    The highest priority comes first, then calls that can still be on time.
    Among these the organisation that was given the least work is next, with
    its oldest call.

    :param absent: calls that are left out.
    """
    for priority in queue.list_priorities():
        lines = queue.select_lines(priority)
        for is_late in (False, True):
            turns = {
                organisation: _select(line, absent, now_s, is_late=is_late)
                for organisation, line in lines.items()
            }
            yield from _take_turns(turns, usage, now_s)


def _select(
    line: list[WaitingCall],
    absent: Collection[WaitingKey],
    now_s: float,
    *,
    is_late: bool,
) -> Iterator[WaitingCall]:
    for call in line:
        if (now_s > call.on_time_s) is is_late and call.key not in absent:
            yield call


def _round_usage(used: float) -> float:
    """Round away the differences of a few milliseconds between instances."""
    return round(used / USAGE_UNIT) * USAGE_UNIT


def _take_turns(
    turns: Mapping[int, Iterator[WaitingCall]],
    usage: UsageTable,
    now_s: float,
) -> Iterator[WaitingCall]:
    heap = []
    for organisation, calls in turns.items():
        first = next(calls, None)
        if first is not None:
            used = _round_usage(usage.get(organisation, now_s))
            heap.append((used, organisation, first))
    heapq.heapify(heap)
    while heap:
        used, organisation, call = heap[0]
        yield call
        following = next(turns[organisation], None)
        if following is None:
            heapq.heappop(heap)
        else:
            heapq.heapreplace(
                heap, (used + call.weight, organisation, following)
            )
