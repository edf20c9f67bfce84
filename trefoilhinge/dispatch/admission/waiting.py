"""Calls that wait for capacity, at all instances."""

from collections.abc import Iterable

from attrs import define, field

from trefoilhinge.dispatch.admission.queues import EMPTY_QUEUE, ServiceQueue
from trefoilhinge.dispatch.admission.waiting_calls import (
    WaitingCall,
    WaitingKey,
)

# The waiting calls of an instance that has failed are forgotten after this
# time. An announcement is repeated first after up to 1.5 s, then each second,
# and one of these may be lost.
WAITING_EXPIRY_S = 3.5
# Bounds the memory of the table, at about 600 bytes a call.
MAXIMUM_WAITING = 4_096
MAXIMUM_WAITING_PER_ORIGIN = 256
# A stamp that is later by more is taken for an error and not adopted. Calls
# that an instance did not hear of are no more.
MAXIMUM_STAMP_STEP = 10_000_000
USAGE_HALF_LIFE_S = 10.0
MAXIMUM_ORGANISATIONS = 1_024


@define
class UsageTable:
    """Work that organisations were given lately, half of it each 10 s."""

    _used: dict[int, tuple[float, float]] = field(factory=dict)

    def get(self, organisation: int, now_s: float) -> float:
        """Return the decayed work of an organisation."""
        used, at_s = self._used.get(organisation, (0, now_s))
        return float(used * 2 ** (-max(0, now_s - at_s) / USAGE_HALF_LIFE_S))

    def add(self, organisation: int, weight: float, now_s: float) -> None:
        """Count work that an organisation was given."""
        used = self.get(organisation, now_s) + weight
        self._used.pop(organisation, None)
        self._used[organisation] = (used, now_s)
        if len(self._used) > MAXIMUM_ORGANISATIONS:
            self._used.pop(next(iter(self._used)))


@define
class WaitingTable:
    """The waiting calls of all instances, as known at one of them."""

    usage: UsageTable = field(factory=UsageTable)
    _latest_stamp: int = 0
    _calls: dict[WaitingKey, tuple[WaitingCall, float]] = field(factory=dict)
    _counts: dict[str, int] = field(factory=dict)
    _queues: dict[str, ServiceQueue] = field(factory=dict)

    def make_stamp(self) -> int:
        """Return the logical time of a call that begins to wait."""
        return self._latest_stamp + 1

    def add(self, call: WaitingCall, now_s: float) -> bool:
        """Add a call, or record that it still waits.

        The first announcement of a call is kept: its age is not to change by
        the time that later ones are on the way.

        :return: whether there was room for it in the table.
        """
        if call.stamp <= self._latest_stamp + MAXIMUM_STAMP_STEP:
            self._latest_stamp = max(self._latest_stamp, call.stamp)
        known = self._calls.get(call.key)
        if known is not None:
            self._calls[call.key] = (known[0], now_s)
            return True
        count = self._counts.get(call.origin, 0)
        if (
            count >= MAXIMUM_WAITING_PER_ORIGIN
            or len(self._calls) >= MAXIMUM_WAITING
        ):
            return False
        self._calls[call.key] = (call, now_s)
        self._counts[call.origin] = count + 1
        self._queues.setdefault(call.service, ServiceQueue()).add(call)
        return True

    def get(self, key: WaitingKey) -> WaitingCall | None:
        """Return a waiting call, if it is known."""
        known = self._calls.get(key)
        return known[0] if known else None

    def remove(self, key: WaitingKey) -> WaitingCall | None:
        """Remove a call that no longer waits; return it if it was known."""
        known = self._calls.pop(key, None)
        if known is None:
            return None
        count = self._counts[key[0]] - 1
        if count:
            self._counts[key[0]] = count
        else:
            self._counts.pop(key[0])
        queue = self._queues[known[0].service]
        queue.remove(known[0])
        if not queue.count:
            self._queues.pop(known[0].service)
        return known[0]

    def record_start(self, key: WaitingKey, now_s: float) -> WaitingCall | None:
        """Record that a waiting call was placed; return it if it was known."""
        call = self.remove(key)
        if call is not None:
            self.usage.add(call.organisation, call.weight, now_s)
        return call

    def remove_origin(self, origin: str) -> int:
        """Remove the calls of an instance that has ended; return how many."""
        return self._remove_all(key for key in self._calls if key[0] == origin)

    def remove_expired(self, now_s: float) -> int:
        """Remove calls of which nothing was heard; return how many."""
        return self._remove_all(
            key
            for key, (_, heard_s) in self._calls.items()
            if now_s - heard_s > WAITING_EXPIRY_S
        )

    def get_queue(self, service: str) -> ServiceQueue:
        """Return the calls that wait for a service; it is not to be changed."""
        return self._queues.get(service, EMPTY_QUEUE)

    def list_by_origin(self, origin: str) -> list[WaitingCall]:
        """Return the waiting calls of one instance."""
        return [
            call for call, _ in self._calls.values() if call.origin == origin
        ]

    def count(self) -> int:
        """Return the number of waiting calls that are known."""
        return len(self._calls)

    def _remove_all(self, keys: Iterable[WaitingKey]) -> int:
        removed = list(keys)
        for key in removed:
            self.remove(key)
        return len(removed)
