"""Replies of the core to threads that wait for one."""

import queue
import threading
import uuid

from attrs import define, field

REPLY_TIMEOUT_S = 2.0


@define
class PendingReplies:
    """Replies awaited by servers' threads, by token."""

    _queues: dict[str, 'queue.SimpleQueue[str]'] = field(factory=dict)
    _lock: threading.Lock = field(factory=threading.Lock)

    def register(self) -> str:
        """Return a token under which a reply will be put."""
        token = uuid.uuid4().hex
        with self._lock:
            self._queues[token] = queue.SimpleQueue()
        return token

    def deliver(self, token: str, text: str) -> None:
        """Deliver a reply; dropped if nobody waits any more."""
        reply_queue = self._queues.get(token)
        if reply_queue is not None:
            reply_queue.put(text)

    def wait_for(self, token: str) -> str | None:
        """Wait for a reply; none if it does not come in time."""
        reply_queue = self._queues[token]
        try:
            return reply_queue.get(timeout=REPLY_TIMEOUT_S)
        except queue.Empty:
            return None
        finally:
            with self._lock:
                self._queues.pop(token, None)
