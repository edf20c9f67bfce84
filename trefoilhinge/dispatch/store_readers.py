"""Which instances read the store for all, and when others read it too."""

import enum
import functools
from collections.abc import Iterable

import xxhash
from attrs import define, evolve, field, frozen

from trefoilhinge.dispatch.documents import FleetDocument
from trefoilhinge.dispatch.settings import GatewaySettings
from trefoilhinge.dispatch.store_read_codec import StoreChange, StoreRead

MINIMUM_INSTANCES = 16  # a smaller fleet makes few reads
READERS_PER_DOMAIN = 2
# A change is in force within 3 s of its acknowledgement, whatever becomes of
# the readers: at most 2.0 s until what was heard is stale, 0.3 s of jitter, and
# 0.7 s for the answer to the own read.
FRESH_S = 2.0
STALE_JITTER_S = 0.3
# Two readers each tell a read every 1.7 s at the latest, so that one lost
# datagram makes nothing stale: 1.2 s between two reads, and this long a wait.
READER_WAIT_S = 0.5
# The read of another reader mostly closes a gap; the jitter spreads reads of
# a whole fleet after the store's history was lost.
GAP_WAIT_S = 0.1
GAP_JITTER_S = 0.2
CHECK_INTERVAL_S = 8.0
CHECK_JITTER_S = 0.5
# With 1.2 s until a reader reads a change, and the own read, within 3 s.
DOCUMENT_WAIT_S = 0.8
# A reader that tells nothing for two of its reads and a margin is replaced.
SILENT_READER_S = 4.0
FORGOTTEN_READER_S = 60.0
MAXIMUM_PENDING_READS = 32
# Some of them are heard though others end or their datagrams are lost.
LOOKOUTS = 8


class Role(enum.Enum):
    """What an instance does about the store."""

    independent = 'independent'  # reads as if there were no readers
    reader = 'reader'
    follower = 'follower'


class ReadReason(enum.Enum):
    """Why an instance reads the store itself."""

    watch = 'watch'  # as a reader, or independent of readers
    stale = 'stale'
    gap = 'gap'
    document = 'document'
    check = 'check'
    pause = 'pause'


@frozen
class OwnRead:
    """The next read of the store by an instance itself.

    :ivar at_s: monotonic seconds.
    """

    at_s: float
    reason: ReadReason


def uses_store_readers(
    settings: GatewaySettings, document: FleetDocument | None, instances: int
) -> bool:
    """Return whether few instances read the store for all.

    :param instances: live instances, including this one.
    """
    if not settings.allows_store_readers or instances < MINIMUM_INSTANCES:
        return False
    if settings.has_scarce_room:
        return True
    return document is not None and document.has_distant_domains


def is_lookout(own_ip: str, others: Iterable[str]) -> bool:
    """Return whether an instance is to notice soon that an answer is lost.

    Its watches are short, and the store has more reads of it. Few suffice, as
    they tell the others what was removed. All instances rank the same way.

    :param others: IP addresses of the other live instances.
    """
    own_rank = _rank(own_ip)
    return sum(_rank(ip) < own_rank for ip in others) < LOOKOUTS


@define
class ReaderTable:
    """The readers of one failure domain, as one instance sees them.

    All instances rank the same way. One that was ranked as a reader and tells
    nothing is passed over until it does, so that the next ones read.
    """

    own_ip: str
    _told_s: dict[str, float] = field(factory=dict)
    _ranked_s: dict[str, float] = field(factory=dict)

    def record_told(self, ip: str, now_s: float) -> None:
        """Record that an instance told a read."""
        self._told_s[ip] = now_s
        if len(self._told_s) > MAXIMUM_PENDING_READS:
            self._told_s = {
                known: told_s
                for known, told_s in self._told_s.items()
                if now_s - told_s < FORGOTTEN_READER_S
            }

    def list_readers(
        self, members: Iterable[str], now_s: float
    ) -> tuple[str, ...]:
        """Return the IP addresses of the readers.

        :param members: live instances of the own failure domain that reach
            the store as far as is known, without this one.
        """
        readers: list[str] = []
        ranked_s: dict[str, float] = {}
        for ip in sorted({*members, self.own_ip}, key=_rank):
            ranked_s[ip] = self._ranked_s.get(ip, now_s)
            heard_s = max(ranked_s[ip], self._told_s.get(ip, 0))
            if ip == self.own_ip or now_s - heard_s <= SILENT_READER_S:
                readers.append(ip)
            if len(readers) == READERS_PER_DOMAIN:
                break
        self._ranked_s = ranked_s
        return tuple(readers)

    def find_role(self, members: Iterable[str], now_s: float) -> Role:
        """Return whether this instance reads for the others."""
        is_reader = self.own_ip in self.list_readers(members, now_s)
        return Role.reader if is_reader else Role.follower


@define
class _PendingRead:
    """A read that is not complete, or has changes missing before it.

    :ivar read_s: monotonic seconds of the store's answer.
    :ivar heard_s: monotonic seconds of the first part.
    """

    read_s: float
    heard_s: float
    read: StoreRead
    parts: dict[int, StoreRead] = field(factory=dict)

    @property
    def is_complete(self) -> bool:
        return len(self.parts) == self.read.parts

    def list_changes(self, revision: int) -> list[StoreChange]:
        """Return the changes after a revision, in the order of revisions."""
        changes = [
            change
            for _, part in sorted(self.parts.items())
            for change in part.changes
            if change.revision > revision
        ]
        return sorted(changes, key=lambda change: change.revision)


