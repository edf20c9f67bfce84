"""Lets a prompt wait until its targets have read what is ahead of it."""

import asyncio

from attrs import define, field

from trefoilhinge.dispatch.loads import LoadView, Run


@define
class PrefillWaiters:
    """The prompts that wait here."""

    _loads: LoadView
    _waiters: set[asyncio.Event] = field(factory=set)

    def notify_all(self) -> None:
        """Take that a prompt was read, or that its run ended."""
        for waiter in self._waiters:
            waiter.set()

    def count(self) -> int:
        """Return how many prompts wait."""
        return len(self._waiters)

    async def wait_for_turn(self, run: Run) -> None:
        """Return when a run's turn has come."""
        loop = asyncio.get_running_loop()
        changed = asyncio.Event()
        self._waiters.add(changed)
        try:
            turn_s = self._loads.find_turn_s(run, loop.time())
            while turn_s > loop.time():
                await _wait_until(changed, turn_s)
                changed.clear()
                turn_s = self._loads.find_turn_s(run, loop.time())
        finally:
            self._waiters.discard(changed)


async def _wait_until(changed: asyncio.Event, latest_s: float) -> None:
    try:
        async with asyncio.timeout_at(latest_s):
            await changed.wait()
    except TimeoutError:
        return
