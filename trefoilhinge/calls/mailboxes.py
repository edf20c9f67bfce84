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
class OpeningFailed:
    """An attempt ended before its answer was open.

    :ivar retry_after_s: seconds that the target asked to wait.
    """

    link: Link
    outcome: AttemptOutcome
    retry_after_s: float | None = None


@frozen(eq=False)
class AnswerWhole:
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


Mail = (
    Effect
    | StreamOpened
    | OpeningFailed
    | AnswerWhole
    | ForwardOpened
    | ForwardFailed
)


@define(eq=False)
class Mailbox:
    """Mail of one call, with a descriptor that is readable while any waits."""

    _mails: deque[Mail] = field(factory=deque)
    _lock: threading.Lock = field(factory=threading.Lock)
    _descriptor: int = field(factory=lambda: os.eventfd(0, os.EFD_NONBLOCK))
    _closed: bool = False

    def fileno(self) -> int:
        """Return the descriptor to wait on."""
        return self._descriptor

    def put(self, mail: Mail) -> bool:
        """Deliver; false if the call has ended."""
        with self._lock:
            if self._closed:
                return False
            self._mails.append(mail)
            if len(self._mails) == 1:
                os.eventfd_write(self._descriptor, 1)
        return True

    def take_all(self) -> tuple[Mail, ...]:
        """Return all that waits, oldest first."""
        with self._lock:
            if not self._mails or self._closed:
                return ()
            mails = tuple(self._mails)
            self._mails.clear()
            os.eventfd_read(self._descriptor)
        return mails

    def close(self) -> tuple[Mail, ...]:
        """End the call; return what was not taken."""
        with self._lock:
            if self._closed:
                return ()
            self._closed = True
            mails = tuple(self._mails)
            os.close(self._descriptor)
        return mails


@define
class Mailboxes:
    """Mailboxes of the calls in progress, by request."""

    _boxes: dict[RequestId, Mailbox] = field(factory=dict)

    def __len__(self) -> int:
        """Return how many calls are in progress."""
        return len(self._boxes)

    def open(self, request_id: RequestId) -> Mailbox:
        """Make the mailbox of a call."""
        box = Mailbox()
        self._boxes[request_id] = box
        return box

    def close(self, request_id: RequestId) -> None:
        """Drop a mailbox; what arrives later is dropped too."""
        self._boxes.pop(request_id, None)

    def put(self, request_id: RequestId, mail: Mail) -> bool:
        """Deliver to a call; false if it has ended."""
        box = self._boxes.get(request_id)
        return box is not None and box.put(mail)
