"""Interface of the reconciler of targets, as used by a node."""

from typing import Protocol

from trefoilhinge.conf.generated.document import Document
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.effects import Effect
from trefoilhinge.core.events import EngineStateRead, OrderAnswered
from trefoilhinge.core.identifiers import InstanceIdentity
from trefoilhinge.membership.interfaces import TargetView


class Reconciler(Protocol):
    """Drives targets towards the desired state of the document."""

    def configure(self, document: Document, now: Instant) -> None:
        """Apply a document that is now in force."""
        ...

    def note_state(
        self,
        event: EngineStateRead,
        now: Instant,
    ) -> tuple[Effect, ...]:
        """Record the state of a target and order missing changes."""
        ...

    def note_answer(
        self,
        event: OrderAnswered,
        now: Instant,
    ) -> tuple[Effect, ...]:
        """Record the answer of a target to an order."""
        ...

    def reconcile(
        self,
        live: frozenset[InstanceIdentity],
        expected: int,
        targets: tuple[TargetView, ...],
        now: Instant,
    ) -> tuple[Effect, ...]:
        """Return reads of the states that are due.

        :param live: instances heard from, this one included.
        :param expected: expected number of instances.
        :param targets: all engines of the fleet.
        """
        ...

    def note_pause(self, now: Instant) -> None:
        """Invalidate every lease after a pause of this process."""
        ...
