"""List the platform's store and watch it for changes."""

import asyncio
from collections.abc import Sequence

from attrs import define, field

from trefoilhinge.dispatch.store_read_codec import StoreChange
from trefoilhinge.dispatch.store_readers import (
    READER_WAIT_S,
    ReadReason,
    Role,
    is_lookout,
)
from trefoilhinge.gateway.state import GatewayState
from trefoilhinge.gateway.store_changes import StoreChanges, list_changes
from trefoilhinge.gateway.store_client import (
    SHORT_WAIT_S,
    HistoryGone,
    StoreClient,
    StoreRefused,
    StoreRestored,
    StoreUnanswered,
)
from trefoilhinge.gateway.store_reads import StoreReads
from trefoilhinge.gateway.store_silence import StoreSilence
from trefoilhinge.platform import store

# Changes are batched between two watches, because each read of the store has
# a price.
WATCH_INTERVAL_S = 0.6
WATCH_INTERVAL_FRACTION = 0.3  # of the time in which a change must be in force
# In a fleet of this size some instance is always watching and tells the others.
LARGE_FLEET_INSTANCES = 16
LARGE_FLEET_WATCH_INTERVAL_S = 1.2
# An instance that hears no other one still applies a change in time.
LARGE_FLEET_WATCH_INTERVAL_FRACTION = 0.4


