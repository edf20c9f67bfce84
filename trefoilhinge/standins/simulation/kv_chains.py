"""Chains of KV segments over several engines."""

from attrs import define, field, frozen

from trefoilhinge.core.identifiers import ReservationTag, StreamId, TargetName
from trefoilhinge.standins.simulation.engine import FakeEngine

Engines = dict[TargetName, FakeEngine]


@frozen
class KvSegment:
    """One segment of a chain: memory reserved under a tag on an engine."""

    target: TargetName
    tag: ReservationTag


@define
class KvChains:
    """Dependencies between segments, and the streams that use them.

    :ivar sources: segment that each segment was imported from.
    :ivar streams: stream that decodes over a chain, by its last segment.
    """

    sources: dict[KvSegment, KvSegment] = field(factory=dict)
    streams: dict[KvSegment, StreamId] = field(factory=dict)

    def format_handle(self, segment: KvSegment) -> str:
        """Return the handle of an exported segment."""
        return f'{segment.target}:{segment.tag}'

    def record_import(self, segment: KvSegment, handle: str) -> None:
        """Record that a segment was imported from an exported one."""
        target, _, tag = handle.partition(':')
        self.sources[segment] = KvSegment(
            TargetName(target), ReservationTag(tag)
        )

    def is_complete(self, segment: KvSegment, engines: Engines) -> bool:
        """Return whether every segment of a chain is still reserved."""
        current: KvSegment | None = segment
        while current is not None:
            engine = engines[current.target]
            if engine.dead or current.tag not in engine.reservations:
                return False
            current = self.sources.get(current)
        return True

    def fail_streams(self, engines: Engines) -> None:
        """Fail the streams whose chain has lost a segment."""
        for segment, stream_id in tuple(self.streams.items()):
            if not self.is_complete(segment, engines):
                self.streams.pop(segment)
                engines[segment.target].fail_stream(stream_id)
