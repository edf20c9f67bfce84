"""Approximate index of the prompt prefixes that targets hold.

Cache events arrive late and some are lost, so the index is approximate. An
entry no longer counts once an eviction is reported, once its time to live has
passed, or when it is among the least recently used of a full index.
"""

from collections import OrderedDict
from collections.abc import Iterable

from attrs import define, field

from trefoilhinge.core.identifiers import TargetName
from trefoilhinge.core.reports import CacheEvent

MAXIMUM_DIGESTS = 65_536
# Leading blocks of a prompt that are indexed and looked up.
MAXIMUM_BLOCKS_PER_CALL = 512
PREFIX_TTL_S = 300.0
# Gap in sequence numbers up to which most entries of a target stay valid; a
# larger gap invalidates all of them.
MAXIMUM_SEQUENCE_GAP = 64

# Monotonic seconds at which each target was last known to hold a block.
Holders = dict[TargetName, float]


@define
class PrefixIndex:
    """Index from block digests to the targets that probably hold them."""

    _holders: OrderedDict[int, Holders] = field(factory=OrderedDict)
    _sequences: dict[TargetName, int] = field(factory=dict)
    _invalidated_s: dict[TargetName, float] = field(factory=dict)

    def note_events(
        self,
        target: TargetName,
        cache_events: Iterable[CacheEvent],
        now_s: float,
    ) -> None:
        """Apply the cache events of a target, in order of their sequence."""
        for event in cache_events:
            last = self._sequences.get(target)
            if last is not None and event.sequence <= last:
                continue
            if (
                last is not None
                and event.sequence > last + MAXIMUM_SEQUENCE_GAP
            ):
                self.invalidate_target(target, now_s)
            self._sequences[target] = event.sequence
            if event.stored:
                self._store(target, event.digest, now_s)
            else:
                self._holders.get(event.digest, {}).pop(target, None)

    def note_sent(
        self,
        target: TargetName,
        digests: tuple[int, ...],
        now_s: float,
    ) -> None:
        """Index the blocks of a call that is being sent to a target."""
        for digest in digests[:MAXIMUM_BLOCKS_PER_CALL]:
            self._store(target, digest, now_s)

    def invalidate_target(self, target: TargetName, now_s: float) -> None:
        """Invalidate all entries of a target that are older than now."""
        self._sequences.pop(target, None)
        self._invalidated_s[target] = now_s

    def find_longest_match(
        self,
        digests: tuple[int, ...],
    ) -> tuple[int, Iterable[TargetName]]:
        """Return the longest prefix that any target holds, and its holders.

        A holder of a block is assumed to hold all blocks before it, which
        permits a binary search.

        :return: length of the prefix in blocks, and names of the targets.
        """
        low = 0
        high = min(len(digests), MAXIMUM_BLOCKS_PER_CALL)
        while low < high:
            middle = (low + high + 1) // 2
            if self._holders.get(digests[middle - 1]):
                low = middle
            else:
                high = middle - 1
        if not low:
            return 0, ()
        digest = digests[low - 1]
        self._holders.move_to_end(digest)
        return low, self._holders[digest]

    def count_matched_blocks(
        self,
        target: TargetName,
        digests: tuple[int, ...],
        longest_match: int,
        now_s: float,
    ) -> int:
        """Return the number of leading blocks that a target probably holds.

        :param longest_match: largest number of blocks that any target holds.
        """
        if longest_match and self._is_held(
            target, digests[longest_match - 1], now_s
        ):
            return longest_match
        low = 0
        high = max(0, longest_match - 1)
        while low < high:
            middle = (low + high + 1) // 2
            if self._is_held(target, digests[middle - 1], now_s):
                low = middle
            else:
                high = middle - 1
        return low

    def _is_held(self, target: TargetName, digest: int, now_s: float) -> bool:
        seen_s = self._holders.get(digest, {}).get(target)
        if seen_s is None or now_s - seen_s >= PREFIX_TTL_S:
            return False
        return seen_s >= self._invalidated_s.get(target, 0)

    def _store(self, target: TargetName, digest: int, now_s: float) -> None:
        holders = self._holders.get(digest)
        if holders is None:
            holders = {}
            self._holders[digest] = holders
            if len(self._holders) > MAXIMUM_DIGESTS:
                self._holders.popitem(last=False)
        holders[target] = now_s
