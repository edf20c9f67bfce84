"""Replies of the core to the threads of servers."""

import queue
import threading
import uuid

from attrs import define, field

REPLY_TIMEOUT_S = 2.0


@define
class PendingReplies:
    """Replies that the threads of servers await, by token."""

    _queues: dict[str, 'queue.SimpleQueue[str]'] = field(factory=dict)
    _lock: threading.Lock = field(factory=threading.Lock)

    def register(self) -> str:
        """Return a new token for a reply to wait for."""
        token = uuid.uuid4().hex
        with self._lock:
            self._queues[token] = queue.SimpleQueue()
        return token

    def deliver(self, token: str, text: str) -> None:
        """Deliver a reply; drop it if no thread waits for it any more."""
        reply_queue = self._queues.get(token)
        if reply_queue is not None:
            reply_queue.put(text)

    def wait_for(self, token: str) -> str | None:
        """Wait for a reply; return none after ``REPLY_TIMEOUT_S``."""
        reply_queue = self._queues[token]
        try:
            return reply_queue.get(timeout=REPLY_TIMEOUT_S)
        except queue.Empty:
            return None
        finally:
            with self._lock:
                self._queues.pop(token, None)
