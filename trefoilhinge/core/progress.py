"""Progress of one answer: which events of which stream are passed on."""

import enum

from attrs import define

from trefoilhinge.core.identifiers import AttemptId
from trefoilhinge.core.lines import StreamEvent


class ProgressStep(enum.Enum):
    """What is to be done with one event of a target's stream."""

    RELAY = enum.auto()
    REPEATED = enum.auto()
    GAP = enum.auto()
    FINISHED = enum.auto()
    FOREIGN = enum.auto()


@define
class AnswerProgress:
    """Takes events of one attempt in order, each once.

    :ivar attempt: attempt whose events are taken, none before the first.
    :ivar taken: events taken so far, which is the next offset.
    :ivar whole: whether the finish marker was taken.
    """

    attempt: AttemptId | None = None
    taken: int = 0
    whole: bool = False

    def begin(self, attempt: AttemptId) -> None:
        """Start over with a new attempt."""
        self.attempt = attempt
        self.taken = 0
        self.whole = False

    def take(self, attempt: AttemptId, event: StreamEvent) -> ProgressStep:
        """Decide on one event.

        :param attempt: attempt that the event was read for.
        :param event: the event, with the stream and offset it claims.
        """
        if attempt != self.attempt or self.whole:
            return ProgressStep.REPEATED
        if event.stream_id != str(attempt):
            return ProgressStep.FOREIGN
        if event.offset < self.taken:
            return ProgressStep.REPEATED
        if event.offset > self.taken:
            return ProgressStep.GAP
        self.taken += 1
        if event.is_finish_marker:
            self.whole = True
            return ProgressStep.FINISHED
        return ProgressStep.RELAY
