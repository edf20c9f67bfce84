"""Reachability of each service's targets from this instance."""

from attrs import define, field


@define
class ReachTable:
    """When this instance last reached a target of each service."""

    _reached_s: dict[str, float] = field(factory=dict)

    def record_reached(self, service: str, now_s: float) -> None:
        """Record that a target of a service accepted a connection."""
        self._reached_s[service] = now_s

    def compute_reached_age_s(self, service: str, now_s: float) -> float | None:
        """Return seconds since a target was reached, ``None`` if never."""
        reached_s = self._reached_s.get(service)
        return None if reached_s is None else now_s - reached_s
