"""Calls that an instance has received and that have not ended."""

from collections.abc import Callable

from attrs import define, field

from trefoilhinge.dispatch.stops import CallStage, count_stages
from trefoilhinge.gateway.attempts import Attempts
from trefoilhinge.gateway.progress import CallProgress


@define(eq=False)
class OpenCall:
    """One call, until its caller has taken the whole answer.

    :ivar attempts: its attempts, ``None`` until it is accepted.
    :ivar expire: ends its attempts; ``None`` while there is nothing to end.
    :ivar is_ended: whether nothing of its answer is outstanding.
    :ivar is_given_up: whether it is ended as the instance stops.
    """

    attempts: Attempts | None = None
    expire: Callable[[], None] | None = None
    is_ended: bool = False
    is_given_up: bool = False

    @property
    def stage(self) -> CallStage:
        """Return how far the call has come."""
        if self.is_ended:
            return CallStage.untaken
        if self.attempts is None:
            return CallStage.waiting
        return find_stage(self.attempts.progress)

    @property
    def is_hopeless(self) -> bool:
        """Return whether the call ends only after this instance."""
        return self.attempts is not None and self.attempts.is_hopeless

    def give_up(self) -> None:
        """End the call, with an answer if none was begun."""
        if self.expire is not None:
            self.is_given_up = True
            self.expire()


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

    def give_up_hopeless(self) -> None:
        """End the calls that would end only after this instance."""
        for call in tuple(self._calls):
            if call.is_hopeless:
                call.give_up()

    def give_up_all(self) -> None:
        """End all calls whose answers are outstanding."""
        for call in tuple(self._calls):
            call.give_up()

    @property
    def are_answered(self) -> bool:
        """Return whether no answer is outstanding."""
        return all(call.is_ended for call in self._calls)

    def count_stages(self) -> dict[str, int]:
        """Return the number of calls at each stage, by its name."""
        return count_stages(call.stage for call in self._calls)


def find_stage(progress: CallProgress) -> CallStage:
    """Return how far a call has come whose answer is outstanding."""
    if progress.has_started:
        return CallStage.begun
    return CallStage.sent if progress.possible_runs else CallStage.waiting
