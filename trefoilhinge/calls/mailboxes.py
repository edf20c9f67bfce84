"""Mailboxes: how decisions and answers reach the thread of a call."""

import os
import threading
from collections import deque

from attrs import define, field, frozen

from trefoilhinge.core.effects import Effect
from trefoilhinge.core.events import AttemptOutcome
from trefoilhinge.core.identifiers import AttemptId, RequestId
from trefoilhinge.targets.interfaces import AnswerStream, PlainAnswer
from trefoilhinge.targets.links import Link
from trefoilhinge.targets.streams import ResponseBytes


@frozen(eq=False)
class StreamOpened:
    """A target's stream is open on a link."""

    link: Link
    stream: AnswerStream


@frozen(eq=False)
class AttemptFailed:
    """An attempt ended before its answer was open.

    :ivar retry_after_s: seconds that the target asked to wait.
    """

    link: Link
    outcome: AttemptOutcome
    retry_after_s: float | None = None


@frozen(eq=False)
class PlainAnswerReceived:
    """Whole answer of a plain service."""

    attempt: AttemptId
    answer: PlainAnswer


@frozen(eq=False)
class ForwardOpened:
    """Another instance, which owns the call's key, began to answer.

    :ivar body: the body, as it comes.
    """

    link: Link
    status: int
    headers: tuple[tuple[str, str], ...]
    body: ResponseBytes


@frozen(eq=False)
class ForwardFailed:
    """Another instance did not answer.

    :ivar delivered: false only if no byte of the call left.
    """

    link: Link
    delivered: bool


CallMessage = (
    Effect
    | StreamOpened
    | AttemptFailed
    | PlainAnswerReceived
    | ForwardOpened
    | ForwardFailed
)


@define(eq=False)
class Mailbox:
    """Mail of one call, with a descriptor that is readable while any waits."""

    _messages: deque[CallMessage] = field(factory=deque)
    _lock: threading.Lock = field(factory=threading.Lock)
    _event_fd: int = field(factory=lambda: os.eventfd(0, os.EFD_NONBLOCK))
    _closed: bool = False

    def fileno(self) -> int:
        """Return the descriptor to wait on."""
        return self._event_fd

    def put(self, message: CallMessage) -> bool:
        """Deliver; false if the call has ended."""
        with self._lock:
            if self._closed:
                return False
            self._messages.append(message)
            if len(self._messages) == 1:
                os.eventfd_write(self._event_fd, 1)
        return True

    def take_all(self) -> tuple[CallMessage, ...]:
        """Return all that waits, oldest first."""
        with self._lock:
            if not self._messages or self._closed:
                return ()
            messages = tuple(self._messages)
            self._messages.clear()
            os.eventfd_read(self._event_fd)
        return messages

    def close(self) -> tuple[CallMessage, ...]:
        """End the call; return what was not taken."""
        with self._lock:
            if self._closed:
                return ()
            self._closed = True
            messages = tuple(self._messages)
            os.close(self._event_fd)
        return messages


@define
class Mailboxes:
    """Mailboxes of the calls in progress, by request."""

    _mailboxes: dict[RequestId, Mailbox] = field(factory=dict)

    def __len__(self) -> int:
        """Return how many calls are in progress."""
        return len(self._mailboxes)

    def open(self, request_id: RequestId) -> Mailbox:
        """Make the mailbox of a call."""
        mailbox = Mailbox()
        self._mailboxes[request_id] = mailbox
        return mailbox

    def close(self, request_id: RequestId) -> None:
        """Drop a mailbox; what arrives later is dropped too."""
        self._mailboxes.pop(request_id, None)

    def put(self, request_id: RequestId, message: CallMessage) -> bool:
        """Deliver to a call; false if it has ended."""
        mailbox = self._mailboxes.get(request_id)
        return mailbox is not None and mailbox.put(message)
