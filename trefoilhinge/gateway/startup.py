"""Calls that arrive before an instance knows its document and its targets."""

import asyncio

from attrs import define, field

from trefoilhinge.dispatch.calls import CallHead
from trefoilhinge.dispatch.documents import REQUEST_HASH_VALUES

# The store or a peer has told a starting instance by then.
STARTUP_WAIT_S = 0.3
STARTUP_RETRY_AFTER_S = 0.3  # another instance may have its document by then
STORE_OUTAGE_RETRY_AFTER_S = 1.5  # outages of the store last seconds
STORE_OUTAGE_RETRY_JITTER_S = 1.0  # spreads the retries of callers
# Of the caller's timeout; a caller that is told to wait longer gives up.
MAXIMUM_RETRY_AFTER_FRACTION = 0.33


@define
class StartupGate:
    """Keeps calls waiting for a moment after the start of an instance.

    The platform sends calls to an instance as soon as it listens, some tens of
    milliseconds before it has read its document and targets.
    """

    _opened: asyncio.Event = field(factory=asyncio.Event)
    _released: asyncio.Event = field(factory=asyncio.Event)

    @property
    def is_open(self) -> bool:
        """Return whether the instance knows its document and targets."""
        return self._opened.is_set()

    def open(self) -> None:
        """Let all calls pass from now on."""
        self._opened.set()
        self.release()

    def release(self) -> None:
        """Let no call wait any more, though nothing may be known."""
        self._released.set()

    async def wait(self, started_s: float) -> None:
        """Wait until the gate is open, or shortly after the start.

        :param started_s: monotonic seconds at which the instance started.
        """
        if self.is_open:
            return
        try:
            async with asyncio.timeout_at(started_s + STARTUP_WAIT_S):
                await self._released.wait()
        except TimeoutError:
            # The call is refused with the reason that is known by now.
            return


def find_startup_retry_after_s(
    head: CallHead, *, is_store_unreachable: bool
) -> float:
    """Return ``Retry-After`` for a call that cannot be served yet.

    During an outage of the store it has a jitter that depends on the request
    identifier, so that callers do not return all at once.
    """
    if not is_store_unreachable:
        return STARTUP_RETRY_AFTER_S
    jitter_s = (
        STORE_OUTAGE_RETRY_JITTER_S * head.request_hash / REQUEST_HASH_VALUES
    )
    wait_s = STORE_OUTAGE_RETRY_AFTER_S + jitter_s
    if head.timeout_s is None:
        return wait_s
    return min(wait_s, head.timeout_s * MAXIMUM_RETRY_AFTER_FRACTION)
