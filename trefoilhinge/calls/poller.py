"""Polling of the file descriptors that the thread of a call waits on."""

import select
from typing import Protocol

from attrs import define, field

from trefoilhinge.calls.caller_connection import CLOSED_EVENTS, CallerConnection
from trefoilhinge.calls.mailboxes import Mailbox

MILLISECONDS_PER_SECOND = 1000


class Readable(Protocol):
    """Object with a file descriptor."""

    def fileno(self) -> int:
        """Return the file descriptor to poll."""
        ...


@define
class PollResult:
    """Outcome of one poll.

    :ivar caller_closed: the caller closed its connection.
    :ivar has_messages: the mailbox is not empty.
    :ivar answer_readable: the descriptor of the answer is readable.
    """

    caller_closed: bool = False
    has_messages: bool = False
    answer_readable: bool = False


@define(eq=False)
class CallPoller:
    """Poll a caller, a mailbox and at most one open answer together."""

    _caller: CallerConnection
    _mailbox: Mailbox
    _poll: select.poll = field(factory=select.poll)
    _caller_fd: int = -1
    _mailbox_fd: int = -1
    _answer_fd: int = -1

    def __attrs_post_init__(self) -> None:
        """Register the descriptors that stay for the whole call."""
        self._caller_fd = self._caller.fileno()
        self._mailbox_fd = self._mailbox.fileno()
        if self._caller_fd >= 0:
            self._poll.register(self._caller_fd, select.POLLRDHUP)
        self._poll.register(self._mailbox_fd, select.POLLIN)

    def watch_answer(self, answer: Readable) -> None:
        """Start polling an answer, in place of the previous one."""
        self.unwatch_answer()
        self._answer_fd = answer.fileno()
        self._poll.register(self._answer_fd, select.POLLIN)

    def unwatch_answer(self) -> None:
        """Stop polling the answer; must be called before it is closed."""
        if self._answer_fd >= 0:
            self._poll.unregister(self._answer_fd)
        self._answer_fd = -1

    def poll(self, timeout_s: float) -> PollResult:
        """Wait until a descriptor is ready or the time-out has passed."""
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
