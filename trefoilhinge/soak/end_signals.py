"""Signals that end a soak and the processes that it started."""

import asyncio
import os
import signal
import threading
from collections.abc import Coroutine
from typing import Any, TypeVar

END_SIGNALS = (signal.SIGTERM, signal.SIGHUP)

Outcome = TypeVar('Outcome')


def run_until_signal(work: Coroutine[Any, Any, Outcome]) -> Outcome:
    """Run a coroutine; a signal to end cancels it, and then ends the process.

    Only the main thread can handle signals. In others they end the process at
    once, as usual.

    :raises asyncio.CancelledError: the coroutine was cancelled otherwise.
    """
    received: list[signal.Signals] = []

    async def run() -> Outcome:  # noqa: WPS430
        if threading.current_thread() is threading.main_thread():
            _handle_signals(received)
        return await work

    try:
        return asyncio.run(run())
    finally:
        if received:
            # The loop has restored the default, which ends the process.
            os.kill(os.getpid(), received[0])


def _handle_signals(received: list[signal.Signals]) -> None:
    """Let signals cancel the current task."""
    loop = asyncio.get_running_loop()
    task = asyncio.current_task()

    def end(number: signal.Signals) -> None:  # noqa: WPS430
        # A second one must not interrupt the end of the instances.
        if not received and task is not None:
            task.cancel()
        received.append(number)

    for number in END_SIGNALS:
        loop.add_signal_handler(number, end, number)
