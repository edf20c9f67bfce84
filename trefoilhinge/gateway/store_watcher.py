"""List the platform's store and watch it for changes."""

import asyncio

from attrs import define, field

from trefoilhinge.dispatch.evacuations import DomainMark
from trefoilhinge.gateway.evacuations import EvacuationNews
from trefoilhinge.gateway.state import GatewayState
from trefoilhinge.gateway.store_client import (
    HistoryGone,
    StoreClient,
    StoreRefused,
    StoreRestored,
    StoreUnanswered,
)
from trefoilhinge.gateway.target_entries import TargetEntries
from trefoilhinge.platform import store

WATCH_WAIT_S = 2.0  # bounds how late an outage of the store is noticed
WATCH_MARGIN_S = 1.0  # for the answer to a watch, after its wait
# Changes are batched between two watches, because each read of the store has
# a price.
WATCH_INTERVAL_S = 0.6
WATCH_INTERVAL_FRACTION = 0.3  # of the time in which a change must be in force
# In a fleet of this size some instance is always watching and tells the others.
LARGE_FLEET_INSTANCES = 16
LARGE_FLEET_WATCH_INTERVAL_S = 1.2
# An instance that hears no other one still applies a change in time.
LARGE_FLEET_WATCH_INTERVAL_FRACTION = 0.4
# A longer outage may have hidden several documents.
CATCH_UP_AFTER_S = 1.0
# For changes that were already made, or to see whether the store answers.
SHORT_WAIT_S = 0.1
RETRY_DELAY_S = 0.5
STARTUP_RETRY_DELAY_S = 0.1  # while no targets are known


@define
class StoreWatcher:
    """Keeps the document and the targets in step with the store."""

    _state: GatewayState
    _entries: TargetEntries
    _evacuations: EvacuationNews
    _client: StoreClient = field(init=False)
    _revision: int = 0
    _has_listed: bool = False
    _needs_catch_up: bool = False
    _cut_since_s: float | None = None

    def __attrs_post_init__(self) -> None:
        """Create the client."""
        self._client = StoreClient(self._state, self._record_answer)

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
                self._record_failure(str(problem))
                await asyncio.sleep(
                    RETRY_DELAY_S
                    if self._has_targets()
                    else STARTUP_RETRY_DELAY_S
                )

    async def _read_changes(self) -> None:
        if not self._has_listed:
            await self._list_all()
        elif self._needs_catch_up:
            await self._catch_up()
        else:
            await self._watch()

    async def _list_all(self) -> None:
        revision = await self._read_operator_items()
        records, _ = await self._client.list_items(store.TARGET_PREFIX)
        self._entries.apply_list(records, revision)
        self._set_revision(revision)
        self._has_listed = True
        self._needs_catch_up = False

    async def _catch_up(self) -> None:
        """Read the changes of the targets, and only the newest document.

        A watch would first send each document written during the outage.
        """
        document_revision = await self._read_operator_items()
        revision = self._revision
        while revision < document_revision:
            page = await self._client.fetch_page(
                store.make_watch_path(
                    store.TARGET_PREFIX, revision, SHORT_WAIT_S
                )
            )
            self._apply_items(page)
            if page.revision <= revision:
                raise StoreUnanswered(f'watch stays at revision {revision}')
            revision = page.revision
        # A document written after it was read is left to the next watch.
        self._set_revision(document_revision)
        self._needs_catch_up = False

    async def _read_operator_items(self) -> int:
        """Read the document, and the marks of evacuated domains if any may be.

        Both are in one list, so that no additional read is needed.

        :return: revision of the store before they were read.
        """
        if not self._evacuations.reads_marks:
            page = await self._client.read_document()
            self._apply_item(page.items[0])
            return page.revision
        items, revision = await self._client.list_items(store.OPERATOR_PREFIX)
        self._evacuations.apply_list(
            [
                _make_mark(item)
                for item in items.values()
                if item.key.startswith(store.EVACUATION_PREFIX)
            ],
            revision,
        )
        if store.DOCUMENT_KEY not in items:
            raise StoreUnanswered('store has no document yet')
        self._apply_item(items[store.DOCUMENT_KEY])
        return revision

    async def _watch(self) -> None:
        page = await self._read_watch()
        if page is None:
            return
        self._apply_items(page)
        self._evacuations.record_read(page.revision)
        self._set_revision(max(self._revision, page.revision))
        instances = self._state.peers.count_instances(self._state.get_now_s())
        apply_s = self._state.settings.bounds.apply_s
        await asyncio.sleep(find_watch_interval_s(apply_s, instances))

    async def _read_watch(self) -> store.StorePage | None:
        """Wait for changes, for a short time if the store may be away.

        :return: ``None`` if the watch was cut, which the store may do at any
            time; the next read shows whether it is away.
        """
        outages = self._state.directory.outages
        is_check = (
            self._cut_since_s is not None
            or outages.unreachable_since_s is not None
        )
        wait_s = SHORT_WAIT_S if is_check else WATCH_WAIT_S
        path = store.make_watch_path('', self._revision, wait_s)
        try:
            return await self._client.fetch_page(path, wait_s + WATCH_MARGIN_S)
        except StoreRefused as problem:
            if is_check:
                raise
            self._record_cut(str(problem))
            return None

    def _has_targets(self) -> bool:
        return self._state.directory.revision > 0

    def _set_revision(self, revision: int) -> None:
        self._revision = revision
        self._state.record_targets_read(revision)

    def _apply_items(self, page: store.StorePage) -> None:
        for item in page.items:
            self._apply_item(item)

    def _apply_item(self, item: store.StoreItem) -> None:
        if item.key == store.DOCUMENT_KEY and item.content is not None:
            self._state.accept_document(
                item.content, f'store revision {item.revision}'
            )
        elif item.key.startswith(store.TARGET_PREFIX):
            self._entries.apply_item(item)
        elif item.key.startswith(store.EVACUATION_PREFIX):
            self._evacuations.apply_item(_make_mark(item))

    def _record_cut(self, problem: str) -> None:
        self._cut_since_s = self._client.read_began_s
        self._state.metrics.increment('watches_cut')
        self._state.log.write(
            'watch_cut',
            waited_s=self._state.get_now_s() - self._client.read_began_s,
            problem=problem,
        )

    def _record_failure(self, problem: str) -> None:
        outages = self._state.directory.outages
        if outages.unreachable_since_s is None and self._has_listed:
            self._state.log.write('store_lost', problem=problem)
        self._state.metrics.increment('store_failures')
        since_s = self._cut_since_s or self._client.read_began_s
        self._cut_since_s = None
        outages.mark_unreachable(since_s)
        unreachable_s = outages.count_unreachable_s(self._state.get_now_s())
        if unreachable_s >= CATCH_UP_AFTER_S:
            self._needs_catch_up = True

    def _record_answer(self) -> None:
        outages = self._state.directory.outages
        now_s = self._state.get_now_s()
        if outages.unreachable_since_s is not None:
            away_s = now_s - outages.unreachable_since_s
            self._state.log.write('store_regained', away_s=away_s)
        outages.mark_reachable(now_s)
        if self._cut_since_s is not None:
            outages.mark_silent(self._cut_since_s, now_s)
            self._cut_since_s = None


def _make_mark(item: store.StoreItem) -> DomainMark:
    return DomainMark(
        item.key.removeprefix(store.EVACUATION_PREFIX),
        is_evacuated=item.content is not None,
        revision=item.revision,
    )


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
