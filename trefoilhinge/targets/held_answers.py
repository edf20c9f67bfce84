"""Bytes of answers that a process holds until they are whole."""

import threading
from collections.abc import Callable

from attrs import define, field

from trefoilhinge.dispatch.held_bytes import HeldBytes, HeldLimits, Holder
from trefoilhinge.machine_memory import find_memory_bytes

# Of the memory of the process. The copy of an answer that becomes whole, and
# the buffers of each connection, come on top.
ANSWER_SHARE = 0.15


@define(eq=False)
class HeldAnswer(Holder):
    """What is held of one answer.

    :ivar abort: ends the connection that it arrives on.
    """

    abort: Callable[[], None] = field(kw_only=True)


@define(eq=False)
class AnswerTable:
    """The answers that arrive at a process, within its memory.

    Each has a limit of its own; the sum over all calls has this one. Beyond it
    those that hold most are aborted.
    """

    _held: HeldBytes
    _lock: threading.Lock = field(factory=threading.Lock)

    def add(self, answer: HeldAnswer, count: int) -> None:
        """Count bytes of an answer; negative if they were released."""
        with self._lock:
            shed = self._held.add(answer, count)
        for one in shed:
            if isinstance(one, HeldAnswer):
                one.abort()

    def release(self, answer: HeldAnswer) -> None:
        """Release all that is held of an answer."""
        with self._lock:
            self._held.add(answer, -answer.held_bytes)


def make_answer_table(memory_mb: int) -> AnswerTable:
    """Return the table of a process that holds no answers yet.

    :param memory_mb: memory of the process, zero for that of the machine.
    """
    limit_bytes = int(find_memory_bytes(memory_mb) * ANSWER_SHARE)
    return AnswerTable(HeldBytes(HeldLimits(limit_bytes)))
