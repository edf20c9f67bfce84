"""Discrete-event scheduler on simulated time."""

import heapq
import itertools
from collections.abc import Callable, Iterator

from attrs import define, field

from trefoilhinge.core.clocks import Instant

Action = Callable[[], object]
# Due time, sequence number and action. Plain tuples compare fastest; the
# sequence number breaks ties, so that actions are never compared.
_Entry = tuple[float, int, Action]
# Unix time at the start of the simulation, in seconds.
START_WALL_S = 1_800_000_000.0


@define
class Simulation:
    """Runs actions in the order of their due times.

    :ivar now_s: time since the start of the simulation, in seconds.
    """

    now_s: float = 0
    _queue: list[_Entry] = field(factory=list)
    _sequence: Iterator[int] = field(factory=itertools.count)

    def schedule(self, delay_s: float, action: Action) -> None:
        """Schedule an action after a delay in seconds."""
        entry = (self.now_s + delay_s, next(self._sequence), action)
        heapq.heappush(self._queue, entry)

    def run_until(self, until_s: float) -> None:
        """Run every action due by a time and advance the clock to it."""
        while self._queue and self._queue[0][0] <= until_s:
            due_s, _, action = heapq.heappop(self._queue)
            self.now_s = due_s
            action()
        self.now_s = max(self.now_s, until_s)

    def read(self) -> Instant:
        """Return the current instant."""
        return Instant(self.now_s, START_WALL_S + self.now_s)
