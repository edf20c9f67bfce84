"""Interface of the limiter to a node: admission and the queue."""

from collections.abc import Iterable
from typing import Protocol

from trefoilhinge.conf.generated.document import Document
from trefoilhinge.conf.generated.messages import DemandWord
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.identifiers import InstanceName, RequestId
from trefoilhinge.core.profiles import CallProfile
from trefoilhinge.core.verdicts import Refusal, Verdict


class Limiter(Protocol):
    """Admits calls by organisation and orders the queued ones."""

    def configure(self, document: Document) -> None:
        """Apply a document that is now in force."""
        ...

    def admit(
        self,
        profile: CallProfile,
        estimated_ttft_s: float,
        now: Instant,
    ) -> Refusal | None:
        """Charge the organisation and queue the call, or refuse it.

        :param estimated_ttft_s: estimated seconds to the first token once
            placed.
        :return: refusal, ``None`` if the call was admitted.
        """
        ...

    def requeue(self, profile: CallProfile, now: Instant) -> None:
        """Queue an admitted call again, ahead of all other calls."""
        ...

    def list_ready(self, now: Instant) -> Iterable[CallProfile]:
        """Yield the queued calls in the order to place them."""
        ...

    def remove(self, request_id: RequestId) -> None:
        """Remove a call from the queue, if it is queued."""
        ...

    def settle(
        self,
        profile: CallProfile,
        verdict: Verdict,
        tokens: int,
        now: Instant,
    ) -> None:
        """Correct a call's charge to the tokens that it used."""
        ...

    def note_peer_demands(
        self,
        peer: InstanceName,
        demands: tuple[DemandWord, ...],
        now: Instant,
    ) -> None:
        """Record the demand of organisations at a peer."""
        ...

    def note_peers(
        self,
        live: frozenset[InstanceName],
        expected: int,
        now: Instant,
    ) -> None:
        """Record which instances are live and how many are expected.

        :param live: instances that were heard from lately, this one included.
        :param expected: expected size of the fleet.
        """
        ...

    def list_demands(self, limit: int, now: Instant) -> tuple[DemandWord, ...]:
        """Return up to ``limit`` demands of this instance to send to a peer."""
        ...

    def count_queued(self) -> int:
        """Return the number of queued calls."""
        ...