@define
class StoreWatcher:
    """Keeps the document and the targets in step with the store."""

    _state: GatewayState
    _changes: StoreChanges
    _reads: StoreReads
    _client: StoreClient = field(init=False)
    _silence: StoreSilence = field(init=False)
    _revision: int = 0
    _has_listed: bool = False

    def __attrs_post_init__(self) -> None:
        """Create the client, and receive what peers read."""
        self._silence = StoreSilence(self._state, self._reads)
        self._client = StoreClient(self._state, self._silence)
        self._reads.receiver = self

    @property
    def told_revision(self) -> int | None:
        """Return up to which revision all changes are known, if any are."""
        return self._revision if self._has_listed else None

    def apply_told(
        self, changes: Sequence[StoreChange], revision: int, ip: str
    ) -> None:
        """Apply all changes up to a revision that a peer has read.

        They say nothing about whether the store answers this instance.
        """
        self._changes.apply_told(changes, revision, ip)
        self._set_revision(revision)

    async def run(self) -> None:
        """List and watch the store until cancelled."""
        while True:
            try:
                await self._read_changes()
            except HistoryGone:
                self._has_listed = False
                self._state.log.write('history_gone', revision=self._revision)
            except StoreRestored:
                self._has_listed = False
                now_s = self._state.get_now_s()
                self._state.directory.outages.mark_restored(now_s)
                self._state.log.write('store_restored', era=self._client.era)
            except StoreUnanswered as problem:
                self._silence.record_failure(
                    self._client.read_began_s, str(problem)
                )
                await asyncio.sleep(self._client.find_retry_delay_s())

    async def _read_changes(self) -> None:
        if not self._has_listed:
            await self._list_all()
        elif self._silence.needs_catch_up:
            await self._catch_up()
        else:
            await self._watch()

    async def _list_all(self) -> None:
        revision = await self._read_operator_items()
        records, _ = await self._client.list_items(store.TARGET_PREFIX)
        self._changes.entries.apply_list(records, revision)
        self._set_revision(revision)
        self._reads.record_own(revision)
        self._has_listed = True
        self._silence.needs_catch_up = False

    async def _catch_up(self) -> None:
        """Read the changes of the targets, and only the newest document.

        A watch would first send each document written during the outage.
        """
        document_revision = await self._read_operator_items()
        revision = self._revision
        while revision < document_revision:
            page = await self._client.watch(
                store.TARGET_PREFIX, revision, SHORT_WAIT_S
            )
            self._changes.apply_read(page.items, self._revision)
            if page.revision <= revision:
                raise StoreUnanswered(f'watch stays at revision {revision}')
            revision = page.revision
        # A document written after it was read is left to the next watch.
        self._set_revision(max(self._revision, document_revision))
        self._reads.record_own(self._revision)
        self._silence.needs_catch_up = False

    async def _read_operator_items(self) -> int:
        """Read the document, and the marks of evacuated domains if any may be.

        Both are in one list, so that no additional read is needed.

        :return: revision of the store before they were read.
        """
        if not self._changes.evacuations.reads_marks:
            page = await self._client.read_document()
            self._changes.apply_item(page.items[0])
            self._reads.record_document()
            return page.revision
        items, revision = await self._client.list_items(store.OPERATOR_PREFIX)
        self._changes.apply_operator_list(items.values(), revision)
        if store.DOCUMENT_KEY not in items:
            raise StoreUnanswered('store has no document yet')
        self._changes.apply_item(items[store.DOCUMENT_KEY])
        self._reads.record_document()
        return revision

    async def _watch(self) -> None:
        state = self._state
        instances = state.peers.count_instances(state.get_now_s())
        interval_s = find_watch_interval_s(
            state.settings.bounds.apply_s, instances
        )
        reason = await self._reads.wait_for_turn(
            interval_s, is_uncertain=self._silence.is_uncertain
        )
        if reason is ReadReason.document:
            await self._read_operator_items()
            return
        before = self._revision
        page = await self._read_watch(self._find_wait_s(reason))
        if page is None:
            return
        self._changes.apply_read(page.items, self._revision)
        self._changes.evacuations.record_read(page.revision)
        self._set_revision(max(self._revision, page.revision))
        self._reads.record_own(self._revision)
        self._tell(before, page)
        if reason in {ReadReason.watch, ReadReason.stale}:
            await asyncio.sleep(interval_s)

    def _is_lookout(self) -> bool:
        live = self._state.peers.list_live(self._state.get_now_s())
        return is_lookout(self._state.settings.ip, live)

    def _find_wait_s(self, reason: ReadReason) -> float:
        """Return for how long a watch waits for changes.

        It waits for a short time if the store may be away, and if peers tell
        what this instance only checks.
        """
        if self._silence.may_be_away or reason not in {
            ReadReason.watch,
            ReadReason.stale,
        }:
            return SHORT_WAIT_S
        role = self._reads.role
        timing = self._client.timing
        if role is Role.independent and not self._is_lookout():
            return timing.longest_wait_s
        now_s = self._state.get_now_s()
        unanswered_s = now_s - self._silence.find_begin_s(now_s)
        return min(
            READER_WAIT_S if role is Role.reader else timing.longest_wait_s,
            timing.find_watch_wait_s(unanswered_s),
        )

    def _tell(self, before: int, page: store.StorePage) -> None:
        """Tell the peers a read, unless its removals may mean nothing.

        Without it, they read the store themselves.
        """
        if self._silence.is_uncertain:
            return
        self._reads.tell(
            (before, page.revision), self._client.latency_s, list_changes(page)
        )

    async def _read_watch(self, wait_s: float) -> store.StorePage | None:
        """Wait for changes.

        :return: ``None`` if the watch was cut, which the store may do at any
            time; the next read shows whether it is away.
        """
        try:
            return await self._client.watch('', self._revision, wait_s)
        except StoreRefused as problem:
            if self._silence.may_be_away:
                raise
            self._silence.record_cut(self._client.read_began_s, str(problem))
            return None

    def _set_revision(self, revision: int) -> None:
        self._revision = revision
        self._state.record_targets_read(revision)


def find_watch_interval_s(apply_s: float, instances: int) -> float:
    """Return seconds between two watches.

    :param apply_s: seconds within which a change in the store must be in
        force.
    :param instances: instances that watch, including this one.
    """
    if instances < LARGE_FLEET_INSTANCES:
        return min(WATCH_INTERVAL_S, apply_s * WATCH_INTERVAL_FRACTION)
    return min(
        LARGE_FLEET_WATCH_INTERVAL_S,
        apply_s * LARGE_FLEET_WATCH_INTERVAL_FRACTION,
    )
