"""Failure domains that the operator has evacuated."""

from collections.abc import Iterable

from attrs import define, field, frozen

# Bounds the state. Removals are forgotten first.
MAXIMUM_MARKS = 256
MAXIMUM_DOMAIN_LENGTH = 256  # so that an announcement fits one packet
REPEATED_REMOVAL_S = 60.0  # for which a removal is told again


@frozen
class DomainMark:
    """What the store says of one failure domain as of one revision.

    :ivar is_evacuated: whether nothing new may be sent there.
    :ivar revision: revision at which the mark was written or removed, or at
        which a complete list lacked it.
    """

    domain: str
    is_evacuated: bool
    revision: int


@define
class EvacuationTable:
    """Marks of failure domains, each as of the latest known revision.

    A mark stands until a later revision shows its removal, however long the
    store is away. Revisions of a restored store are larger than all before.

    :ivar complete_revision: revision up to which all changes of marks are
        known; a domain without a mark was not evacuated then.
    """

    complete_revision: int = 0
    _marks: dict[str, DomainMark] = field(factory=dict)
    _changed_s: dict[str, float] = field(factory=dict)

    def apply(self, mark: DomainMark, now_s: float) -> bool:
        """Apply a mark or a removal unless it is outdated.

        :return: whether the domain is newly evacuated, or no longer.
        """
        known = self._marks.get(mark.domain)
        if known is None:
            if mark.revision <= self.complete_revision:
                return False
            if not mark.is_evacuated:
                return False
        elif mark.revision <= known.revision:
            return False
        self._marks[mark.domain] = mark
        self._changed_s[mark.domain] = now_s
        self._limit()
        return known is None or known.is_evacuated != mark.is_evacuated

    def apply_complete(
        self, marks: Iterable[DomainMark], revision: int, now_s: float
    ) -> list[DomainMark]:
        """Apply all marks that stand at a revision.

        A known mark that is missing and not later was removed.

        :param revision: revision of the store before the marks were read.
        :return: the marks that changed.
        """
        standing = {mark.domain: mark for mark in marks}
        found = list(standing.values())
        found.extend(
            DomainMark(known.domain, is_evacuated=False, revision=revision)
            for known in self._marks.values()
            if known.is_evacuated and known.domain not in standing
        )
        changed = [mark for mark in found if self.apply(mark, now_s)]
        self.record_read(revision)
        return changed

    def record_read(self, revision: int) -> None:
        """Record that all changes up to a revision were applied."""
        self.complete_revision = max(self.complete_revision, revision)

    def is_evacuated(self, domain: str) -> bool:
        """Return whether nothing new may be sent to a failure domain."""
        mark = self._marks.get(domain)
        return mark is not None and mark.is_evacuated

    def list_evacuated(self) -> list[DomainMark]:
        """Return the marks that stand."""
        return [mark for mark in self._marks.values() if mark.is_evacuated]

    def list_known(self) -> list[DomainMark]:
        """Return all marks and removals."""
        return list(self._marks.values())

    def list_repeated(self, now_s: float) -> list[DomainMark]:
        """Return what other instances are told again, by domain."""
        return [
            mark
            for _, mark in sorted(self._marks.items())
            if mark.is_evacuated
            or now_s - self._changed_s[mark.domain] < REPEATED_REMOVAL_S
        ]

    def _limit(self) -> None:
        """Forget the mark that changed first; one that stands is kept longer.

        A forged list of domains must not fill the memory.
        """
        if len(self._marks) <= MAXIMUM_MARKS:
            return
        oldest = min(
            self._marks.values(),
            key=lambda mark: (mark.is_evacuated, self._changed_s[mark.domain]),
        )
        self._marks.pop(oldest.domain)
        self._changed_s.pop(oldest.domain)
