"""Calls that an instance may place before the others know of them."""

import collections
import math

from attrs import define, field

# Until the announcement of a call has arrived, others may not know that it is
# ahead of theirs.
ANNOUNCEMENT_S = 0.005
# Free slots for each call that is expected within that time. Calls come in
# bursts of several times their mean rate.
AMPLE_ROOM_FACTOR = 4


@define
class BurstTable:
    """Calls that this instance placed in the time of an announcement.

    Within this time it takes no more than its part of the free slots.
    Otherwise a burst of calls at all instances would fill the same slots many
    times over. Where the free slots are many times the calls that the whole
    service gets meanwhile, a call need not wait.
    """

    _taken: dict[str, collections.deque[float]] = field(factory=dict)

    def record(self, service: str, now_s: float) -> None:
        """Record a call that is placed before the others know of it."""
        self._find_taken(service, now_s).append(now_s)

    def count_part(self, service: str, instances: int, now_s: float) -> float:
        """Return the free calls of which another one is this instance's part.

        A free call is room for one call like the one that is to be placed.
        """
        taken = len(self._find_taken(service, now_s))
        # Its own calls of this time are not among the free ones any more.
        return (taken + 1) * instances - taken

    def count_ample(
        self, service: str, release_per_s: float | None, now_s: float
    ) -> float:
        """Return the free calls that suffice for calls not heard of yet.

        :param release_per_s: ended runs per second; none if too few are known.
        """
        if release_per_s is None:
            return math.inf
        own = len(self._find_taken(service, now_s)) + 1
        expected = own + release_per_s * 2 * ANNOUNCEMENT_S
        return expected * AMPLE_ROOM_FACTOR

    def _find_taken(
        self, service: str, now_s: float
    ) -> collections.deque[float]:
        taken = self._taken.setdefault(service, collections.deque())
        while taken and now_s - taken[0] > 2 * ANNOUNCEMENT_S:
            taken.popleft()
        return taken
