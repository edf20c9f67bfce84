"""Holds the document in force: only a valid and newer one replaces it."""

from collections import OrderedDict

from trefoilhinge.conf.document import digest_text, parse_document
from trefoilhinge.conf.generated.document import Document
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.effects import Effect, LogEvent

JUDGED_DIGESTS = 64


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
        # A text that was judged once is never worth reading again: what was
        # invalid or older stays so.
        self._judged: OrderedDict[str, None] = OrderedDict()

    def offer(self, text: str, source: str, now: Instant) -> tuple[Effect, ...]:
        """Accept a document if it is valid and newer.

        :param text: JSON text.
        :param source: where it came from, for the log.
        """
        if text == self.text:
            return ()
        digest = digest_text(text)
        if digest in self._judged:
            return ()
        self._note_judged(digest)
        parsed = parse_document(text)
        if parsed.is_error():
            fields = (('source', source), ('problem', str(parsed.error[0])))
            return (LogEvent('document_refused', fields),)
        return self._compare(text, digest, parsed.ok, source)

    def _compare(
        self,
        text: str,
        digest: str,
        document: Document,
        source: str,
    ) -> tuple[Effect, ...]:
        revision = document.revision
        clash = revision == self.revision
        if (revision, digest) > (self.revision, self.digest):
            self.document = document
            self.text = text
            self.revision = revision
            self.digest = digest
            name = 'document_accepted'
        elif clash:
            name = 'document_kept'
        else:
            name = 'document_stale'
        fields = (
            ('source', source),
            ('revision', str(revision)),
            ('digest', digest[:12]),
            ('in_force', str(self.revision)),
        )
        effects = (LogEvent(name, fields),)
        if clash:
            # Two documents of one revision are an operator's error.
            return (LogEvent('document_clash', fields), *effects)
        return effects

    def _note_judged(self, digest: str) -> None:
        self._judged[digest] = None
        while len(self._judged) > JUDGED_DIGESTS:
            self._judged.popitem(last=False)
