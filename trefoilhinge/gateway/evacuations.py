"""News of evacuated failure domains, from the store and the other instances."""

import asyncio
from collections.abc import Callable, Iterable

from attrs import define

from trefoilhinge.dispatch.evacuation_codec import parse_evacuations
from trefoilhinge.dispatch.evacuations import (
    MAXIMUM_DOMAIN_LENGTH,
    DomainMark,
    EvacuationTable,
)
from trefoilhinge.dispatch.group_placement import Placement
from trefoilhinge.gateway.state import GatewayState

# Of the time in which an evacuation must be in force: three announcements may
# be lost.
REPEAT_FRACTION = 0.25
# Bounds what each instance receives to 100 announcements a second for a domain.
REPEAT_INTERVAL_PER_PEER_S = 0.01
DEFAULT_REPEAT_INTERVAL_S = 1.25  # where the settings name no bound
# Marks announced at a time, in rotation if there are more.
MAXIMUM_REPEATED_MARKS = 8


@define
class EvacuationNews:
    """Applies marks of failure domains and tells the peers."""

    _state: GatewayState
    _broadcast: Callable[[DomainMark], None]
    _send_to_each: Callable[[DomainMark], None]
    _repeats: int = 0

    @property
    def reads_marks(self) -> bool:
        """Return whether lists of the store are to include the marks."""
        return self._state.settings.bounds.evacuate_s > 0

    def apply_item(self, mark: DomainMark) -> None:
        """Apply a mark or a removal that the store sent."""
        if not 0 < len(mark.domain) <= MAXIMUM_DOMAIN_LENGTH:
            self._state.log.write(
                'evacuation_refused',
                domain=mark.domain[:MAXIMUM_DOMAIN_LENGTH],
                revision=mark.revision,
            )
            return
        if self._table.apply(mark, self._state.get_now_s()):
            self._record_change(mark, 'store')

    def apply_list(self, marks: Iterable[DomainMark], revision: int) -> None:
        """Apply the complete list of the store.

        :param revision: revision of the store before the list was read.
        """
        now_s = self._state.get_now_s()
        for mark in self._table.apply_complete(marks, revision, now_s):
            self._record_change(mark, 'store')

    def record_read(self, revision: int) -> None:
        """Record that the store sent all changes up to a revision.

        Without a list to begin with, the changes before are not known.
        """
        if self.reads_marks:
            self._table.record_read(revision)

    def apply_message(self, mark: DomainMark, ip: str) -> None:
        """Apply the announcement of a peer."""
        if self._table.apply(mark, self._state.get_now_s()):
            log_change(self._state, mark, f'peer {ip}')

    async def run(self) -> None:
        """Repeat announcements until cancelled, as datagrams may be lost."""
        while True:
            await asyncio.sleep(self._find_repeat_interval_s())
            self.repeat()

    def repeat(self) -> None:
        """Announce the marks, and removals of late, once more."""
        marks = self._table.list_repeated(self._state.get_now_s())
        self._repeats += 1
        begin = self._repeats * MAXIMUM_REPEATED_MARKS
        for offset in range(min(len(marks), MAXIMUM_REPEATED_MARKS)):
            self._broadcast(marks[(begin + offset) % len(marks)])

    @property
    def _table(self) -> EvacuationTable:
        return self._state.directory.evacuations

    def _record_change(self, mark: DomainMark, source: str) -> None:
        log_change(self._state, mark, source)
        self._send_to_each(mark)

    def _find_repeat_interval_s(self) -> float:
        evacuate_s = self._state.settings.bounds.evacuate_s
        peers = len(self._state.peers.peers)
        return max(
            REPEAT_FRACTION * evacuate_s or DEFAULT_REPEAT_INTERVAL_S,
            REPEAT_INTERVAL_PER_PEER_S * peers,
        )


def has_evacuations(state: GatewayState) -> bool:
    """Return whether the operator evacuates failure domains."""
    return state.settings.bounds.evacuate_s > 0 or bool(
        state.directory.evacuations.list_known()
    )


def apply_reported_evacuations(state: GatewayState, fields: object) -> None:
    """Apply the marks in the list of another instance, if it has any.

    :raises KeyError: a field is missing.
    :raises ValueError: a field is of unexpected value.
    """
    if fields is None:
        return
    marks, revision = parse_evacuations(fields)
    table = state.directory.evacuations
    now_s = state.get_now_s()
    for mark in table.apply_complete(marks, revision, now_s):
        log_change(state, mark, 'peer')


def log_change(state: GatewayState, mark: DomainMark, source: str) -> None:
    """Log that a failure domain is evacuated, or no longer."""
    directory = state.directory
    state.log.write(
        'domain_evacuated' if mark.is_evacuated else 'domain_returned',
        domain=mark.domain,
        revision=mark.revision,
        source=source,
        targets=sum(
            record.failure_domain == mark.domain
            for record in directory.records.values()
        ),
    )
    state.metrics.set_gauge(
        'domains_evacuated', len(directory.evacuations.list_evacuated())
    )


def is_service_evacuated(state: GatewayState, service: str) -> bool:
    """Return whether all targets of a service are in evacuated domains."""
    directory = state.directory
    return (
        bool(directory.evacuations.list_evacuated())
        and not directory.list_serving(service)
        and bool(directory.list_ready(service))
    )


def is_address_evacuated(state: GatewayState, address: str) -> bool:
    """Return whether the target at an address may be sent nothing new."""
    directory = state.directory
    return bool(directory.evacuations.list_evacuated()) and any(
        record.address == address
        and directory.evacuations.is_evacuated(record.failure_domain)
        for record in directory.records.values()
    )


def has_evacuated_target(state: GatewayState, placement: Placement) -> bool:
    """Return whether a target of a placement was evacuated meanwhile."""
    directory = state.directory
    return any(
        directory.evacuations.is_evacuated(
            directory.records[part.target].failure_domain
        )
        for part in placement.parts
        if part.target in directory.records
    )
