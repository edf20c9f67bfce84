"""Directory of targets, from the platform's store and other instances."""

from attrs import define, field, frozen

# Entries that expired while the store was unreachable are registered again
# within this time after its return.
REREGISTRATION_GRACE_S = 2.0


@frozen
class TargetRecord:
    """One incarnation of a target.

    :ivar slots: number of calls that it runs concurrently.
    :ivar is_leaving: whether it accepts no new calls.
    :ivar started_ms: wall-clock milliseconds of its start; a restart has a
        later one.
    :ivar sequence: number that grows with each report of the target.
    :ivar revision: revision of the record in the store.
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
    """Targets that may receive calls.

    An incarnation of a target that was seen leaving stays departed. So does
    one whose entry was removed, unless the store was unreachable: then the
    target has a grace period after the store's return to register again.

    :ivar records: latest records, by target name.
    :ivar departed: revisions at which incarnations departed, by target name
        and start.
    :ivar missing: targets whose entries expired while the store was
        unreachable, and the monotonic seconds since which they are missing.
    :ivar revision: latest revision of the store that was read; it is larger
        after the store was restored from a copy.
    :ivar unreachable_since_s: monotonic seconds since which the store does
        not answer; none while it does.
    :ivar reachable_since_s: monotonic seconds of the store's last return.
    """

    records: dict[str, TargetRecord] = field(factory=dict)
    departed: dict[tuple[str, int], int] = field(factory=dict)
    missing: dict[str, float] = field(factory=dict)
    revision: int = 0
    unreachable_since_s: float | None = None
    reachable_since_s: float = float('-inf')

    def mark_store_unreachable(self, now_s: float) -> None:
        """Record that the store does not answer."""
        if self.unreachable_since_s is None:
            self.unreachable_since_s = now_s

    def mark_store_reachable(self, now_s: float) -> None:
        """Record that the store answered."""
        if self.unreachable_since_s is not None:
            self.unreachable_since_s = None
            self.reachable_since_s = now_s

    def mark_store_restored(self, now_s: float) -> None:
        """Record that the store lost entries that are registered again."""
        self.unreachable_since_s = None
        self.reachable_since_s = now_s

    @property
    def is_cut_off(self) -> bool:
        """Return whether the store does not answer, or never did."""
        return self.unreachable_since_s is not None or not self.revision

    def count_unreachable_s(self, now_s: float) -> float:
        """Return for how many seconds the store has not answered."""
        if self.unreachable_since_s is None:
            return 0
        return now_s - self.unreachable_since_s

    def apply_record(self, record: TargetRecord) -> bool:
        """Apply a record unless it is outdated.

        :return: whether the target is newly departed.
        """
        known = self.records.get(record.name)
        if known is not None and _is_older(record, known):
            return False
        self.records[record.name] = record
        self.missing.pop(record.name, None)
        return record.is_leaving and self.mark_departed(record)

    def mark_departed(self, record: TargetRecord) -> bool:
        """Mark an incarnation as departed; return whether it was not yet."""
        return self.mark_incarnation_departed(
            record.name, record.started_ms, record.revision
        )

    def mark_incarnation_departed(
        self, name: str, started_ms: int, revision: int
    ) -> bool:
        """Mark an incarnation as departed, also one without a record.

        :return: whether it was not departed yet.
        """
        incarnation = (name, started_ms)
        is_new = incarnation not in self.departed
        self.departed[incarnation] = revision
        return is_new

    def list_departed(self) -> list[TargetRecord]:
        """Return the records of departed incarnations."""
        return [
            record
            for record in self.records.values()
            if (record.name, record.started_ms) in self.departed
        ]

    def mark_removed(self, name: str, now_s: float) -> TargetRecord | None:
        """Record that a target's entry was removed from the store.

        :return: the record if the target is newly departed, else none.
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
        """Remove targets that did not register again after the store's return.

        :return: the removed records.
        """
        if self.unreachable_since_s is not None:
            return []
        removed = []
        for name, since_s in tuple(self.missing.items()):
            if (
                now_s - max(since_s, self.reachable_since_s)
                > REREGISTRATION_GRACE_S
            ):
                self.missing.pop(name)
                record = self.records.pop(name, None)
                if record is not None:
                    self.mark_departed(record)
                    removed.append(record)
        return removed

    def list_serving(self, service: str) -> list[TargetRecord]:
        """Return the targets of a service that may receive calls, by name.

        If two records have the same address, the later incarnation is used.
        """
        by_address: dict[str, TargetRecord] = {}
        for record in self.records.values():
            if (record.name, record.started_ms) in self.departed:
                continue
            other = by_address.get(record.address)
            if other is None or other.started_ms < record.started_ms:
                by_address[record.address] = record
        return sorted(
            (
                found
                for found in by_address.values()
                if found.service == service
            ),
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
