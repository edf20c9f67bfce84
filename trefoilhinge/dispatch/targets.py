"""Targets as the platform's store and the other instances report them."""

from attrs import define, field, frozen

REREGISTRATION_GRACE_S = (
    2.0  # entries that lapsed with the store are back by then
)


@frozen
class TargetRecord:
    """One life of a target.

    :ivar born_ms: wall clock of its start; a restart has a later one.
    :ivar sequence: number that grows with what the target reports.
    :ivar revision: the store's revision of the record.
    """

    name: str
    service: str
    address: str
    failure_domain: str
    slots: int
    is_leaving: bool
    started_ms: int
    sequence: int
    revision: int


@define
class TargetDirectory:
    """Which targets may get work.

    A target that was once seen leaving stays left for that life. One whose
    entry is gone is left too, unless the store itself was away: then the
    entry has until shortly after its return to come back.

    :ivar away_since_s: monotonic seconds since which the store does not
        answer; none while it does.
    """

    records: dict[str, TargetRecord] = field(factory=dict)
    departed: dict[tuple[str, int], int] = field(factory=dict)
    missing: dict[str, float] = field(factory=dict)
    revision: int = 0
    unreachable_since_s: float | None = None
    reachable_since_s: float = float('-inf')

    def mark_store_unreachable(self, now_s: float) -> None:
        """Take that the store does not answer."""
        if self.unreachable_since_s is None:
            self.unreachable_since_s = now_s

    def mark_store_reachable(self, now_s: float) -> None:
        """Take that the store answered."""
        if self.unreachable_since_s is not None:
            self.unreachable_since_s = None
            self.reachable_since_s = now_s

    def apply_record(self, record: TargetRecord) -> bool:
        """Take a record; return whether the target newly leaves."""
        known = self.records.get(record.name)
        if known is not None and _is_older(record, known):
            return False
        self.records[record.name] = record
        self.missing.pop(record.name, None)
        return record.is_leaving and self.mark_departed(record)

    def mark_departed(self, record: TargetRecord) -> bool:
        """Take that a life of a target ends; return whether it is news."""
        life = (record.name, record.started_ms)
        is_news = life not in self.departed
        self.departed[life] = record.revision
        return is_news

    def mark_removed(self, name: str, now_s: float) -> TargetRecord | None:
        """Take that an entry is no longer there.

        :return: the record, if the target is left at once.
        """
        known = self.records.get(name)
        if known is None:
            return None
        if self._was_store_unreachable(now_s) and not known.is_leaving:
            self.missing.setdefault(name, max(now_s, self.reachable_since_s))
            return None
        self.records.pop(name)
        self.missing.pop(name, None)
        return known if self.mark_departed(known) else None

    def expire_missing(self, now_s: float) -> list[TargetRecord]:
        """Drop entries that did not come back after the store did."""
        if self.unreachable_since_s is not None:
            return []
        gone = []
        for name, since_s in tuple(self.missing.items()):
            if (
                now_s - max(since_s, self.reachable_since_s)
                > REREGISTRATION_GRACE_S
            ):
                self.missing.pop(name)
                record = self.records.pop(name, None)
                if record is not None:
                    self.mark_departed(record)
                    gone.append(record)
        return gone

    def list_serving(self, service: str) -> list[TargetRecord]:
        """Return the targets of a service that may get work, by name.

        Of two records with one address the later life holds.
        """
        by_address: dict[str, TargetRecord] = {}
        for record in self.records.values():
            if (record.name, record.started_ms) in self.departed:
                continue
            other = by_address.get(record.address)
            if other is None or other.started_ms < record.started_ms:
                by_address[record.address] = record
        return sorted(
            (rec for rec in by_address.values() if rec.service == service),
            key=lambda record: record.name,
        )

    def _was_store_unreachable(self, now_s: float) -> bool:
        if self.unreachable_since_s is not None:
            return True
        return now_s - self.reachable_since_s <= REREGISTRATION_GRACE_S


def _is_older(record: TargetRecord, known: TargetRecord) -> bool:
    if record.started_ms != known.started_ms:
        return record.started_ms < known.started_ms
    return record.revision < known.revision
