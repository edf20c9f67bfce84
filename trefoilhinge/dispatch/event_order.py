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
    :ivar has_gaps: whether its numbers mostly grow by more than one.
    :ivar doubted: number that a run held back next; none if there is none.
    """

    last_event: int | None = None
    is_proven: bool = True
    has_gaps: bool = False
    doubted: int | None = None


@define
class EventRun:
    """The events of one run.

    Numbers may have gaps, and the first one need not be ``FIRST_NUMBER``; but
    a wrong number looks like a gap as well. An event after a gap is held back
    until the next one: after a number that is too large comes one that is not
    greater. Once two gaps follow each other nothing is held back. Another run
    goes on only after a number that follows the one before it.

    Where a run goes on with an answer, a gap may be events that are lost, and
    breaks it, unless the run before held back the same number.

    :ivar has_events: whether there was an event.
    """

    _position: StreamPosition
    _is_continued: bool
    _is_resumable: bool
    has_events: bool = False
    _previous: int | None = None
    _proven: int | None = None
    _held: StreamEvent | None = None
    _is_unnumbered: bool = False
    _has_new: bool = False
    _has_gaps: bool = field(init=False)
    _is_stuck: bool = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Take over what earlier runs showed."""
        self._has_gaps = self._position.has_gaps
        self._is_stuck = self._is_continued and not self._position.is_proven

    @property
    def held_bytes(self) -> int:
        """Return the size of the event that is held back."""
        return 0 if self._held is None else len(self._held.content)

    def select(self, events: Iterable[StreamEvent]) -> list[StreamEvent]:
        """Return the events that are to be written to the caller.

        :param events: those of one read, complete.
        :raises EventsMisnumbered: a number is wrong. No event of the read may
            be used then, nor any that follows.
        """
        selected: list[StreamEvent] = []
        for event in events:
            if self._is_next(event.number):
                self._previous = event.number
                self._proven = event.number
                selected.append(event)
            elif event.is_comment:
                selected.append(event)
            else:
                selected.extend(self._select_other(event))
        return selected

    def record_written(self, events: Iterable[StreamEvent]) -> None:
        """Record that selected events were written to the caller."""
        position = self._position
        position.has_gaps = self._has_gaps
        for event in events:
            if event.is_comment:
                continue
            position.is_proven = (
                event.number is not None and event.number == self._proven
            )
            if event.number is not None:
                position.last_event = event.number
                position.doubted = self._held.number if self._held else None

    def check_end(self) -> None:
        """Check that the run may end here.

        :raises EventsMisnumbered: it may lack events.
        """
        if self._is_stuck:
            raise EventsMisnumbered('nothing proves that no event is missing')
        if self._held is not None:
            raise EventsMisnumbered(
                f'ended with event {self._previous}, after a gap'
            )
        if self._previous is not None and not self._has_new:
            raise EventsMisnumbered(
                f'ended with event {self._previous}, which the caller has'
            )

    def _is_next(self, number: int | None) -> bool:
        """Return whether an event follows the one that was passed before it.

        Most do, so that this is decided first.
        """
        return (
            number is not None
            and self._has_new
            and self._held is None
            and number - 1 == self._previous
        )

    def _select_other(self, event: StreamEvent) -> list[StreamEvent]:
        self._check(event)
        self.has_events = True
        if event.number is None:
            self._is_unnumbered = True
            return [event]
        return self._accept(event, event.number)

    def _check(self, event: StreamEvent) -> None:
        """Check a number against those before it.

        :raises EventsMisnumbered: it is not greater, or cannot be read; or only
            some events of the stream have numbers.
        """
        problem = self._find_problem(event, self._find_before())
        if problem:
            self._position.doubted = None
            if event.number == self._previous == FIRST_NUMBER:
                # The first event of a stream that begins with 0 may be wrong.
                self._position.is_proven = False
            raise EventsMisnumbered(problem)

    def _find_problem(self, event: StreamEvent, before: int) -> str:
        """Return why an event cannot follow another one; empty if it can."""
        if event.is_malformed:
            return f'unreadable number after event {before}'
        is_begun = self._previous is not None or self._is_continued
        if self._previous is None and self._is_stuck:
            return f'no place to go on from after event {before}'
        if event.number is None:
            is_numbered = is_begun or before >= FIRST_NUMBER
            return f'no number after event {before}' if is_numbered else ''
        if self._is_unnumbered:
            return f'event {event.number} after one without a number'
        if self._previous is not None and event.number <= before:
            return f'event {event.number} after event {before}'
        return ''

    def _find_before(self) -> int:
        """Return the number of the event before the next one."""
        if self._previous is not None:
            return self._previous
        last = self._position.last_event
        return FIRST_NUMBER - 1 if last is None else last

    def _accept(self, event: StreamEvent, number: int) -> list[StreamEvent]:
        """Return the events that this one allows to be written.

        :param number: its number, greater than those before it in the run.
        :raises EventsMisnumbered: it does not go on where the caller is.
        """
        before = self._find_before()
        is_repeating = self._previous is not None and not self._has_new
        self._previous = number
        last = self._position.last_event
        if last is not None and number <= last:
            return []
        is_confirmed = not self._has_new and number == self._position.doubted
        if number == before + 1 or is_confirmed:
            self._proven = number
        elif not self._has_new and (self._is_continued or is_repeating):
            raise EventsMisnumbered(f'event {number} after event {before}')
        self._has_new = True
        return self._release(event, is_proven=number == self._proven)

    def _release(
        self, event: StreamEvent, *, is_proven: bool
    ) -> list[StreamEvent]:
        """Return an event and the one before it, or hold the event back."""
        released = [event] if self._held is None else [self._held, event]
        if self._held is not None and not is_proven:
            self._has_gaps = True
        self._held = None
        if is_proven or self._has_gaps or not self._is_resumable:
            return released
        self._held = event
        self._position.doubted = event.number
        return []
