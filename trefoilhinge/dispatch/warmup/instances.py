"""Instances that share the requests of cold targets."""

from attrs import define, field

# A silent instance may serve on behind a partition, with its own share.
MEMORY_S = 600.0


@define
class KnownInstances:
    """Other instances, silent ones included, by when they were last heard."""

    _heard_s: dict[str, float] = field(factory=dict)

    def record(self, ip: str, now_s: float) -> None:
        """Record that an instance was heard, or named by another one."""
        self._heard_s[ip] = now_s

    def remove(self, ip: str) -> None:
        """Remove an instance that has ended."""
        self._heard_s.pop(ip, None)

    def list_known(self, now_s: float) -> frozenset[str]:
        """Return the IP addresses of instances that may run."""
        for ip, heard_s in tuple(self._heard_s.items()):
            if now_s - heard_s > MEMORY_S:
                self._heard_s.pop(ip)
        return frozenset(self._heard_s)