@define
class HeardReads:
    """Reads of the store that other instances told, and what they prove.

    :ivar fresh_s: monotonic seconds of the newest read of which this instance
        has all changes.
    """

    fresh_s: float = float('-inf')
    _pending: dict[tuple[str, int, int], _PendingRead] = field(factory=dict)
    _wanted_version: int = 0
    _wanted_s: float = 0
    _read_version: int = 0

    def record(
        self, read: StoreRead, ip: str, revision: int, now_s: float
    ) -> tuple[list[StoreChange], int]:
        """Record what an instance told.

        :param revision: revision up to which this instance has all changes.
        :return: changes to apply, in the order of revisions, and the revision
            up to which this instance has all changes then.
        """
        if read.version > max(self._wanted_version, self._read_version):
            self._wanted_version = read.version
            self._wanted_s = now_s
        if read.after < revision:
            return [], revision
        key = (ip, read.before, read.after)
        pending = self._pending.setdefault(
            key, _PendingRead(now_s - read.age_s, now_s, read)
        )
        pending.read_s = min(pending.read_s, now_s - read.age_s)
        if read.parts == pending.read.parts:
            pending.parts[read.part] = read
        return self._close_chain(revision, now_s)

    def find_gap(self, revision: int) -> StoreRead | None:
        """Return the first read that could not be applied, none without."""
        pending = self._find_gap(revision)
        return None if pending is None else evolve(pending.read, changes=())

    def record_own(self, revision: int) -> None:
        """Record that this instance has read the store itself."""
        self._pending = {
            key: pending
            for key, pending in self._pending.items()
            if pending.read.after > revision
        }

    def record_document(self) -> None:
        """Record that this instance has read the document from the store.

        It is not read again for versions that were told before, which may be
        forged.
        """
        self._read_version = max(self._read_version, self._wanted_version)
        self._wanted_version = 0

    def find_document_read(self, version: int, share: float) -> OwnRead | None:
        """Return when to read the document that peers did not deliver.

        :param version: version of the own document.
        :param share: position of this instance in the jitter, 0 to 1.
        """
        if self._wanted_version <= version:
            return None
        at_s = self._wanted_s + DOCUMENT_WAIT_S + share * GAP_JITTER_S
        return OwnRead(at_s, ReadReason.document)

    def find_own_read(
        self, revision: int, read_s: float, interval_s: float, share: float
    ) -> OwnRead:
        """Return when a follower reads the store itself.

        :param revision: revision up to which it has all changes.
        :param read_s: monotonic seconds of its latest read.
        :param interval_s: least seconds between two of its reads.
        :param share: position of this instance in the jitter, 0 to 1.
        """
        reads = [
            OwnRead(
                self.fresh_s + FRESH_S + share * STALE_JITTER_S,
                ReadReason.stale,
            ),
            OwnRead(
                read_s + CHECK_INTERVAL_S - share * CHECK_JITTER_S,
                ReadReason.check,
            ),
        ]
        gap = self._find_gap(revision)
        if gap is not None:
            gap_s = gap.heard_s + GAP_WAIT_S + share * GAP_JITTER_S
            reads.append(
                OwnRead(max(gap_s, read_s + interval_s), ReadReason.gap)
            )
        return min(reads, key=lambda read: read.at_s)

    def _find_gap(self, revision: int) -> _PendingRead | None:
        return min(
            (
                pending
                for pending in self._pending.values()
                if pending.read.after > revision
            ),
            key=lambda pending: pending.heard_s,
            default=None,
        )

    def _close_chain(
        self, revision: int, now_s: float
    ) -> tuple[list[StoreChange], int]:
        changes: list[StoreChange] = []
        kept: dict[tuple[str, int, int], _PendingRead] = {}
        for key, pending in sorted(
            self._pending.items(), key=lambda entry: entry[1].read.before
        ):
            read = pending.read
            if now_s - pending.heard_s > FRESH_S or read.after < revision:
                continue
            if read.before > revision or not pending.is_complete:
                kept[key] = pending
                continue
            changes.extend(pending.list_changes(revision))
            revision = read.after
            self.fresh_s = max(self.fresh_s, pending.read_s)
        self._pending = _limit(kept)
        return changes, revision


def _limit(
    kept: dict[tuple[str, int, int], _PendingRead],
) -> dict[tuple[str, int, int], _PendingRead]:
    """Drop the oldest reads; forged ones must not fill the memory."""
    if len(kept) <= MAXIMUM_PENDING_READS:
        return kept
    newest = sorted(kept, key=lambda key: kept[key].heard_s)
    return {key: kept[key] for key in newest[-MAXIMUM_PENDING_READS:]}


# Instances are ranked several times a second.
@functools.lru_cache(maxsize=2048)
def _rank(ip: str) -> int:
    return int(xxhash.xxh32_intdigest(ip.encode()))
