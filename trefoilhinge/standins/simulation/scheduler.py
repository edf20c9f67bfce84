"""Simulated time: a heap of actions."""

import heapq
import itertools
from collections.abc import Callable, Iterator

from attrs import define, field

from trefoilhinge.core.clocks import Instant

Action = Callable[[], object]
# Time, number and action: a plain tuple compares fastest, and the number
# decides before an action would be compared.
_Entry = tuple[float, int, Action]
START_WALL_S = 1_800_000_000.0


@define
class Simulation:
    """Runs actions in the order of their time.

    :ivar now_s: seconds since the start of the simulation.
    """

    now_s: float = 0
    _queue: list[_Entry] = field(factory=list)
    _sequence: Iterator[int] = field(factory=itertools.count)

    def schedule(self, delay_s: float, action: Action) -> None:
        """Run an action after a delay."""
        entry = (self.now_s + delay_s, next(self._sequence), action)
        heapq.heappush(self._queue, entry)

    def run_until(self, until_s: float) -> None:
        """Run every action that is due by a time."""
        while self._queue and self._queue[0][0] <= until_s:
            due_s, _, action = heapq.heappop(self._queue)
            self.now_s = due_s
            action()
        self.now_s = max(self.now_s, until_s)

    def read(self) -> Instant:
        """Return the present instant."""
        return Instant(self.now_s, START_WALL_S + self.now_s)
