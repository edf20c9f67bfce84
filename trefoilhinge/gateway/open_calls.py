"""Calls that an instance has received and that have not ended."""

from attrs import define, field

from trefoilhinge.dispatch.stops import CallStage, count_stages
from trefoilhinge.gateway.progress import CallProgress


@define(eq=False)
class OpenCall:
    """One call, until its caller has taken the whole answer.

    :ivar progress: what was sent of it; ``None`` until it is accepted.
    :ivar is_ended: whether nothing of its answer is outstanding.
    """

    progress: CallProgress | None = None
    is_ended: bool = False

    @property
    def stage(self) -> CallStage:
        """Return how far the call has come."""
        if self.is_ended:
            return CallStage.untaken
        if self.progress is None:
            return CallStage.waiting
        return find_stage(self.progress)


@define
class OpenCalls:
    """The calls of an instance."""

    _calls: set[OpenCall] = field(factory=set)

    def __len__(self) -> int:
        """Return the number of calls."""
        return len(self._calls)

    def add(self) -> OpenCall:
        """Return a call that has just been received."""
        call = OpenCall()
        self._calls.add(call)
        return call

    def remove(self, call: OpenCall) -> None:
        """Remove a call that has ended."""
        self._calls.discard(call)

    def count_stages(self) -> dict[str, int]:
        """Return the number of calls at each stage, by its name."""
        return count_stages(call.stage for call in self._calls)


def find_stage(progress: CallProgress) -> CallStage:
    """Return how far a call has come whose answer is outstanding."""
    if progress.has_started:
        return CallStage.begun
    return CallStage.sent if progress.possible_runs else CallStage.waiting
