"""Directory of targets, from the platform's store and other instances."""

import ipaddress

from attrs import Attribute, define, field, frozen, validators

from trefoilhinge.dispatch.address_claims import AddressClaims
from trefoilhinge.dispatch.departures import (
    Departure,
    DepartureTable,
    Incarnation,
)
from trefoilhinge.dispatch.evacuations import EvacuationTable
from trefoilhinge.dispatch.outages import StoreOutages

MAXIMUM_NUMBER = 2**63 - 1  # datagrams carry signed integers of 64 bits
# Names are sent in headers.
_is_name = validators.and_(
    validators.instance_of(str), validators.matches_re('[!-~]+')
)
MAXIMUM_PORT = 65_535


def _check_number(
    record: object, attribute: 'Attribute[int]', number: object
) -> None:
    """Raise unless a number is one that datagrams can carry."""
    if isinstance(number, bool) or not isinstance(number, int):
        raise TypeError(f'the {attribute.name} is no integer: {number!r}')
    if not 0 <= number <= MAXIMUM_NUMBER:
        raise ValueError(f'the {attribute.name} is out of range: {number}')


def _check_address(
    record: object, attribute: 'Attribute[str]', address: str
) -> None:
    """Raise unless a connection can be opened to an address."""
    host, _, port = address.rpartition(':')
    is_port = port.isascii() and port.isdigit()
    if not is_port or not 0 < int(port) <= MAXIMUM_PORT:
        raise ValueError(f'the {attribute.name} has no port: {address!r}')
    ipaddress.ip_address(host)


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
    :ivar cold_s: seconds for which it stays cold, from the writing of the
        entry.
    """

    name: str = field(validator=_is_name)
    service: str = field(validator=validators.instance_of(str))
    address: str = field(
        validator=validators.and_(validators.instance_of(str), _check_address)
    )
    failure_domain: str = field(validator=validators.instance_of(str))
    slots: int = field(
        validator=validators.and_(_check_number, validators.ge(1))
    )
    is_leaving: bool = field(validator=validators.instance_of(bool))
    started_ms: int = field(validator=_check_number)
    sequence: int = field(validator=_check_number)
    revision: int = field(validator=_check_number)
    cold_s: float = 0

    @property
    def incarnation(self) -> Incarnation:
        """Return the name and the start."""
        return self.name, self.started_ms


@define
class TargetDirectory:
    """Targets that may receive calls.

    An incarnation that said that it leaves stays departed. One whose entry was
    removed departs until it is written again. If the entry may have expired in
    an outage of the store, the target has a grace period first.

    :ivar records: latest records, by target name.
    :ivar departures: incarnations that take no new calls.
    :ivar missing: targets whose entries may have expired in an outage, and
        the ends of their grace periods, in reachable seconds of the store.
    :ivar revision: latest revision of the store that was read; it is larger
        after the store was restored from a copy.
    :ivar outages: outages of the store as this instance sees them.
    :ivar evacuations: failure domains that get nothing new.
    :ivar claims: which of several records with one address is to be believed.
    """

    records: dict[str, TargetRecord] = field(factory=dict)
    departures: DepartureTable = field(factory=DepartureTable)
    missing: dict[str, float] = field(factory=dict)
    revision: int = 0
    outages: StoreOutages = field(factory=StoreOutages)
    evacuations: EvacuationTable = field(factory=EvacuationTable)
    claims: AddressClaims = field(factory=AddressClaims)

    @property
    def is_cut_off(self) -> bool:
        """Return whether the store does not answer, or never did."""
        return self.outages.unreachable_since_s is not None or not self.revision

    @property
    def departed(self) -> dict[Incarnation, Departure]:
        """Return the departures by target name and start."""
        return self.departures.departures

    def apply_record(self, record: TargetRecord) -> bool:
        """Apply a record unless it is outdated.

        :return: whether the target is newly departed.
        """
        known = self.records.get(record.name)
        if known is not None and _is_older(record, known):
            return False
        self.records[record.name] = record
        self.claims.record_entry(record)
        if known is None or record.revision > known.revision:
            self.missing.pop(record.name, None)
        if record.is_leaving:
            return self.mark_departed(record)
        self.departures.apply_entry(
            record.incarnation, record.revision, record.sequence
        )
        return False

    def mark_departed(self, record: TargetRecord) -> bool:
        """Mark an incarnation that said that it leaves.

        :return: whether it was not departed yet.
        """
        return self.departures.record(
            record.incarnation,
            Departure(is_final=True, revision=record.revision),
        )

    def mark_reported(self, incarnation: Incarnation, revision: int) -> bool:
        """Mark an incarnation that departed as another instance says.

        A record that is later than the report overrules it.

        :param revision: revision of the store that the other instance read.
        :return: whether it is newly departed.
        """
        known = self.records.get(incarnation[0])
        if (
            known is not None
            and known.incarnation == incarnation
            and self.departures.is_later(known.revision, revision)
        ):
            return False
        sequence = known.sequence if known is not None else None
        return self.departures.record(
            incarnation, Departure(False, revision, sequence)
        )

    def list_departed(self) -> list[tuple[TargetRecord, Departure]]:
        """Return the records of departed incarnations, and why they are."""
        return [
            (record, self.departed[record.incarnation])
            for record in self.records.values()
            if record.incarnation in self.departed
        ]

    def mark_removed(
        self, name: str, now_s: float, revision: int
    ) -> TargetRecord | None:
        """Record that a target's entry was removed from the store.

        A removal that is older than the record is ignored.

        :param revision: revision of the store that lacks the entry.
        :return: the record if the target is newly departed, else none.
        """
        known = self.records.get(name)
        if known is None or revision < known.revision or name in self.missing:
            return None
        grace_end = self.outages.find_grace_end(now_s)
        if grace_end is not None and not known.is_leaving:
            self.missing[name] = grace_end
            return None
        return known if self._remove(known, revision) else None

    def remove_reported(self, name: str, revision: int) -> bool:
        """Remove a target whose entry another instance saw removed.

        As a departure that it reports, it counts at once. A removal that is
        older than the record is ignored.

        :param revision: revision of the removal.
        :return: whether the target is newly departed.
        """
        known = self.records.get(name)
        if known is None or revision < known.revision:
            return False
        self.missing.pop(name, None)
        return self._remove(known, revision)

    def expire_missing(self, now_s: float) -> list[TargetRecord]:
        """Remove targets that did not register again after the store's return.

        :return: the removed records.
        """
        reachable_s = self.outages.count_reachable_s(now_s)
        removed = []
        for name, grace_end in tuple(self.missing.items()):
            if reachable_s > grace_end:
                self.missing.pop(name)
                record = self.records.get(name)
                if record is not None:
                    self._remove(record, max(record.revision, self.revision))
                    removed.append(record)
        return removed

    def list_serving(self, service: str) -> list[TargetRecord]:
        """Return the targets of a service that may receive calls, by name.

        Those of evacuated failure domains may not.

        :return: records, in the order of their names.
        """
        return [
            record
            for record in self.list_ready(service)
            if not self.evacuations.is_evacuated(record.failure_domain)
        ]

    def list_ready(self, service: str) -> list[TargetRecord]:
        """Return the targets that take calls, evacuated or not, by name.

        Records that share an address are chosen by ``AddressClaims``; outdated
        ones are used only if the service has no others.
        """
        by_address: dict[str, list[TargetRecord]] = {}
        for record in self.records.values():
            if record.incarnation not in self.departed:
                by_address.setdefault(record.address, []).append(record)
        for has_outdated in (False, True):
            serving = [
                found
                for claims in by_address.values()
                for found in self.claims.select(
                    claims, has_outdated=has_outdated
                )
                if found.service == service
            ]
            if serving:
                break
        return sorted(serving, key=lambda record: record.name)

    def refute(self, record: TargetRecord, now_s: float) -> bool:
        """Record that the target at an address has another name.

        A record that is the only one with its address stays in use.

        :return: whether the record is newly kept from use.
        """
        is_shared = any(
            other.address == record.address and other.name != record.name
            for other in self.records.values()
            if other.incarnation not in self.departed
        )
        return is_shared and self.claims.refute(record, now_s)

    def expire_claims(self, now_s: float) -> None:
        """Use refuted records again whose time is over."""
        incarnations = [record.incarnation for record in self.records.values()]
        self.claims.expire(incarnations, now_s)

    def _remove(self, record: TargetRecord, revision: int) -> bool:
        self.records.pop(record.name)
        return self.departures.record(
            record.incarnation, Departure(False, revision, record.sequence)
        )


def _is_older(record: TargetRecord, known: TargetRecord) -> bool:
    if record.started_ms != known.started_ms:
        return record.started_ms < known.started_ms
    return record.revision < known.revision
