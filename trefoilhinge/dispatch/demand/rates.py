"""Arrival rate and prefill work of the short calls of each service."""

import math

from attrs import define, field, frozen

from trefoilhinge.dispatch.loads import Run
from trefoilhinge.dispatch.placement import MINIMUM_GROUP_TOKENS

# A burst is seen within half a second, its end within two seconds.
RISE_HALF_LIFE_S = 0.2
FALL_HALF_LIFE_S = 1.5
MAXIMUM_SERVICES = 64  # bounds the memory; a document has a few services


@frozen
class ShortDemand:
    """Short calls of one service, from all instances together.

    :ivar calls_per_s: rate of their starts.
    :ivar prefill_share: seconds of prefill, by the published profile, that
        they bring per second.
    """

    calls_per_s: float = 0
    prefill_share: float = 0


@define
class _DecayedRate:
    """Two sums of the same events that lose weight at different speeds."""

    rise: float = 0
    fall: float = 0

    def decay(self, elapsed_s: float) -> None:
        self.rise *= math.exp2(-elapsed_s / RISE_HALF_LIFE_S)
        self.fall *= math.exp2(-elapsed_s / FALL_HALF_LIFE_S)

    def add(self, amount: float) -> None:
        self.rise += amount * math.log(2) / RISE_HALF_LIFE_S
        self.fall += amount * math.log(2) / FALL_HALF_LIFE_S

    def get(self) -> float:
        """Return the rate by which either sum is larger, per second."""
        return max(self.rise, self.fall)


@define
class _ServiceDemand:
    calls: _DecayedRate = field(factory=_DecayedRate)
    prefill: _DecayedRate = field(factory=_DecayedRate)
    updated_s: float = float('-inf')

    def advance(self, now_s: float) -> None:
        elapsed_s = max(0, now_s - self.updated_s)
        self.calls.decay(elapsed_s)
        self.prefill.decay(elapsed_s)
        self.updated_s = max(self.updated_s, now_s)


@define
class DemandTable:
    """Demand of short calls, by service.

    It follows the starts of runs that instances tell each other of, so that
    all of them have about the same view.
    """

    _services: dict[str, _ServiceDemand] = field(factory=dict)

    def record_start(self, service: str, run: Run, now_s: float) -> None:
        """Record the start of a run, of this or another instance.

        Plain calls and prompts that groups may prefill are ignored.

        :param now_s: monotonic seconds.
        """
        prefill_s = sum(part.prefill_s for part in run.parts)
        if not prefill_s or run.context_tokens >= MINIMUM_GROUP_TOKENS:
            return
        demand = self._services.get(service)
        if demand is None:
            self._evict()
            demand = _ServiceDemand()
            self._services[service] = demand
        demand.advance(now_s)
        demand.calls.add(1)
        demand.prefill.add(prefill_s)

    def estimate(self, service: str, now_s: float) -> ShortDemand:
        """Return the current demand of a service.

        :param now_s: monotonic seconds.
        """
        demand = self._services.get(service)
        if demand is None:
            return ShortDemand()
        demand.advance(now_s)
        return ShortDemand(demand.calls.get(), demand.prefill.get())

    def list_services(self) -> list[str]:
        """Return the services that have had short calls."""
        return list(self._services)

    def _evict(self) -> None:
        """Remove the service without starts for the longest time, if full."""
        if len(self._services) >= MAXIMUM_SERVICES:
            oldest = min(
                self._services, key=lambda name: self._services[name].updated_s
            )
            self._services.pop(oldest)
