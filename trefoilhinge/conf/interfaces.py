"""Interface of the document replica that a node uses."""

from typing import Protocol

from trefoilhinge.conf.generated.document import Document
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.effects import Effect


class DocumentReplica(Protocol):
    """Replica of the document, whose revision never decreases."""

    @property
    def document(self) -> Document | None:
        """Return the document in force, ``None`` before the first one."""
        ...

    @property
    def text(self) -> str:
        """Return the document in force as JSON text."""
        ...

    @property
    def revision(self) -> int:
        """Return the revision in force, zero before the first document."""
        ...

    @property
    def digest(self) -> str:
        """Return the digest of the document in force."""
        ...

    def merge_text(
        self, text: str, source: str, now: Instant
    ) -> tuple[Effect, ...]:
        """Accept a document if it is valid and newer; log the outcome."""
        ...

    def merge_deltas(
        self,
        text: str,
        source: str,
        now: Instant,
    ) -> tuple[Effect, ...]:
        """Accept the document that results from deltas; log the outcome."""
        ...

    def find_deltas(self, base: str) -> str:
        """Return deltas from a digest as JSON text, empty if none are known."""
        ...

    def is_refused(self, digest: str) -> bool:
        """Return whether a document was rejected as invalid here."""
        ...

    @property
    def refused_digest(self) -> str:
        """Return the digest of the last document rejected as invalid."""
        ...
