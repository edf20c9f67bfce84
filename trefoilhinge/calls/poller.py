"""Waits for whatever a call may hear from next."""

import select
from typing import Protocol

from attrs import define, field

from trefoilhinge.calls.caller_connection import CLOSED_EVENTS, CallerConnection
from trefoilhinge.calls.mailboxes import Mailbox

MILLISECONDS_PER_SECOND = 1000


class Readable(Protocol):
    """Anything with a descriptor."""

    def fileno(self) -> int:
        """Return the descriptor to wait on."""
        ...


@define
class PollResult:
    """What was heard in one wait.

    :ivar caller_closed: the caller closed its connection.
    :ivar has_messages: mail has come.
    :ivar answer_readable: the open answer is readable.
    """

    caller_closed: bool = False
    has_messages: bool = False
    answer_readable: bool = False


@define(eq=False)
class CallPoller:
    """Waits on a caller, a mailbox and at most one open answer at once."""

    _caller: CallerConnection
    _mailbox: Mailbox
    _poll: select.poll = field(factory=select.poll)
    _caller_fd: int = -1
    _mailbox_fd: int = -1
    _answer_fd: int = -1

    def __attrs_post_init__(self) -> None:
        """Register what stays the same through the call."""
        self._caller_fd = self._caller.fileno()
        self._mailbox_fd = self._mailbox.fileno()
        if self._caller_fd >= 0:
            self._poll.register(self._caller_fd, select.POLLRDHUP)
        self._poll.register(self._mailbox_fd, select.POLLIN)

    def watch_answer(self, answer: Readable) -> None:
        """Wait on an answer too, in place of an earlier one."""
        self.unwatch_answer()
        self._answer_fd = answer.fileno()
        self._poll.register(self._answer_fd, select.POLLIN)

    def unwatch_answer(self) -> None:
        """Wait on no answer; call this before it is closed."""
        if self._answer_fd >= 0:
            self._poll.unregister(self._answer_fd)
        self._answer_fd = -1

    def poll(self, timeout_s: float) -> PollResult:
        """Wait until something is heard, or the time has passed."""
        result = PollResult()
        timeout_ms = max(0, timeout_s) * MILLISECONDS_PER_SECOND
        for fd, events in self._poll.poll(timeout_ms):
            if fd == self._mailbox_fd:
                result.has_messages = True
            elif fd == self._answer_fd:
                result.answer_readable = True
            elif events & CLOSED_EVENTS:
                result.caller_closed = True
        return result
