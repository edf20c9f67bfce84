"""What a node needs of configuration: the document in force."""

from typing import Protocol

from trefoilhinge.conf.generated.document import Document
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.effects import Effect


class DocumentReplica(Protocol):
    """Holds the document in force and never goes back."""

    @property
    def document(self) -> Document | None:
        """Return the document in force, none before the first."""
        ...

    @property
    def text(self) -> str:
        """Return the document in force as JSON text."""
        ...

    @property
    def revision(self) -> int:
        """Return the revision in force, zero before the first."""
        ...

    @property
    def digest(self) -> str:
        """Return the digest of the document in force."""
        ...

    def merge_text(
        self, text: str, source: str, now: Instant
    ) -> tuple[Effect, ...]:
        """Accept a document if it is valid and newer; log what was done."""
        ...

    def merge_deltas(
        self,
        text: str,
        source: str,
        now: Instant,
    ) -> tuple[Effect, ...]:
        """Accept the document that deltas lead to; log what was done."""
        ...

    def find_deltas(self, base: str) -> str:
        """Return deltas from a digest as JSON text, empty if unknown."""
        ...

    def is_refused(self, digest: str) -> bool:
        """Return whether a document was found invalid here."""
        ...

    @property
    def refused_digest(self) -> str:
        """Return the digest of the document last found invalid."""
        ...
