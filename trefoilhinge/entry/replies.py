"""Replies of the core to threads that wait for one."""

import queue
import threading
import uuid

from attrs import define, field

REPLY_TIMEOUT_S = 2.0


@define
class Replies:
    """Replies awaited by servers' threads, by token."""

    _boxes: dict[str, 'queue.SimpleQueue[str]'] = field(factory=dict)
    _lock: threading.Lock = field(factory=threading.Lock)

    def expect(self) -> str:
        """Return a token under which a reply will be put."""
        token = uuid.uuid4().hex
        with self._lock:
            self._boxes[token] = queue.SimpleQueue()
        return token

    def put(self, token: str, text: str) -> None:
        """Deliver a reply; dropped if nobody waits any more."""
        box = self._boxes.get(token)
        if box is not None:
            box.put(text)

    def take(self, token: str) -> str | None:
        """Wait for a reply; none if it does not come in time."""
        box = self._boxes[token]
        try:
            return box.get(timeout=REPLY_TIMEOUT_S)
        except queue.Empty:
            return None
        finally:
            with self._lock:
                self._boxes.pop(token, None)
