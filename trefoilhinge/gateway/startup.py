"""Calls that arrive before an instance knows its document and its targets."""

import asyncio

from attrs import define, field

# The store or a peer has told a starting instance by then.
STARTUP_WAIT_S = 0.3


@define
class StartupGate:
    """Keeps calls waiting for a moment after the start of an instance.

    The platform sends calls to an instance as soon as it listens, some tens of
    milliseconds before it has read its document and targets.
    """

    _opened: asyncio.Event = field(factory=asyncio.Event)

    @property
    def is_open(self) -> bool:
        """Return whether the instance knows its document and targets."""
        return self._opened.is_set()

    def open(self) -> None:
        """Let all calls pass from now on."""
        self._opened.set()

    async def wait(self, started_s: float) -> None:
        """Wait until the gate is open, or shortly after the start.

        :param started_s: monotonic seconds at which the instance started.
        """
        if self.is_open:
            return
        try:
            async with asyncio.timeout_at(started_s + STARTUP_WAIT_S):
                await self._opened.wait()
        except TimeoutError:
            # The call is refused with the reason that is known by now.
            return
