"""Traits of requests that are kept from all targets, and probes of them."""

from collections.abc import Iterable

from attrs import define, field

# A probe is a call with a quarantined trait that is sent to a target after
# all, so that a trait that was suspected wrongly is freed. All instances
# together send at most this many; each may cost a target.
MAXIMUM_PROBES = 2
# Delay of each probe, after the quarantine began or the one before. The first
# leaves time for calls that are under way to clear the trait.
PROBE_DELAYS_S = (1.0, 15.0)
# A trait is forgotten if no call had it for this long.
QUARANTINE_EXPIRY_S = 600.0
MAXIMUM_QUARANTINED = 256
# Interval at which a quarantine is announced again while calls are refused,
# as an earlier announcement may be lost.
ANNOUNCEMENT_INTERVAL_S = 1.0


@define
class QuarantinedTrait:
    """A trait that is kept from all targets.

    :ivar crashes: targets that crashed under calls with the trait.
    :ivar crashed_s: monotonic seconds of the latest crash.
    :ivar seen_s: monotonic seconds at which a call had the trait, or another
        instance said so.
    :ivar probes: probes that were granted, by any instance.
    :ivar next_probe_s: monotonic seconds from which another may be granted.
    :ivar announced_s: monotonic seconds of the latest announcement.
    """

    trait: str
    crashes: int
    crashed_s: float
    seen_s: float
    probes: int
    next_probe_s: float
    announced_s: float = float('-inf')

    def may_probe(self, now_s: float) -> bool:
        """Return whether a probe may be granted."""
        return self.probes < MAXIMUM_PROBES and now_s >= self.next_probe_s

    def estimate_wait_s(self, now_s: float) -> float | None:
        """Return seconds until the next probe; none if there will be none."""
        if self.probes >= MAXIMUM_PROBES:
            return None
        return max(0, self.next_probe_s - now_s)

    def record_probes(self, probes: int, now_s: float) -> None:
        """Record how many probes were granted."""
        if probes <= self.probes:
            return
        self.probes = probes
        if probes < MAXIMUM_PROBES:
            self.next_probe_s = now_s + PROBE_DELAYS_S[probes]


@define
class QuarantineTable:
    """All quarantined traits, as this instance knows them."""

    _entries: dict[str, QuarantinedTrait] = field(factory=dict)

    @property
    def is_empty(self) -> bool:
        """Return whether no trait is quarantined."""
        return not self._entries

    def get(self, trait: str) -> QuarantinedTrait | None:
        """Return the entry of a trait, if it is quarantined."""
        return self._entries.get(trait)

    def find(self, traits: Iterable[str]) -> list[QuarantinedTrait]:
        """Return the entries of those traits that are quarantined."""
        return [
            self._entries[trait] for trait in traits if trait in self._entries
        ]

    def count(self) -> int:
        """Return the number of quarantined traits."""
        return len(self._entries)

    def list_all(self) -> list[QuarantinedTrait]:
        """Return all entries, by trait."""
        return sorted(self._entries.values(), key=lambda entry: entry.trait)

    def record(
        self,
        trait: str,
        crashes: int,
        crashed_s: float,
        now_s: float,
        probes: int = 0,
    ) -> bool:
        """Quarantine a trait, or update its entry.

        :return: whether the quarantine is new here.
        """
        entry = self._entries.get(trait)
        is_new = entry is None
        if entry is None:
            self._make_room()
            entry = QuarantinedTrait(
                trait, crashes, crashed_s, now_s, 0, now_s + PROBE_DELAYS_S[0]
            )
            self._entries[trait] = entry
        entry.crashes = max(entry.crashes, crashes)
        entry.crashed_s = max(entry.crashed_s, crashed_s)
        entry.seen_s = now_s
        entry.record_probes(probes, now_s)
        return is_new

    def grant_probe(self, trait: str, now_s: float) -> bool:
        """Grant a probe if one is due."""
        entry = self._entries.get(trait)
        if entry is None or not entry.may_probe(now_s):
            return False
        entry.record_probes(entry.probes + 1, now_s)
        return True

    def free(self, trait: str, cleared_s: float) -> QuarantinedTrait | None:
        """Free a trait unless targets crashed after it was cleared.

        :return: the entry, if there was one that is freed.
        """
        entry = self._entries.get(trait)
        if entry is None or entry.crashed_s > cleared_s:
            return None
        return self._entries.pop(trait)

    def expire(self, now_s: float) -> list[QuarantinedTrait]:
        """Remove traits that no call had for long; return their entries."""
        expired = [
            entry
            for entry in self._entries.values()
            if now_s - entry.seen_s > QUARANTINE_EXPIRY_S
        ]
        for entry in expired:
            self._entries.pop(entry.trait)
        return expired

    def _make_room(self) -> None:
        if len(self._entries) >= MAXIMUM_QUARANTINED:
            oldest = min(self._entries.values(), key=lambda entry: entry.seen_s)
            self._entries.pop(oldest.trait)
