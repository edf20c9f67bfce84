"""Waits for whatever a call may hear from next."""

import select
from typing import Protocol

from attrs import define, field

from trefoilhinge.calls.caller_connection import DEPARTED, CallerConnection
from trefoilhinge.calls.mailboxes import Mailbox

MILLISECONDS = 1000


class Readable(Protocol):
    """Anything with a descriptor."""

    def fileno(self) -> int:
        """Return the descriptor to wait on."""
        ...


@define
class Signals:
    """What was heard in one wait.

    :ivar departed: the caller closed its connection.
    :ivar mail: mail has come.
    :ivar answer: the open answer is readable.
    """

    departed: bool = False
    mail: bool = False
    answer: bool = False


@define(eq=False)
class Waiter:
    """Waits on a caller, a mailbox and at most one open answer at once."""

    _caller: CallerConnection
    _box: Mailbox
    _poll: select.poll = field(factory=select.poll)
    _caller_number: int = -1
    _box_number: int = -1
    _answer_number: int = -1

    def __attrs_post_init__(self) -> None:
        """Register what stays the same through the call."""
        self._caller_number = self._caller.fileno()
        self._box_number = self._box.fileno()
        if self._caller_number >= 0:
            self._poll.register(self._caller_number, select.POLLRDHUP)
        self._poll.register(self._box_number, select.POLLIN)

    def watch(self, answer: Readable) -> None:
        """Wait on an answer too, in place of an earlier one."""
        self.forget()
        self._answer_number = answer.fileno()
        self._poll.register(self._answer_number, select.POLLIN)

    def forget(self) -> None:
        """Wait on no answer; call this before it is closed."""
        if self._answer_number >= 0:
            self._poll.unregister(self._answer_number)
        self._answer_number = -1

    def wait(self, timeout_s: float) -> Signals:
        """Wait until something is heard, or the time has passed."""
        signals = Signals()
        milliseconds = max(0, timeout_s) * MILLISECONDS
        for number, mask in self._poll.poll(milliseconds):
            if number == self._box_number:
                signals.mail = True
            elif number == self._answer_number:
                signals.answer = True
            elif mask & DEPARTED:
                signals.departed = True
        return signals
