"""KV memory of a stand-in engine: streams, reservations and prefix cache."""

import time
from collections import OrderedDict, deque
from typing import Any

from attrs import define, field

BLOCK_TOKENS = 512
MAXIMUM_CACHE_EVENTS = 4096
CACHE_SHARE = 0.25


@define
class KvReservation:
    """KV memory reserved under a tag, outside of running streams.

    :ivar tokens: size in tokens.
    :ivar expires_wall_s: wall-clock time of its expiry, in seconds.
    :ivar prefilled_tokens: number of prompt tokens that are prefilled.
    """

    tag: str
    owner: str
    tokens: int
    expires_wall_s: float
    prefilled_tokens: int = 0

    def describe(self) -> dict[str, Any]:
        """Return the JSON fields of the reservation."""
        return {
            'tag': self.tag,
            'owner': self.owner,
            'tokens': self.tokens,
            'expires_wall_s': self.expires_wall_s,
        }


@define
class PrefixCache:
    """LRU cache of prompt blocks, identified by their digests."""

    capacity_tokens: int
    _blocks: OrderedDict[int, None] = field(factory=OrderedDict)
    _events: deque[dict[str, Any]] = field(
        factory=lambda: deque(maxlen=MAXIMUM_CACHE_EVENTS),
    )
    _sequence: int = 0

    def count_cached_tokens(self, digests: tuple[int, ...]) -> int:
        """Return the length of the longest cached prefix, in tokens."""
        hits = 0
        for digest in digests:
            if digest not in self._blocks:
                break
            self._blocks.move_to_end(digest)
            hits += 1
        return hits * BLOCK_TOKENS

    def store(self, digests: tuple[int, ...]) -> None:
        """Cache the blocks of a prompt and evict the least recently used."""
        for digest in digests:
            if digest not in self._blocks:
                self._record_event(digest, stored=True)
            self._blocks[digest] = None
        while len(self._blocks) * BLOCK_TOKENS > self.capacity_tokens:
            evicted, _ = self._blocks.popitem(last=False)
            self._record_event(evicted, stored=False)

    def list_events(self, after: int) -> list[dict[str, Any]]:
        """Return the events after a sequence number."""
        return [one for one in list(self._events) if one['sequence'] > after]

    def _record_event(self, digest: int, stored: bool) -> None:
        self._sequence += 1
        self._events.append(
            {'sequence': self._sequence, 'digest': digest, 'stored': stored},
        )


@define
class KvMemory:
    """KV memory shared by running streams and reservations, in tokens."""

    capacity_tokens: int
    running_tokens: int = 0
    reservations: dict[str, KvReservation] = field(factory=dict)
    cache: PrefixCache = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the prefix cache, sized as a share of the memory."""
        self.cache = PrefixCache(int(self.capacity_tokens * CACHE_SHARE))

    @property
    def free_tokens(self) -> int:
        """Return the memory used by neither streams nor reservations."""
        reserved = sum(one.tokens for one in list(self.reservations.values()))
        return self.capacity_tokens - self.running_tokens - reserved

    def reserve(self, fields: dict[str, Any]) -> bool:
        """Reserve memory under a tag.

        :return: whether it is reserved; repeating a reservation succeeds.
        """
        tag = str(fields['tag'])
        if tag in self.reservations:
            return True
        tokens = int(fields['tokens'])
        if tokens > self.free_tokens:
            return False
        self.reservations[tag] = KvReservation(
            tag,
            str(fields.get('owner', '')),
            tokens,
            float(fields.get('expires_wall_s', time.time())),
        )
        return True

    def release(self, tag: str) -> bool:
        """Free the memory reserved under a tag.

        :return: whether any was reserved.
        """
        return self.reservations.pop(tag, None) is not None
