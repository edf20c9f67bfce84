"""Mailboxes: how decisions and answers reach the thread of a call."""

import queue
import threading

from attrs import define, field

from trefoilhinge.core.effects import Effect
from trefoilhinge.core.identifiers import AttemptId, RequestId
from trefoilhinge.core.lines import StreamEvent
from trefoilhinge.platform.interfaces import PlainAnswer


@define
class AnswerPart:
    """Events of an attempt's stream that came together."""

    attempt: AttemptId
    events: tuple[StreamEvent, ...]


@define
class AnswerWhole:
    """Whole answer of a plain service."""

    attempt: AttemptId
    answer: PlainAnswer


Mail = Effect | AnswerPart | AnswerWhole


@define
class Mailboxes:
    """Mailboxes of the calls in progress, by request."""

    _boxes: dict[RequestId, 'queue.SimpleQueue[Mail]'] = field(factory=dict)
    _lock: threading.Lock = field(factory=threading.Lock)

    def open(self, request_id: RequestId) -> 'queue.SimpleQueue[Mail]':
        """Make the mailbox of a call."""
        box: queue.SimpleQueue[Mail] = queue.SimpleQueue()
        with self._lock:
            self._boxes[request_id] = box
        return box

    def close(self, request_id: RequestId) -> None:
        """Drop a mailbox; what arrives later is dropped too."""
        with self._lock:
            self._boxes.pop(request_id, None)

    def put(self, request_id: RequestId, mail: Mail) -> bool:
        """Deliver to a call; false if it has ended."""
        box = self._boxes.get(request_id)
        if box is None:
            return False
        box.put(mail)
        return True
