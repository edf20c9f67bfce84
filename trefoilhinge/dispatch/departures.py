"""Evidence that incarnations of targets take no new calls."""

from attrs import define, field, frozen

Incarnation = tuple[str, int]

# Older departures are forgotten; their entries are gone from the store.
MAXIMUM_DEPARTURES = 4_000


@frozen
class Departure:
    """Evidence that one incarnation takes no new calls.

    :ivar is_final: whether the target itself said so. Otherwise its entry was
        not in the store: it has left, or it is alive and was cut off from the
        store.
    :ivar revision: revision of the store that shows it.
    :ivar sequence: last known sequence of the target, none if unknown.
    """

    is_final: bool
    revision: int
    sequence: int | None = None

    def overrules(self, other: 'Departure') -> bool:
        """Return whether this evidence of one incarnation is the stronger."""
        return (self.is_final, self.revision) > (other.is_final, other.revision)


@define
class DepartureTable:
    """Departures by incarnation, and what takes them back.

    An entry that was written after the departure shows that the target is
    alive and reaches the store. A departure that the target announced is not
    taken back.

    :ivar departures: by target name and start.
    :ivar history_began: smallest revision of the store's present history. A
        store that was restored from a copy has entries that were written
        before departures of the earlier history.
    """

    departures: dict[Incarnation, Departure] = field(factory=dict)
    history_began: int = 0

    def record(self, incarnation: Incarnation, departure: Departure) -> bool:
        """Record a departure; return whether there was none yet."""
        known = self.departures.get(incarnation)
        if known is None or departure.overrules(known):
            self.departures[incarnation] = departure
        if len(self.departures) > MAXIMUM_DEPARTURES:
            self.departures.pop(next(iter(self.departures)))
        return known is None

    def apply_entry(
        self, incarnation: Incarnation, revision: int, sequence: int
    ) -> None:
        """Take a departure back if an entry was written after it."""
        known = self.departures.get(incarnation)
        if known is None or known.is_final:
            return
        if self.is_later(revision, known.revision) or (
            known.revision < self.history_began
            and known.sequence is not None
            and sequence > known.sequence
        ):
            self.departures.pop(incarnation)

    def is_later(self, revision: int, other: int) -> bool:
        """Return whether a revision is later than one of the same history."""
        return self.history_began <= other < revision
