"""Holds the document in force: only a valid and newer one replaces it."""

from trefoilhinge.conf.document import digest_text, parse_document
from trefoilhinge.conf.generated.document import Document
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.effects import Effect, LogEvent


class NewestDocumentKeeper:
    """Keeps the newest valid document that was ever offered.

    Two documents of one revision are ordered by digest, so that every
    instance settles on the same one.
    """

    def __init__(self) -> None:
        """Start without a document."""
        self.document: Document | None = None
        self.text = ''
        self.revision = 0
        self.digest = ''

    def offer(self, text: str, source: str, now: Instant) -> tuple[Effect, ...]:
        """Accept a document if it is valid and newer.

        :param text: JSON text.
        :param source: where it came from, for the log.
        """
        if text == self.text:
            return ()
        parsed = parse_document(text)
        if parsed.is_error():
            fields = (('source', source), ('problem', str(parsed.error[0])))
            return (LogEvent('document_refused', fields),)
        document = parsed.ok
        digest = digest_text(text)
        rank = (document.revision, digest)
        if rank <= (self.revision, self.digest):
            return ()
        clash = document.revision == self.revision
        self.document = document
        self.text = text
        self.revision = document.revision
        self.digest = digest
        name = 'document_clash' if clash else 'document_accepted'
        fields = (('source', source), ('revision', str(document.revision)))
        return (LogEvent(name, fields),)
