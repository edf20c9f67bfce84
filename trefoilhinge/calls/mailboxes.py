"""Mailboxes that deliver effects and answers to the thread of a call."""

import os
import threading
from collections import deque

from attrs import define, field, frozen

from trefoilhinge.core.effects import Effect
from trefoilhinge.core.events import AttemptOutcome
from trefoilhinge.core.identifiers import AttemptId, RequestId
from trefoilhinge.targets.abortable_connections import AbortableConnection
from trefoilhinge.targets.interfaces import AnswerStream, PlainAnswer
from trefoilhinge.targets.streams import ResponseBody


@frozen(eq=False)
class StreamOpened:
    """The stream of a target was opened."""

    connection: AbortableConnection
    stream: AnswerStream


@frozen(eq=False)
class AttemptFailed:
    """An attempt failed before its answer was opened.

    :ivar retry_after_s: seconds after which the target allows a retry,
        ``None`` if it named none.
    """

    connection: AbortableConnection
    outcome: AttemptOutcome
    retry_after_s: float | None = None


@frozen(eq=False)
class PlainAnswerReceived:
    """A plain service returned its complete answer."""

    attempt: AttemptId
    answer: PlainAnswer


@frozen(eq=False)
class ForwardOpened:
    """The owner of the call's key returned the head of its answer.

    :ivar body: response body, which is still being received.
    """

    connection: AbortableConnection
    status: int
    headers: tuple[tuple[str, str], ...]
    body: ResponseBody


@frozen(eq=False)
class ForwardFailed:
    """The owner of the call's key did not answer.

    :ivar delivered: false only if no byte of the request was sent.
    """

    connection: AbortableConnection
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
    """Queue of messages to one call, with a file descriptor to poll.

    The descriptor is readable while the queue is not empty.
    """

    _messages: deque[CallMessage] = field(factory=deque)
    _lock: threading.Lock = field(factory=threading.Lock)
    _event_fd: int = field(factory=lambda: os.eventfd(0, os.EFD_NONBLOCK))
    _closed: bool = False

    def fileno(self) -> int:
        """Return the file descriptor to poll."""
        return self._event_fd

    def put(self, message: CallMessage) -> bool:
        """Add a message; return false if the mailbox is closed."""
        with self._lock:
            if self._closed:
                return False
            self._messages.append(message)
            if len(self._messages) == 1:
                os.eventfd_write(self._event_fd, 1)
        return True

    def take_all(self) -> tuple[CallMessage, ...]:
        """Remove and return all messages, oldest first."""
        with self._lock:
            if not self._messages or self._closed:
                return ()
            messages = tuple(self._messages)
            self._messages.clear()
            os.eventfd_read(self._event_fd)
        return messages

    def close(self) -> tuple[CallMessage, ...]:
        """Close the mailbox; return the messages that were not taken."""
        with self._lock:
            if self._closed:
                return ()
            self._closed = True
            messages = tuple(self._messages)
            os.close(self._event_fd)
        return messages


@define
class Mailboxes:
    """Mailboxes of the calls in progress, by request identifier."""

    _mailboxes: dict[RequestId, Mailbox] = field(factory=dict)

    def __len__(self) -> int:
        """Return the number of calls in progress."""
        return len(self._mailboxes)

    def open(self, request_id: RequestId) -> Mailbox:
        """Create the mailbox of a call."""
        mailbox = Mailbox()
        self._mailboxes[request_id] = mailbox
        return mailbox

    def close(self, request_id: RequestId) -> None:
        """Remove a mailbox; later messages to the call are dropped."""
        self._mailboxes.pop(request_id, None)

    def put(self, request_id: RequestId, message: CallMessage) -> bool:
        """Deliver a message; return false if the call has ended."""
        mailbox = self._mailboxes.get(request_id)
        return mailbox is not None and mailbox.put(message)
