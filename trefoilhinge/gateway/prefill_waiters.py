"""Waiting of calls until their targets have prefilled earlier prompts."""

import asyncio

from attrs import define, field

from trefoilhinge.dispatch.loads import LoadTable, Run


@define
class PrefillWaiters:
    """Calls of this instance that wait until they may be sent."""

    _loads: LoadTable
    _waiters: set[asyncio.Event] = field(factory=set)

    def notify_all(self) -> None:
        """Wake all waiting calls after a change of load."""
        for waiter in self._waiters:
            waiter.set()

    def count(self) -> int:
        """Return the number of waiting calls."""
        return len(self._waiters)

    async def wait_for_send_time(self, run: Run) -> None:
        """Wait until the prompts ahead of a run are prefilled or expired."""
        loop = asyncio.get_running_loop()
        changed = asyncio.Event()
        self._waiters.add(changed)
        try:
            send_s = self._loads.find_send_time_s(run, loop.time())
            while send_s > loop.time():
                await _wait_until(changed, send_s)
                changed.clear()
                send_s = self._loads.find_send_time_s(run, loop.time())
        finally:
            self._waiters.discard(changed)


async def _wait_until(changed: asyncio.Event, deadline_s: float) -> None:
    try:
        async with asyncio.timeout_at(deadline_s):
            await changed.wait()
    except TimeoutError:
        return
