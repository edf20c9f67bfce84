"""What a node needs of orders: the steward of targets."""

from typing import Protocol

from trefoilhinge.conf.generated.document import Document
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.effects import Effect
from trefoilhinge.core.events import EngineStateRead, OrderAnswered
from trefoilhinge.core.identifiers import InstanceIdentity
from trefoilhinge.membership.interfaces import TargetView


class Reconciler(Protocol):
    """Brings targets to the state that the document asks for."""

    def configure(self, document: Document, now: Instant) -> None:
        """Take a document that is now in force."""
        ...

    def note_state(
        self,
        event: EngineStateRead,
        now: Instant,
    ) -> tuple[Effect, ...]:
        """Take a target's state and order what is missing."""
        ...

    def note_answer(
        self,
        event: OrderAnswered,
        now: Instant,
    ) -> tuple[Effect, ...]:
        """Take a target's answer to an order."""
        ...

    def reconcile(
        self,
        live: frozenset[InstanceIdentity],
        expected: int,
        targets: tuple[TargetView, ...],
        now: Instant,
    ) -> tuple[Effect, ...]:
        """Read states that are due and send orders that are due.

        :param expected: how many instances there should be.
        """
        ...

    def note_pause(self, now: Instant) -> None:
        """Treat every lease as lost: this process was paused."""
        ...
