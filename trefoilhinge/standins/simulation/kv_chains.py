"""Chains of KV segments over several engines, as the engines record them."""

from attrs import define, field, frozen

from trefoilhinge.core.identifiers import ReservationTag, StreamId, TargetName
from trefoilhinge.standins.simulation.engine import FakeEngine

Engines = dict[TargetName, FakeEngine]


@frozen
class Link:
    """One segment of a chain: memory held under a tag at an engine."""

    target: TargetName
    tag: ReservationTag


@define
class KvChains:
    """Which segment was imported over which, and which streams need them.

    :ivar sources: segment that each segment was imported from.
    :ivar streams: streams that decode over a chain, by its last segment.
    """

    sources: dict[Link, Link] = field(factory=dict)
    streams: dict[Link, StreamId] = field(factory=dict)

    def format_handle(self, link: Link) -> str:
        """Return an engine's name of an export."""
        return f'{link.target}:{link.tag}'

    def note_import(self, link: Link, handle: str) -> None:
        """Record that a segment stands on the one that was exported."""
        target, _, tag = handle.partition(':')
        self.sources[link] = Link(TargetName(target), ReservationTag(tag))

    def is_whole(self, link: Link, engines: Engines) -> bool:
        """Return whether every segment of a chain is still held."""
        at: Link | None = link
        while at is not None:
            engine = engines[at.target]
            if engine.dead or at.tag not in engine.holdings:
                return False
            at = self.sources.get(at)
        return True

    def fail_streams(self, engines: Engines) -> None:
        """End the streams whose chain has lost a segment."""
        for link, stream_id in tuple(self.streams.items()):
            if not self.is_whole(link, engines):
                self.streams.pop(link)
                engines[link.target].lose_stream(stream_id)
