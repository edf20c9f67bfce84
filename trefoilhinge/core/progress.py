"""Progress of a response: which events of a stream are relayed."""

import enum

from attrs import define

from trefoilhinge.core.identifiers import AttemptId
from trefoilhinge.core.sse import StreamEvent


class EventDisposition(enum.Enum):
    """How to handle an event of a target's stream."""

    RELAY = enum.auto()
    DUPLICATE = enum.auto()
    GAP = enum.auto()
    FINISHED = enum.auto()
    WRONG_STREAM = enum.auto()


@define
class AnswerProgress:
    """Accepts the events of one attempt in order, each exactly once.

    :ivar attempt: current attempt, none before the first.
    :ivar next_offset: offset of the next event, equal to the number of events
        accepted.
    :ivar is_complete: whether the finish marker was accepted.
    """

    attempt: AttemptId | None = None
    next_offset: int = 0
    is_complete: bool = False

    def restart(self, attempt: AttemptId) -> None:
        """Reset the progress for a new attempt."""
        self.attempt = attempt
        self.next_offset = 0
        self.is_complete = False

    def accept(
        self, attempt: AttemptId, event: StreamEvent
    ) -> EventDisposition:
        """Classify an event and advance if it is the next one.

        :param attempt: attempt whose connection the event was read from.
        :param event: event with the stream ID and offset sent by the target.
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
