"""Reachability of each service's targets from this instance."""

import functools
from collections import Counter
from collections.abc import Collection, Sequence

from attrs import define, field

from trefoilhinge.dispatch.targets import TargetRecord

# Since the last connection that a target accepted; targets of an unreachable
# service are probed more often.
PARTLY_REACHABLE_S = 1.0


@define
class ReachTable:
    """Which services this instance reaches.

    A service is unreachable if none of several targets accepted a connection,
    and until half of them do.
    """

    _reached_s: dict[str, float] = field(factory=dict)
    _unreachable_since_s: dict[str, float] = field(factory=dict)
    _probed_s: dict[tuple[str, int], float] = field(factory=dict)

    def record_reached(self, service: str, now_s: float) -> None:
        """Record that a target of a service accepted a connection."""
        self._reached_s[service] = now_s

    def mark_reachable(self, service: str, now_s: float) -> float | None:
        """Record that enough targets accept connections again.

        :return: seconds for which the service was unreachable, ``None`` if it
            was not.
        """
        since_s = self._unreachable_since_s.pop(service, None)
        return None if since_s is None else now_s - since_s

    def mark_unreachable(self, service: str, now_s: float) -> bool:
        """Record that no target was reached; return whether that is new."""
        is_new = service not in self._unreachable_since_s
        self._unreachable_since_s.setdefault(service, now_s)
        return is_new

    def is_unreachable(self, service: str) -> bool:
        """Return whether no target of a service can be reached."""
        return service in self._unreachable_since_s

    def is_partly_reachable(self, service: str, now_s: float) -> bool:
        """Return whether a target of an unreachable service was reached."""
        reached_s = self._reached_s.get(service, float('-inf'))
        since_s = self._unreachable_since_s.get(service, now_s)
        return reached_s >= max(since_s, now_s - PARTLY_REACHABLE_S)

    def list_unreachable(self) -> tuple[str, ...]:
        """Return the services of which no target can be reached."""
        return tuple(sorted(self._unreachable_since_s))

    def compute_unreachable_s(self, service: str, now_s: float) -> float:
        """Return for how long a service has been unreachable, in seconds."""
        return now_s - self._unreachable_since_s.get(service, now_s)

    def compute_reached_age_s(self, service: str, now_s: float) -> float | None:
        """Return seconds since a target was reached, ``None`` if never."""
        reached_s = self._reached_s.get(service)
        return None if reached_s is None else now_s - reached_s

    def choose_probes(
        self,
        records: Sequence[TargetRecord],
        avoided: Collection[str],
        count: int,
        now_s: float,
    ) -> list[TargetRecord]:
        """Choose targets to probe: of several failure domains, and in turn.

        Incarnations that were never probed come first.

        :param avoided: targets that are chosen only if there are not enough
            others.
        """
        chosen: list[TargetRecord] = []
        domains: Counter[str] = Counter()
        remaining = list(records)

        while remaining and len(chosen) < count:
            record = min(
                remaining,
                key=functools.partial(self._rank_probe, avoided, domains),
            )
            remaining.remove(record)
            domains[record.failure_domain] += 1
            chosen.append(record)
        for record in chosen:
            self._probed_s[record.name, record.started_ms] = now_s
        return chosen

    def _rank_probe(
        self,
        avoided: Collection[str],
        domains: Counter[str],
        record: TargetRecord,
    ) -> tuple[bool, int, float, str]:
        incarnation = (record.name, record.started_ms)
        return (
            record.name in avoided,
            domains[record.failure_domain],
            self._probed_s.get(incarnation, float('-inf')),
            record.name,
        )

    def forget_departed(
        self, departed: Collection[tuple[str, int]], services: Collection[str]
    ) -> None:
        """Forget departed targets, and services that no longer exist."""
        for incarnation in tuple(self._probed_s):
            if incarnation in departed:
                self._probed_s.pop(incarnation)
        for service in tuple(self._unreachable_since_s):
            if service not in services:
                self._unreachable_since_s.pop(service)
