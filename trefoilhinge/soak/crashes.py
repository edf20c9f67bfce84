"""Requests that crash the targets which run them, during a soak."""

import random

from attrs import define

from trefoilhinge.platform.standins.formats import ReceivedRequest
from trefoilhinge.soak.event_kinds import CrashKind
from trefoilhinge.soak.records import CallKind, CrashingTrait

# Of the calls of all callers, or of the one that has the request.
PART_SHARE = 0.2
REQUEST_SHARE = 0.5


@define
class CrashSource:
    """What crashes targets at present.

    :ivar key: API key of the caller whose request comes again.
    """

    kind: CrashKind
    trait: CrashingTrait
    key: str

    @property
    def call_kind(self) -> CallKind:
        """Return the kind of the calls that crash targets."""
        if self.kind is CrashKind.part:
            return CallKind.stream
        return CallKind.idempotent

    def draw(self, key: str, random_source: random.Random) -> bool:
        """Draw whether a caller's next call is one that crashes targets."""
        if self.kind is CrashKind.part:
            return random_source.random() < PART_SHARE
        return key == self.key and random_source.random() < REQUEST_SHARE

    def matches(self, path: str, received: ReceivedRequest) -> bool:
        """Return whether a request crashes the target that runs it."""
        if self.kind is CrashKind.part:
            return self.trait.name in received.prompt_parts
        return path.endswith(f'/{self.trait.name}')
