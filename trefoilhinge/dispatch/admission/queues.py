"""Waiting calls of one service, sorted as they are ranked."""

import bisect
from collections.abc import Mapping

from attrs import define, field

from trefoilhinge.dispatch.admission.waiting_calls import WaitingCall, find_age


@define
class ServiceQueue:
    """Calls that wait for one service.

    They are kept sorted, so that a pass over the first of them need not sort
    all.

    :ivar count: number of calls.
    """

    count: int = 0
    _lines: dict[int, dict[int, list[WaitingCall]]] = field(factory=dict)

    def add(self, call: WaitingCall) -> None:
        """Add a call that is not contained yet."""
        lines = self._lines.setdefault(call.priority, {})
        line = lines.setdefault(call.organisation, [])
        bisect.insort(line, call, key=find_age)
        self.count += 1

    def remove(self, call: WaitingCall) -> None:
        """Remove a call that is contained."""
        lines = self._lines[call.priority]
        line = lines[call.organisation]
        line.pop(bisect.bisect_left(line, find_age(call), key=find_age))
        self.count -= 1
        if line:
            return
        lines.pop(call.organisation)
        if not lines:
            self._lines.pop(call.priority)

    def list_priorities(self) -> list[int]:
        """Return the priorities of the calls, the highest one first."""
        return sorted(self._lines)

    def select_lines(self, priority: int) -> Mapping[int, list[WaitingCall]]:
        """Return the calls of a priority by organisation, oldest first."""
        return self._lines[priority]


EMPTY_QUEUE = ServiceQueue()
