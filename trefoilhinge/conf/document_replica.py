"""Replica of the configuration document at one instance."""

from collections import OrderedDict

from trefoilhinge.conf.deltas import (
    DeltaHistory,
    apply_delta,
    canonicalise_text,
    decode_deltas,
    encode_deltas,
)
from trefoilhinge.conf.document import digest_text, parse_document
from trefoilhinge.conf.generated.document import Document
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.effects import Effect, LogEvent

MAXIMUM_VALIDATED_DIGESTS = 64


class NewestDocumentReplica:
    """Replica that keeps the newest valid document ever received.

    Documents of the same revision are ordered by digest, so that all
    instances converge on the same one. The text is stored in canonical form,
    so that deltas apply at every instance.
    """

    def __init__(self) -> None:
        """Start without a document."""
        self.document: Document | None = None
        self.text = ''
        self.revision = 0
        self.digest = ''
        self.refused_digest = ''
        self._history = DeltaHistory()
        # A text that was validated once need not be parsed again: an invalid
        # or older document stays so.
        self._validity_by_digest: OrderedDict[str, bool] = OrderedDict()

    def merge_text(
        self, text: str, source: str, now: Instant
    ) -> tuple[Effect, ...]:
        """Accept a document if it is valid and newer.

        :param text: JSON text.
        :param source: origin of the document, for the log.
        """
        if text == self.text:
            return ()
        digest = digest_text(text)
        if digest in self._validity_by_digest:
            return ()
        document, effects = self._validate(text, digest, source)
        if document is None:
            return effects
        canonical = canonicalise_text(text)
        previous_text = self.text
        effects = self._replace_if_newer(canonical, document, source)
        if self.text != previous_text:
            self._history.append_change(previous_text, self.text)
        return effects

    def merge_deltas(
        self,
        text: str,
        source: str,
        now: Instant,
    ) -> tuple[Effect, ...]:
        """Accept the document that results from deltas to the one in force.

        :param text: JSON text of the deltas, in order.
        """
        read = decode_deltas(text)
        if read.is_error():
            return (_log_refused_deltas(source, read.error),)
        merged = self.text
        for delta in read.ok:
            applied = apply_delta(merged, delta)
            if applied.is_error():
                return (_log_refused_deltas(source, applied.error),)
            merged = applied.ok
        digest = digest_text(merged)
        if digest in self._validity_by_digest:
            return ()
        document, effects = self._validate(merged, digest, source)
        if document is None:
            return effects
        # The result of deltas is already canonical.
        effects = self._replace_if_newer(merged, document, source)
        if self.text == merged:
            self._history.append_deltas(read.ok)
        return effects

    def find_deltas(self, base: str) -> str:
        """Return the deltas from a digest to the document in force.

        :return: JSON text; empty if the history has no such digest, or if the
            deltas are not shorter than the document.
        """
        chain = self._history.find_chain(base)
        text = encode_deltas(chain) if chain else ''
        return text if len(text) < len(self.text) else ''

    def is_refused(self, digest: str) -> bool:
        """Return whether a document was rejected as invalid here."""
        return not self._validity_by_digest.get(digest, True)

    def _validate(
        self,
        text: str,
        digest: str,
        source: str,
    ) -> tuple[Document | None, tuple[Effect, ...]]:
        parsed = parse_document(text)
        self._remember_validity(digest, parsed.is_ok())
        if parsed.is_ok():
            return parsed.ok, ()
        self.refused_digest = digest
        fields = (('source', source), ('problem', str(parsed.error[0])))
        return None, (LogEvent('document_refused', fields),)

    def _replace_if_newer(
        self,
        text: str,
        document: Document,
        source: str,
    ) -> tuple[Effect, ...]:
        revision = document.revision
        digest = digest_text(text)
        if (revision, digest) == (self.revision, self.digest):
            return ()
        is_conflict = revision == self.revision
        if (revision, digest) > (self.revision, self.digest):
            self.document = document
            self.text = text
            self.revision = revision
            self.digest = digest
            event_name = 'document_accepted'
        else:
            event_name = 'document_kept'
        fields = (
            ('source', source),
            ('revision', str(revision)),
            ('digest', digest),
            ('in_force', str(self.revision)),
        )
        effects = (LogEvent(event_name, fields),)
        if is_conflict:
            # Different documents with one revision are an operator's mistake.
            return (LogEvent('document_clash', fields), *effects)
        return effects

    def _remember_validity(self, digest: str, valid: bool) -> None:
        self._validity_by_digest[digest] = valid
        while len(self._validity_by_digest) > MAXIMUM_VALIDATED_DIGESTS:
            self._validity_by_digest.popitem(last=False)


def _log_refused_deltas(source: str, problem: str) -> LogEvent:
    fields = (('source', source), ('problem', problem))
    return LogEvent('deltas_refused', fields)
