"""Interface of membership to a node: targets and the fleet."""

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
    """State of a target, as known to this instance.

    :ivar name: name of the target.
    :ivar address: ``host:port`` of the target.
    :ivar failure_domain: failure domain that the target is in.
    :ivar service: name of its service.
    :ivar leaving: whether any source reported this incarnation as leaving.
    :ivar incarnation: incarnation of the target, zero if unknown.
    """

    name: TargetName
    address: str
    failure_domain: str
    service: str
    leaving: bool = False
    incarnation: int = 0


class Fleet(Protocol):
    """Tracks the instances and targets, and which of them are leaving."""

    def configure(self, document: Document, now: Instant) -> None:
        """Apply a document that is now in force."""
        ...

    def note_listed(self, listed: InstancesListed, now: Instant) -> None:
        """Record the platform's lists, which may be out of date."""
        ...

    def note_leaving(
        self,
        target: TargetName,
        incarnation: int,
        now: Instant,
    ) -> None:
        """Record that an incarnation of a target is leaving."""
        ...

    def note_incarnation(
        self,
        target: TargetName,
        incarnation: int,
        now: Instant,
    ) -> None:
        """Record the incarnation that a target reported."""
        ...

    def list_targets(self, service: str) -> tuple[TargetView, ...]:
        """Return all targets of a service, including leaving ones."""
        ...

    def take_changed_services(self) -> frozenset[str]:
        """Return the services whose targets changed since the last call."""
        ...

    def take_urgent_update(self) -> bool:
        """Return whether there is an update to send to peers at once.

        The next call returns false unless there is a further update.
        """
        ...

    def choose_update_peers(
        self, now: Instant
    ) -> tuple[tuple[InstanceName, str], ...]:
        """Return names and addresses of peers to send an update to."""
        ...

    def list_successors(
        self, now: Instant
    ) -> tuple[tuple[InstanceName, str], ...]:
        """Return live peers that may adopt this instance's ledger."""
        ...

    def note_exchange(self, exchange: PeerExchange, now: Instant) -> bool:
        """Record a peer's message; false if it is out of date."""
        ...

    def note_peer_silent(self, peer: InstanceName, now: Instant) -> None:
        """Record that a peer did not reply."""
        ...

    def choose_peers(
        self, now: Instant
    ) -> tuple[tuple[InstanceName, str], ...]:
        """Return names and addresses of peers to send to in this round."""
        ...

    def is_selected(self, count: int, salt: str, now: Instant) -> bool:
        """Return whether this instance is among ``count`` selected live ones.

        :param salt: text that varies the selection.
        """
        ...

    def list_live(self, now: Instant) -> frozenset[InstanceIdentity]:
        """Return the live instances, including this one."""
        ...

    def count_expected(self) -> int:
        """Return the expected number of instances, including this one."""
        ...

    def find_address(
        self,
        peer: InstanceName,
        incarnation: int,
    ) -> str | None:
        """Return the address of an incarnation, ``None`` if unknown."""
        ...

    def compose_exchange(self, now: Instant) -> PeerExchange:
        """Return a message on known instances and leaving targets."""
        ...

    def note_stopping(self) -> None:
        """Mark this instance as stopping."""
        ...
