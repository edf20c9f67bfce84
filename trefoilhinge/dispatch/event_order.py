"""Order of a stream's events, over all runs of its call.

Targets number the events of a stream in increasing order. A number says after
which event another run may go on, and which events of that run the caller has,
so one wrong number can lose or repeat an event. It is relied on only where the
events beside it agree.
"""

from collections.abc import Iterable

from attrs import define, field

from trefoilhinge.dispatch.events import StreamEvent
from trefoilhinge.exceptions import TrefoilhingeError

FIRST_NUMBER = 1  # customary; a stream may begin with another one


class EventsMisnumbered(TrefoilhingeError):
    """The numbers of a run's events cannot all be right."""


@define
class StreamPosition:
    """The events of a stream that its caller has.

    :ivar last_event: number of the last event that was written to the caller,
        or after which the caller asked for the stream; none if neither is.
    :ivar is_proven: whether another run may go on after that event.
    """

    last_event: int | None = None
    is_proven: bool = True

    def record_written(self, event: StreamEvent, *, is_proven: bool) -> None:
        """Record that an event was written to the caller."""
        if event.number is not None:
            self.last_event = event.number
        self.is_proven = is_proven


@define
class EventRun:
    """The events of one run.

    The first event of a stream may have any number, but another than
    ``FIRST_NUMBER`` is held until the next event shows that it is right.

    :ivar has_events: whether there was an event.
    """

    _position: StreamPosition
    _is_continued: bool
    has_events: bool = False
    _previous: int | None = None
    _is_unnumbered: bool = False
    _held: list[StreamEvent] = field(factory=list)
    _has_new: bool = False

    def select(self, events: Iterable[StreamEvent]) -> list[StreamEvent]:
        """Return the events that are to be written to the caller.

        :param events: those of one read, complete.
        :raises EventsMisnumbered: a number is wrong. No event of the read may
            be used then, nor any that follows.
        """
        selected: list[StreamEvent] = []
        for event in events:
            selected.extend(self._accept(event))
        return selected

    def record_written(self, events: list[StreamEvent]) -> None:
        """Record that selected events were written to the caller."""
        for event in events:
            self._position.record_written(
                event, is_proven=event.number is not None
            )

    @property
    def held_bytes(self) -> int:
        """Return the size of the events that are held."""
        return sum(len(event.content) for event in self._held)

    def check_end(self) -> None:
        """Check that the run may end here.

        :raises EventsMisnumbered: it may lack events.
        """
        if self._held:
            raise EventsMisnumbered(
                f'the only event has the number {self._previous}'
            )
        if self._previous is not None and not self._has_new:
            raise EventsMisnumbered(
                f'ended with event {self._previous}, which the caller has'
            )

    def _accept(self, event: StreamEvent) -> list[StreamEvent]:
        """Return the events that this one allows to be written.

        :raises EventsMisnumbered: it cannot follow the one before it.
        """
        if event.is_comment:
            return [event]
        self._check(event)
        self.has_events = True
        if event.number is None:
            self._is_unnumbered = True
            return [event]
        last = self._position.last_event
        is_first = self._previous is None
        before = self._find_before()
        self._previous = event.number
        if last is not None and event.number <= last:
            return []
        self._has_new = True
        released = self._held
        self._held = []
        if event.number == before + 1 or released:
            return [*released, event]
        if not is_first or self._is_continued or last is not None:
            raise EventsMisnumbered(
                f'event {event.number} after event {before}'
            )
        self._held = [event]
        return []

    def _find_before(self) -> int:
        """Return the number of the event before the next one."""
        if self._previous is not None:
            return self._previous
        last = self._position.last_event
        return FIRST_NUMBER - 1 if last is None else last

    def _check(self, event: StreamEvent) -> None:
        """Check a number against those before it.

        :raises EventsMisnumbered: it is not greater, or cannot be read; or only
            some events of the stream have numbers.
        """
        problem = self._find_problem(event, self._find_before())
        if problem:
            raise EventsMisnumbered(problem)

    def _find_problem(self, event: StreamEvent, before: int) -> str:
        """Return why an event cannot follow another one; empty if it can."""
        if event.is_malformed:
            return f'unreadable number after event {before}'
        is_begun = self._previous is not None or self._is_continued
        if event.number is None:
            is_numbered = is_begun or before >= FIRST_NUMBER
            return f'no number after event {before}' if is_numbered else ''
        if self._is_unnumbered:
            return f'event {event.number} after one without a number'
        if self._previous is not None and event.number <= before:
            return f'event {event.number} after event {before}'
        return ''
