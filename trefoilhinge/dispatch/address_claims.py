"""Which of several entries with one address belongs to the target there.

An address is used again by another target after the first one has ended, whose
entry stays for some seconds. An entry may also name the address of a living
target by mistake. A target refuses a call that names another one, without
running it.
"""

from collections.abc import Iterable, Sequence
from typing import Protocol, TypeVar

from attrs import define, field

from trefoilhinge.dispatch.departures import Incarnation

INITIAL_REFUTED_S = 2.0  # doubles with each refusal, up to the maximum
MAXIMUM_REFUTED_S = 60.0


class Claim(Protocol):
    """An entry that names an address."""

    @property
    def incarnation(self) -> Incarnation:
        """Return the name and the start."""

    @property
    def started_ms(self) -> int:
        """Return wall-clock milliseconds of the start."""

    @property
    def revision(self) -> int:
        """Return the revision of the store that has the entry."""


Record = TypeVar('Record', bound=Claim)


@define
class _Refutation:
    duration_s: float
    until_s: float
    is_active: bool = True


@define
class AddressClaims:
    """Evidence for and against entries that share an address.

    An entry that another one with a later start follows counts as outdated
    until its target has written it again, or has answered a call, after the
    other one was seen first. An entry whose name the target at the address has
    refused is not used for a time, unless that leaves none.

    :ivar revision: latest revision of the store of any entry.
    """

    revision: int = 0
    _first_revisions: dict[Incarnation, int] = field(factory=dict)
    _answered: dict[Incarnation, int] = field(factory=dict)
    _refuted: dict[Incarnation, _Refutation] = field(factory=dict)

    def record_entry(self, claim: Claim) -> None:
        """Record that an entry was read."""
        self.revision = max(self.revision, claim.revision)
        self._first_revisions.setdefault(claim.incarnation, claim.revision)

    def record_answer(self, claim: Claim) -> None:
        """Record that a target took a call under the name of its entry."""
        # Later than all entries that were read, earlier than the next one.
        self._answered[claim.incarnation] = self.revision + 1
        self._refuted.pop(claim.incarnation, None)

    def refute(self, claim: Claim, now_s: float) -> bool:
        """Record that the target at the address has another name.

        :return: whether it was not known.
        """
        known = self._refuted.get(claim.incarnation)
        if known is not None and known.is_active:
            return False
        duration_s = INITIAL_REFUTED_S
        if known is not None:
            duration_s = min(MAXIMUM_REFUTED_S, known.duration_s * 2)
        self._refuted[claim.incarnation] = _Refutation(
            duration_s, now_s + duration_s
        )
        return True

    def expire(self, incarnations: Iterable[Incarnation], now_s: float) -> None:
        """Use refuted entries again whose time is over.

        :param incarnations: those of all entries; others are forgotten.
        """
        kept = set(incarnations)
        for known in (self._first_revisions, self._answered, self._refuted):
            for gone in known.keys() - kept:
                known.pop(gone)
        for refutation in self._refuted.values():
            if refutation.until_s <= now_s:
                refutation.is_active = False

    def select(
        self, claims: Sequence[Record], *, has_outdated: bool = False
    ) -> list[Record]:
        """Return the entries of one address that may belong to its target.

        If all are refuted, the least often refuted one is returned.

        :param claims: at least one.
        :param has_outdated: whether outdated entries are returned as well.
        """
        if len(claims) == 1:
            return list(claims)
        left = [claim for claim in claims if not self._is_refuted(claim)]
        if not left:
            return [min(claims, key=self._rank_refuted)]
        return [
            claim
            for claim in left
            if has_outdated
            or not any(self._is_outdated(claim, other) for other in left)
        ]

    def _is_refuted(self, claim: Claim) -> bool:
        refutation = self._refuted.get(claim.incarnation)
        return refutation is not None and refutation.is_active

    def _rank_refuted(self, claim: Claim) -> tuple[float, int]:
        duration_s = self._refuted[claim.incarnation].duration_s
        return duration_s, -claim.started_ms

    def _is_outdated(self, claim: Claim, other: Claim) -> bool:
        """Return whether an entry was not confirmed since another began."""
        if other.started_ms <= claim.started_ms:
            return False
        alive = max(claim.revision, self._answered.get(claim.incarnation, 0))
        return alive <= self._first_revisions.get(other.incarnation, 0)
