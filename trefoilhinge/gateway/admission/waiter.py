"""A call of this instance that waits for capacity."""

import asyncio

from attrs import define, field

from trefoilhinge.dispatch.admission.decisions import Decision
from trefoilhinge.dispatch.admission.waiting_calls import WaitingCall
from trefoilhinge.dispatch.calls import Call
from trefoilhinge.dispatch.placement import MINIMUM_GROUP_TOKENS

# A placement that failed is tried again after this time even if no capacity
# appeared, as prefills end and targets become usable.
RETRY_INTERVAL_S = 0.5


@define
class Waiter:
    """A call that waits, and what a pass decided on it.

    :ivar excluded: targets that failed the call.
    :ivar announced_s: monotonic seconds at which the others were told of it.
    :ivar position: number of calls ahead of it, when that was last computed.
    :ivar changed: set once the call is to be placed or refused.
    :ivar granted: target that it is allotted; empty if none.
    :ivar refusal: decision to refuse it.
    :ivar is_hopeless: whether capacity that becomes free cannot help it.
    """

    call: Call
    waiting: WaitingCall
    excluded: set[str]
    announced_s: float = 0
    position: int = 0
    changed: asyncio.Event = field(factory=asyncio.Event)
    granted: str = ''
    refusal: Decision | None = None
    is_hopeless: bool = False
    _failed_target: str = ''
    _failed_version: int = -1
    _failed_s: float = float('-inf')

    @property
    def is_short(self) -> bool:
        """Return whether it is never placed on a group."""
        size = self.call.head.prompt_size
        return size is None or size.prompt_tokens < MINIMUM_GROUP_TOKENS

    def may_try(self, target: str, version: int, now_s: float) -> bool:
        """Return whether a placement may succeed now.

        :param target: target that the call is allotted.
        :param version: number of times that capacity appeared.
        """
        failed = (self._failed_target, self._failed_version)
        if (target, version) != failed:
            return True
        return now_s >= self._failed_s + RETRY_INTERVAL_S

    def record_failed(self, version: int, now_s: float) -> None:
        """Record that no placement was found."""
        self._failed_target = self.granted
        self._failed_version = version
        self._failed_s = now_s

    def grant(self, target: str) -> None:
        """Let the call be placed."""
        self.granted = target
        self.changed.set()

    def refuse(self, decision: Decision, position: int) -> None:
        """Let the call be refused."""
        self.refusal = decision
        self.position = position
        self.changed.set()

    def give_up(self) -> None:
        """Let the call end its wait without capacity."""
        self.is_hopeless = True
        self.changed.set()
