"""Signals that arrive before the event loop handles them."""

import signal
from types import FrameType

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGHUP)

_received: set[int] = set()


def record_signals() -> None:
    """Record the signals that the gateway handles, in place of their default.

    The default ends the process, also for SIGHUP. Has to be called in the main
    thread, before the modules of the gateway are imported: that takes longer
    than the rest of the start.
    """
    for number in HANDLED_SIGNALS:
        signal.signal(number, _record)


def take_signals() -> frozenset[int]:
    """Return the recorded signals, and forget them."""
    taken = frozenset(_received)
    _received.clear()
    return taken


def _record(number: int, frame: FrameType | None) -> None:
    _received.add(number)
