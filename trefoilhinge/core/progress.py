"""Progress of one answer: which events of which stream are passed on."""

import enum

from attrs import define

from trefoilhinge.core.identifiers import AttemptId
from trefoilhinge.core.sse import StreamEvent


class EventDisposition(enum.Enum):
    """What is to be done with one event of a target's stream."""

    RELAY = enum.auto()
    DUPLICATE = enum.auto()
    GAP = enum.auto()
    FINISHED = enum.auto()
    WRONG_STREAM = enum.auto()


@define
class AnswerProgress:
    """Takes events of one attempt in order, each once.

    :ivar attempt: attempt whose events are taken, none before the first.
    :ivar taken: events taken so far, which is the next offset.
    :ivar whole: whether the finish marker was taken.
    """

    attempt: AttemptId | None = None
    next_offset: int = 0
    is_complete: bool = False

    def restart(self, attempt: AttemptId) -> None:
        """Start over with a new attempt."""
        self.attempt = attempt
        self.next_offset = 0
        self.is_complete = False

    def accept(
        self, attempt: AttemptId, event: StreamEvent
    ) -> EventDisposition:
        """Decide on one event.

        :param attempt: attempt that the event was read for.
        :param event: the event, with the stream and offset it claims.
        """
        if attempt != self.attempt or self.is_complete:
            return EventDisposition.DUPLICATE
        if event.stream_id != str(attempt):
            return EventDisposition.WRONG_STREAM
        if event.offset < self.next_offset:
            return EventDisposition.DUPLICATE
        if event.offset > self.next_offset:
            return EventDisposition.GAP
        self.next_offset += 1
        if event.is_finish_marker:
            self.is_complete = True
            return EventDisposition.FINISHED
        return EventDisposition.RELAY
