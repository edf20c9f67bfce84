"""What a node needs of membership: targets and the fleet."""

from typing import Protocol

from attrs import frozen

from trefoilhinge.conf.generated.document import Document
from trefoilhinge.conf.generated.messages import PeerExchange
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.events import InstancesListed
from trefoilhinge.core.identifiers import (
    InstanceIdentity,
    InstanceName,
    TargetName,
)


@frozen
class TargetView:
    """A target as this instance sees it.

    :ivar leaving: whether any source said that this incarnation leaves.
    """

    name: TargetName
    address: str
    failure_domain: str
    service: str
    leaving: bool = False
    incarnation: int = 0


class Fleet(Protocol):
    """Knows the instances and targets, and who is leaving."""

    def configure(self, document: Document, now: Instant) -> None:
        """Take a document that is now in force."""
        ...

    def note_listed(self, listed: InstancesListed, now: Instant) -> None:
        """Take the platform's lists, which lag."""
        ...

    def note_leaving(
        self,
        target: TargetName,
        incarnation: int,
        now: Instant,
    ) -> None:
        """Take the word that an incarnation of a target is leaving."""
        ...

    def note_incarnation(
        self,
        target: TargetName,
        incarnation: int,
        now: Instant,
    ) -> None:
        """Take a target's own word of its incarnation."""
        ...

    def list_targets(self, service: str) -> tuple[TargetView, ...]:
        """Return every target of a service, leaving ones marked."""
        ...

    def take_changed_services(self) -> frozenset[str]:
        """Return the services whose targets changed since the last call."""
        ...

    def take_urgent_update(self) -> bool:
        """Return whether something is to be told to peers at once."""
        ...

    def choose_update_peers(
        self, now: Instant
    ) -> tuple[tuple[InstanceName, str], ...]:
        """Return names and addresses of peers to tell news to."""
        ...

    def list_successors(
        self, now: Instant
    ) -> tuple[tuple[InstanceName, str], ...]:
        """Return live peers that may answer for this instance."""
        ...

    def note_exchange(self, exchange: PeerExchange, now: Instant) -> bool:
        """Take a peer's message; false if it is older than one taken."""
        ...

    def note_peer_silent(self, peer: InstanceName, now: Instant) -> None:
        """Take that a peer did not answer."""
        ...

    def choose_peers(
        self, now: Instant
    ) -> tuple[tuple[InstanceName, str], ...]:
        """Return names and addresses of peers to send to now."""
        ...

    def is_chosen(self, count: int, salt: str, now: Instant) -> bool:
        """Return whether this is one of ``count`` live instances by hash."""
        ...

    def list_live(self, now: Instant) -> frozenset[InstanceIdentity]:
        """Return the instances heard from, this one included."""
        ...

    def count_expected(self) -> int:
        """Return how many instances there should be, this one included."""
        ...

    def find_address(
        self,
        peer: InstanceName,
        incarnation: int,
    ) -> str | None:
        """Return the address of one incarnation, none if it is not known."""
        ...

    def compose_exchange(self, now: Instant) -> PeerExchange:
        """Return this instance's word on instances and leaving targets."""
        ...

    def note_stopping(self) -> None:
        """Mark this instance as stopping."""
        ...
