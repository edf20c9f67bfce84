"""Requests that arrive, each in a thread, and the bodies that are held."""

import threading
import time
from typing import Protocol

from attrs import define, field

from trefoilhinge.dispatch.held_bytes import HeldBytes, HeldLimits, Holder
from trefoilhinge.machine_memory import find_memory_bytes

BODY_SHARE = 0.3  # of the memory of the process


class EndableConnection(Protocol):
    """A connection whose receipt of a request can be ended."""

    def end_receipt(self) -> None:
        """Wake the thread that waits for the rest of the request."""
        ...


@define(eq=False)
class Receipt(Holder):
    """One request that arrives, and then the body that is held for it."""

    connection: EndableConnection | None = None


@define(eq=False)
class ReceiptTable:
    """The requests that arrive at a process, within its memory.

    :ivar ended: requests that were ended in favour of others.
    """

    _held: HeldBytes
    ended: int = 0
    _arriving: dict[Receipt, None] = field(factory=dict)
    _lock: threading.Lock = field(factory=threading.Lock)

    def begin(self, connection: EndableConnection) -> Receipt:
        """Record that a request begins to arrive."""
        receipt = Receipt(
            is_arriving=True, began_s=time.monotonic(), connection=connection
        )
        with self._lock:
            self._arriving[receipt] = None
        return receipt

    def add(self, receipt: Receipt, count: int) -> None:
        """Count bytes of a body; beyond the limit, end other receipts."""
        with self._lock:
            shed = self._held.add(receipt, count, time.monotonic())
            self._end(shed)

    def complete(self, receipt: Receipt) -> None:
        """Record that a request has arrived; its body is still held."""
        with self._lock:
            receipt.is_arriving = False
            self._arriving.pop(receipt, None)

    def release(self, receipt: Receipt) -> None:
        """Release what is held for a request."""
        with self._lock:
            self._arriving.pop(receipt, None)
            self._held.add(receipt, -receipt.held_bytes)

    def end_oldest(self) -> bool:
        """End the request that has been arriving for longest, if there is any.

        :return: whether there was one.
        """
        with self._lock:
            oldest = next(iter(self._arriving), None)
            if oldest is None:
                return False
            self._held.add(oldest, -oldest.held_bytes)
            oldest.is_shed = True
            self._end([oldest])
        return True

    def _end(self, shed: list[Holder]) -> None:
        for one in shed:
            if isinstance(one, Receipt) and one.connection is not None:
                self.ended += 1
                self._arriving.pop(one, None)
                if one.is_arriving:
                    one.connection.end_receipt()


def make_receipt_table(memory_mb: int) -> ReceiptTable:
    """Return the table of a process that may use an amount of memory.

    :param memory_mb: memory of the process, zero for that of the machine.
    """
    limit_bytes = int(find_memory_bytes(memory_mb) * BODY_SHARE)
    return ReceiptTable(HeldBytes(HeldLimits(limit_bytes)))
