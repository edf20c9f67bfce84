"""Shell of the bounds on what is held for callers."""

import asyncio
from collections.abc import Callable

from attrs import define, field

from trefoilhinge.dispatch.held_bytes import (
    HeldBytes,
    HeldLimits,
    Holder,
    find_held_limits,
)
from trefoilhinge.dispatch.settings import GatewaySettings
from trefoilhinge.gateway.logs import EventLog
from trefoilhinge.gateway.metrics import MetricsRegistry


@define(eq=False)
class ShedHolder(Holder):
    """A caller's connection that can release what it holds.

    :ivar shed: ends the call, or the receipt of the request.
    :ivar request_id: identifier of the call that was sent last.
    """

    shed: Callable[[], None] = field(kw_only=True)
    request_id: str = ''

    def begin_receipt(self, now_s: float) -> None:
        """Record that a request begins to arrive."""
        self.is_arriving = True
        self.began_s = now_s

    def detach(self) -> None:
        """Forget the connection, which ends.

        It would be part of a reference cycle, and be freed late.
        """
        self.shed = _do_nothing


def _do_nothing() -> None:
    """Release nothing, as the connection has ended."""


@define
class HeldMemory:
    """Counts what is held for callers, and sheds those that hold too much.

    :ivar is_bounded: whether the memory of the process is known. If not,
        nothing is counted.
    """

    _held: HeldBytes = field(factory=lambda: HeldBytes(HeldLimits()))
    _log: EventLog | None = None
    _metrics: MetricsRegistry | None = None
    _was_shed: bool = False

    @property
    def is_bounded(self) -> bool:
        """Return whether what is held has a bound."""
        return self._held.limits.instance_bytes > 0

    def add(self, holder: ShedHolder, count: int) -> None:
        """Add to what is held for a connection; negative for a release."""
        if self.is_bounded and count:
            self._shed(self._held.add(holder, count, _get_now_s()))

    def release(self, holder: ShedHolder) -> None:
        """Release all that is held for a connection."""
        self.add(holder, -holder.held_bytes)

    def set_organisation(self, holder: ShedHolder, name: str) -> None:
        """Record whose connection it is."""
        if self.is_bounded:
            self._shed(self._held.set_organisation(holder, name, _get_now_s()))

    def _shed(self, holders: list[Holder]) -> None:
        for holder in holders:
            if isinstance(holder, ShedHolder):
                self._record(holder)
                holder.shed()

    def take_shed(self) -> bool:
        """Return whether any connection was shed since the last time."""
        was_shed = self._was_shed
        self._was_shed = False
        return was_shed

    def _record(self, holder: ShedHolder) -> None:
        self._was_shed = True
        if self._metrics is not None:
            self._metrics.increment('callers_shed')
            self._metrics.set_gauge('held_bytes', self._held.total_bytes)
        if self._log is not None:
            self._log.write(
                'caller_shed',
                request=holder.request_id or None,
                organisation=holder.organisation or None,
                held=holder.held_bytes,
                total=self._held.total_bytes,
                limit=self._held.limits.instance_bytes,
            )


def _get_now_s() -> float:
    return asyncio.get_running_loop().time()


def make_held_memory(
    settings: GatewaySettings, log: EventLog, metrics: MetricsRegistry
) -> HeldMemory:
    """Return the count of a process that holds nothing yet."""
    limits = find_held_limits(
        settings.memory_bytes, has_scarce_room=settings.has_scarce_room
    )
    return HeldMemory(HeldBytes(limits), log, metrics)
