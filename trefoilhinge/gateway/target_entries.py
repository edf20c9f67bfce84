"""Entries of the targets in the platform's store."""

from collections.abc import Mapping

from attrs import define

from trefoilhinge.dispatch.store_read_codec import TargetRemoved
from trefoilhinge.dispatch.targets import TargetRecord
from trefoilhinge.gateway.peer_exchange import PeerExchange
from trefoilhinge.gateway.state import GatewayState
from trefoilhinge.platform import store


@define
class TargetEntries:
    """Applies entries that were written or removed, and tells the peers."""

    _state: GatewayState
    _peers: PeerExchange

    def apply_list(
        self, items: Mapping[str, store.StoreItem], revision: int
    ) -> None:
        """Apply a complete list; targets that it lacks were removed.

        :param items: entries by key.
        :param revision: revision of the store before the list was read.
        """
        for item in items.values():
            self.apply_item(item)
        for name in tuple(self._state.directory.records):
            if f'{store.TARGET_PREFIX}{name}' not in items:
                self._apply_removal(name, revision)
        self._state.log.write('targets_listed', count=len(items))

    def apply_item(self, item: store.StoreItem) -> None:
        """Apply an entry or its removal; log one that cannot be decoded."""
        name = item.key.removeprefix(store.TARGET_PREFIX)
        if item.content is None:
            self._apply_removal(name, item.revision)
            return
        decoded = store.decode_target(item)
        if decoded.is_error():
            self._state.log.write(
                'target_refused',
                target=name,
                revision=item.revision,
                problem=decoded.error,
            )
            return
        if self._apply_record(decoded.ok):
            self._report_leaving(decoded.ok, item.revision, 'draining')

    def apply_told(self, change: TargetRecord | TargetRemoved, ip: str) -> None:
        """Apply what another instance read, which has told all itself."""
        if isinstance(change, TargetRecord):
            has_left = self._apply_record(change)
        else:
            has_left = self._state.directory.remove_reported(
                change.name, change.revision
            )
        if has_left:
            self._state.log.write(
                'target_left',
                target=change.name,
                source=f'peer {ip}',
                revision=change.revision,
            )

    def _apply_record(self, record: TargetRecord) -> bool:
        """Apply a record; return whether the target is newly departed."""
        directory = self._state.directory
        is_first = record.name not in directory.records
        is_new = self._is_new(record)
        was_gone = (
            record.name in directory.missing
            or record.incarnation in directory.departed
        )
        has_left = self._state.apply_target(record)
        if was_gone and not has_left:
            self._log_return(record)
        elif is_first and not has_left:
            self._state.log.write(
                'target_seen',
                target=record.name,
                service=record.service,
                address=record.address,
                revision=record.revision,
            )

        if not record.is_leaving:
            self._peers.cold_targets.apply_entry(record, is_new=is_new)
        return has_left

    def _is_new(self, record: TargetRecord) -> bool:
        """Return whether an incarnation starts after this instance.

        One that was known before only registers again.
        """
        directory = self._state.directory
        known = directory.records.get(record.name)
        return (
            directory.revision > 0
            and record.incarnation not in directory.departed
            and (known is None or known.started_ms < record.started_ms)
        )

    def _log_return(self, record: TargetRecord) -> None:
        if record.incarnation not in self._state.directory.departed:
            self._state.log.write(
                'target_registered_again',
                target=record.name,
                revision=record.revision,
            )

    def _apply_removal(self, name: str, revision: int) -> None:
        directory = self._state.directory
        now_s = self._state.get_now_s()
        was_missing = name in directory.missing
        record = directory.mark_removed(name, now_s, revision)
        if record is not None:
            self._report_leaving(record, revision, 'gone')
        elif name in directory.missing and not was_missing:
            self._state.log.write(
                'target_missing',
                target=name,
                store_back_s=now_s - directory.outages.reachable_since_s,
                used_for_s=directory.missing[name]
                - directory.outages.count_reachable_s(now_s),
            )

    def _report_leaving(
        self, record: TargetRecord, revision: int, reason: str
    ) -> None:
        self._peers.broadcast_target_leaving(record, revision)
        self._state.log.write(
            'target_left',
            target=record.name,
            source='store',
            reason=reason,
            revision=revision,
        )
