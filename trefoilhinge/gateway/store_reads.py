"""Reads of the store that instances tell each other."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Protocol

import xxhash
from attrs import define, field

from trefoilhinge.dispatch.store_read_codec import (
    StoreChange,
    StoreRead,
    split_read,
)
from trefoilhinge.dispatch.store_readers import (
    HeardReads,
    ReaderTable,
    ReadReason,
    Role,
    uses_store_readers,
)
from trefoilhinge.gateway.state import GatewayState

POLL_INTERVAL_S = 0.1
# What was heard after a longer pause of this process may be old.
PAUSE_S = 0.3
HASH_VALUES = 2**32
# Spreads the fetches of a document that all instances are told at once.
FETCH_SPREAD_S = 0.2


class ReadReceiver(Protocol):
    """What keeps the targets in step with the store."""

    @property
    def told_revision(self) -> int | None:
        """Return up to which revision all changes are known, if any are."""
        ...

    def apply_told(
        self, changes: Sequence[StoreChange], revision: int, ip: str
    ) -> None:
        """Apply all changes up to a revision."""
        ...


@define
class StoreReads:
    """Tells the peers what this instance reads, and applies what they tell.

    :ivar receiver: what applies the changes; none before it is created.
    :ivar role: what this instance does about the store.
    """

    _state: GatewayState
    _send_to_each: Callable[[StoreRead], None]
    _fetch_document: Callable[[float], None]
    receiver: ReadReceiver | None = None
    role: Role = Role.independent
    _table: ReaderTable = field(init=False)
    _heard: HeardReads = field(factory=HeardReads)
    _read_s: float = float('-inf')
    _reads: int = 0
    _hears_readers: bool = True

    def __attrs_post_init__(self) -> None:
        """Create the table of readers."""
        self._table = ReaderTable(self._state.settings.ip)

    async def wait_for_turn(
        self, interval_s: float, *, is_uncertain: bool
    ) -> ReadReason:
        """Wait until this instance is to read the store itself.

        :param interval_s: least seconds between two of its reads.
        :param is_uncertain: whether the store may be away from this instance,
            which only its own reads can tell.
        """
        share = self._compute_share()
        was_paused = False
        while True:
            now_s = self._state.get_now_s()
            self._update_role(now_s)
            reason = self._find_reason(
                interval_s, share, is_uncertain=is_uncertain
            )
            # A starved process must not read more often than before.
            if was_paused and now_s >= self._read_s + interval_s:
                reason = reason or ReadReason.pause
            if reason is not None:
                self._record_reason(reason)
                return reason
            await asyncio.sleep(POLL_INTERVAL_S)
            paused_s = self._state.get_now_s() - now_s - POLL_INTERVAL_S
            was_paused = was_paused or paused_s > PAUSE_S

    def record_own(self, revision: int) -> None:
        """Record that this instance has read all changes up to a revision."""
        self._read_s = self._state.get_now_s()
        self._reads += 1
        self._heard.record_own(revision)

    def record_document(self) -> None:
        """Record that this instance has read the document."""
        self._heard.record_document()

    def find_silence_begin(self, answered_s: float) -> float:
        """Return since when the store may not have answered.

        A follower knows by what it is told that the store answered.

        :param answered_s: monotonic seconds of the latest own answer.
        """
        if self.role is not Role.follower:
            return answered_s
        return max(self._heard.fresh_s, answered_s)

    def tell(
        self,
        revisions: tuple[int, int],
        age_s: float,
        changes: Sequence[StoreChange],
    ) -> None:
        """Tell the peers a read, if this instance reads for them.

        :param revisions: revision after which and up to which it was read.
        :param age_s: seconds since the store answered.
        """
        if self.role is not Role.reader:
            return
        document = self._state.document
        version = document.version if document else 0
        parts = split_read(
            StoreRead(*revisions, age_s, version, tuple(changes))
        )
        if not parts:
            self._state.log.write(
                'store_read_untold', revision=revisions[1], count=len(changes)
            )
        for part in parts:
            self._send_to_each(part)
        self._state.metrics.increment('store_reads_told')

    def apply_message(self, read: StoreRead, ip: str) -> None:
        """Apply a read that a peer tells."""
        now_s = self._state.get_now_s()
        if ip in self._state.peers.peers:
            self._table.record_told(ip, now_s)
        if self.receiver is None or self.role is not Role.follower:
            # A reader goes on from its own reads, so that what it tells closes
            # the gaps that other readers' lost messages leave.
            return
        revision = self.receiver.told_revision
        if revision is None:
            return
        self._state.metrics.increment('store_reads_heard')
        self._expect_document(read.version, ip)
        changes, after = self._heard.record(read, ip, revision, now_s)
        if after > revision:
            self.receiver.apply_told(changes, after, ip)

    def _expect_document(self, version: int, ip: str) -> None:
        peer = self._state.peers.peers.get(ip)
        if peer is None or version <= self._version:
            return
        peer.version = max(peer.version, version)
        self._fetch_document(self._compute_share() * FETCH_SPREAD_S)

    def _update_role(self, now_s: float) -> None:
        state = self._state
        live = state.peers.list_live(now_s)
        role = Role.independent
        if uses_store_readers(state.settings, state.document, 1 + len(live)):
            peers = [state.peers.peers[ip] for ip in live]
            members = [
                peer.ip
                for peer in peers
                if peer.failure_domain == state.settings.failure_domain
                and not peer.store_unreachable
            ]
            role = self._table.find_role(members, now_s)
        if role is not self.role:
            self.role = role
            state.log.write('store_role', role=role.value)
            state.metrics.set_gauge('store_reader', int(role is Role.reader))

    def _find_reason(
        self, interval_s: float, share: float, *, is_uncertain: bool
    ) -> ReadReason | None:
        if self.role is Role.independent:
            return ReadReason.watch
        now_s = self._state.get_now_s()
        document_read = self._heard.find_document_read(self._version, share)
        if document_read is not None and document_read.at_s <= now_s:
            return document_read.reason
        if self.role is Role.reader or is_uncertain:
            return ReadReason.watch
        revision = self.receiver.told_revision if self.receiver else None
        own_read = self._heard.find_own_read(
            revision or 0, self._read_s, interval_s, share
        )
        is_due = own_read.at_s <= now_s
        self._record_silence(is_due and own_read.reason is ReadReason.stale)
        return own_read.reason if is_due else None

    def _record_silence(self, is_silent: bool) -> None:
        if is_silent is not self._hears_readers:
            return
        self._hears_readers = not is_silent
        if is_silent:
            now_s = self._state.get_now_s()
            heard_s = max(self._heard.fresh_s, self._state.started_s)
            self._state.log.write(
                'store_readers_silent', silent_s=now_s - heard_s
            )
        else:
            self._state.log.write('store_readers_heard')

    def _record_reason(self, reason: ReadReason) -> None:
        if self.role is Role.independent:
            return
        self._state.metrics.increment('store_reads', reason=reason.value)
        revision = self.receiver.told_revision if self.receiver else None
        gap = self._heard.find_gap(revision or 0)
        if reason is ReadReason.gap and gap is not None:
            self._state.log.write(
                'store_read_gap',
                known=revision,
                before=gap.before,
                revision=gap.after,
            )
        elif reason is ReadReason.document:
            self._state.log.write('document_awaited', known=self._version)
        elif reason is ReadReason.pause:
            self._state.log.write('store_follower_paused')

    @property
    def _version(self) -> int:
        document = self._state.document
        return document.version if document else 0

    def _compute_share(self) -> float:
        """Return a number below 1 that differs by instance and read."""
        key = f'{self._state.settings.ip} {self._reads}'
        return int(xxhash.xxh32_intdigest(key.encode())) / HASH_VALUES
