"""Directory of targets, from the platform's store and other instances."""

from attrs import define, field, frozen, validators

from trefoilhinge.dispatch.outages import StoreOutages

# Numbers of records are sent in datagrams as signed integers of 64 bits.
_is_number = validators.and_(
    validators.instance_of(int), validators.ge(0), validators.lt(2**63)
)
# Names are sent in headers.
_is_name = validators.and_(
    validators.instance_of(str), validators.matches_re('[!-~]+')
)


@frozen
class TargetRecord:
    """One incarnation of a target.

    The constructor raises ``TypeError`` or ``ValueError`` for what names no
    target.

    :ivar name: visible ASCII characters.
    :ivar slots: number of calls that it runs concurrently.
    :ivar is_leaving: whether it accepts no new calls.
    :ivar started_ms: wall-clock milliseconds of its start; a restart has a
        later one.
    :ivar sequence: number that grows with each report of the target.
    :ivar revision: revision of the record in the store.
    """

    name: str = field(validator=_is_name)
    service: str = field(validator=validators.instance_of(str))
    address: str = field(validator=validators.instance_of(str))
    failure_domain: str = field(validator=validators.instance_of(str))
    slots: int = field(validator=validators.and_(_is_number, validators.ge(1)))
    is_leaving: bool = field(validator=validators.instance_of(bool))
    started_ms: int = field(validator=_is_number)
    sequence: int = field(validator=_is_number)
    revision: int = field(validator=_is_number)


@define
class TargetDirectory:
    """Targets that may receive calls.

    An incarnation of a target that was seen leaving stays departed. So does
    one whose entry was removed, unless it may have expired in an outage of the
    store: then the target has a grace period to register again.

    :ivar records: latest records, by target name.
    :ivar departed: revisions at which incarnations departed, by target name
        and start.
    :ivar missing: targets whose entries may have expired in an outage, and
        the ends of their grace periods, in reachable seconds of the store.
    :ivar revision: latest revision of the store that was read; it is larger
        after the store was restored from a copy.
    :ivar outages: outages of the store as this instance sees them.
    """

    records: dict[str, TargetRecord] = field(factory=dict)
    departed: dict[tuple[str, int], int] = field(factory=dict)
    missing: dict[str, float] = field(factory=dict)
    revision: int = 0
    outages: StoreOutages = field(factory=StoreOutages)

    @property
    def is_cut_off(self) -> bool:
        """Return whether the store does not answer, or never did."""
        return self.outages.unreachable_since_s is not None or not self.revision

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
        if name in self.missing:
            return None
        grace_end = self.outages.find_grace_end(now_s)
        if grace_end is not None and not known.is_leaving:
            self.missing[name] = grace_end
            return None
        self.records.pop(name)
        return known if self.mark_departed(known) else None

    def expire_missing(self, now_s: float) -> list[TargetRecord]:
        """Remove targets that did not register again after the store's return.

        :return: the removed records.
        """
        reachable_s = self.outages.count_reachable_s(now_s)
        removed = []
        for name, grace_end in tuple(self.missing.items()):
            if reachable_s > grace_end:
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


def _is_older(record: TargetRecord, known: TargetRecord) -> bool:
    if record.started_ms != known.started_ms:
        return record.started_ms < known.started_ms
    return record.revision < known.revision
