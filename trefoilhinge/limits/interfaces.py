"""What a node needs of limits: admission and the queue."""

from collections.abc import Iterable
from typing import Protocol

from trefoilhinge.conf.generated.document import Document
from trefoilhinge.conf.generated.messages import DemandWord
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.identifiers import InstanceName, RequestId
from trefoilhinge.core.profiles import CallProfile
from trefoilhinge.core.verdicts import Refusal, Verdict


class Limiter(Protocol):
    """Admits calls by organisation and orders those that wait."""

    def configure(self, document: Document) -> None:
        """Take a document that is now in force."""
        ...

    def admit(
        self,
        profile: CallProfile,
        wait_s: float,
        now: Instant,
    ) -> Refusal | None:
        """Charge the organisation and queue the call, or refuse it.

        :param wait_s: estimated seconds to the first token once placed.
        """
        ...

    def requeue(self, profile: CallProfile, now: Instant) -> None:
        """Queue an admitted call again, ahead of new ones."""
        ...

    def list_ready(self, now: Instant) -> Iterable[CallProfile]:
        """Yield queued calls, the one to place first in front."""
        ...

    def remove(self, request_id: RequestId) -> None:
        """Take a call out of the queue; no error if it is not there."""
        ...

    def settle(
        self,
        profile: CallProfile,
        verdict: Verdict,
        tokens: int,
        now: Instant,
    ) -> None:
        """Correct a call's charge by the tokens it really took."""
        ...

    def note_peer_demands(
        self,
        peer: InstanceName,
        demands: tuple[DemandWord, ...],
        now: Instant,
    ) -> None:
        """Take a peer's word of what organisations ask for there."""
        ...

    def note_peers(
        self,
        live: frozenset[InstanceName],
        expected: int,
        now: Instant,
    ) -> None:
        """Take which peers are heard from, and how many there should be."""
        ...

    def list_demands(self, limit: int, now: Instant) -> tuple[DemandWord, ...]:
        """Return at most ``limit`` demands of this instance for a peer."""
        ...

    def count_queued(self) -> int:
        """Return how many calls wait."""
        ...
