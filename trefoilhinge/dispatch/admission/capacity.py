"""View of the free capacity of a service, as known at one instance."""

import math
from collections.abc import Iterable

from attrs import define, field, frozen

from trefoilhinge.dispatch.documents import EngineProfile
from trefoilhinge.dispatch.loads import TargetLoad
from trefoilhinge.dispatch.placement_requests import USABLE_MEMORY_SHARE
from trefoilhinge.dispatch.targets import TargetRecord

# Seconds from the end of a run until the next call reaches its target: the
# announcement, the decision and a connection. Calls that a target is expected
# to start within this time are sent ahead, so that its slots do not idle.
HANDOVER_S = 0.01
RATE_HALF_LIFE_S = 5.0
MINIMUM_RATE_SAMPLES = 8.0
# Runs that were sent together end together, which is no rate.
MINIMUM_RATE_AGE_S = 1.0
# A target that refused a call as full gets none for this long, unless one of
# its runs ends before.
FULL_S = 0.1


@frozen
class TargetRoom:
    """Free capacity of one target.

    :ivar slots: further calls that it may be sent; negative if it has more
        than it can run.
    :ivar memory_tokens: free KV memory; infinite for a plain target.
    :ivar total_tokens: KV memory that placements may fill.
    :ivar idle_s: monotonic seconds at which its pending prefills are done.
    :ivar updated_s: monotonic seconds of the last change that is known of its
        load.
    """

    target: str
    slots: int
    memory_tokens: float
    total_tokens: float
    idle_s: float
    updated_s: float


@define
class ReleaseRate:
    """Rate at which the runs of a service end, over all instances.

    Recent ends count more: half of the weight is of the last
    ``RATE_HALF_LIFE_S``.
    """

    _began_s: float
    _updated_s: float
    _ends: float = 0

    def record(self, now_s: float) -> None:
        """Record the end of a run."""
        self._advance(now_s)
        self._ends += 1

    def estimate_per_s(self, now_s: float) -> float | None:
        """Return ends per second; none if too few are known."""
        self._advance(now_s)
        if self._ends < MINIMUM_RATE_SAMPLES:
            return None
        age_s = max(MINIMUM_RATE_AGE_S, now_s - self._began_s)
        span = 1 - 2 ** (-age_s / RATE_HALF_LIFE_S)
        mean_s = RATE_HALF_LIFE_S / math.log(2) * span
        return self._ends / mean_s

    def _advance(self, now_s: float) -> None:
        elapsed_s = max(0, now_s - self._updated_s)
        self._ends *= 2 ** (-elapsed_s / RATE_HALF_LIFE_S)
        self._updated_s = max(now_s, self._updated_s)


@define
class CapacityTable:
    """What is learned of the capacity of services and targets."""

    _rates: dict[str, ReleaseRate] = field(factory=dict)
    _full_until_s: dict[str, float] = field(factory=dict)

    def record_end(
        self, service: str, targets: Iterable[str], now_s: float
    ) -> None:
        """Record that a run ended at its targets."""
        if service not in self._rates:
            self._rates[service] = ReleaseRate(now_s, now_s)
        self._rates[service].record(now_s)
        for target in targets:
            self._full_until_s.pop(target, None)

    def record_full(self, target: str, now_s: float) -> None:
        """Record that a target refused a call as full."""
        for name, until_s in tuple(self._full_until_s.items()):
            if until_s <= now_s:
                self._full_until_s.pop(name)
        self._full_until_s[target] = now_s + FULL_S

    def list_full(self, now_s: float) -> set[str]:
        """Return the targets that refused a call as full just now."""
        return {
            target
            for target, until_s in self._full_until_s.items()
            if until_s > now_s
        }

    def estimate_release_per_s(
        self, service: str, now_s: float
    ) -> float | None:
        """Return ended runs per second of a service; none if unknown."""
        rate = self._rates.get(service)
        return None if rate is None else rate.estimate_per_s(now_s)


def make_room(
    record: TargetRecord,
    load: TargetLoad,
    engine: EngineProfile | None,
    ahead: int,
) -> TargetRoom:
    """Return the free capacity of a target.

    :param engine: profile of an engine; none for a plain target.
    :param ahead: calls that may be sent before a slot is free.
    """
    slots = record.slots if engine is None else engine.slots
    usable = float('inf')
    if engine is not None:
        usable = int(engine.memory_tokens * USABLE_MEMORY_SHARE)
    updated_s = load.prefills.updated_s
    return TargetRoom(
        record.name,
        max(1, slots) + ahead - load.running,
        usable - load.memory_tokens,
        usable,
        updated_s + load.estimate_backlog_s(updated_s),
        updated_s,
    )


def count_ahead(release_per_s: float | None, targets: int) -> int:
    """Return the calls that each target may be sent before a slot is free.

    :param release_per_s: ended runs per second, over all targets.
    """
    if release_per_s is None:
        return 0
    return int(release_per_s * HANDOVER_S / max(1, targets))
