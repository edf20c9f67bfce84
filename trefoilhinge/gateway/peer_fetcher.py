"""Fetches of newer state from the other instances over HTTP."""

import asyncio
from collections.abc import Callable, Mapping
from typing import Any

from attrs import define, field

from trefoilhinge.dispatch.transfer_sources import SourceTable
from trefoilhinge.gateway.http_client import FetchFailed, fetch
from trefoilhinge.gateway.replication import BUSY_STATUS
from trefoilhinge.gateway.state import GatewayState

FETCH_TIMEOUT_S = 2.0
SILENCE_TIMEOUT_S = 0.5  # a peer answers from memory
BUSY_RETRY_S = 0.2  # about the duration of a transfer
# A peer that failed, or whose state was refused, is not asked again sooner.
FAILURE_RETRY_S = 2.0
POLL_INTERVAL_S = 0.05  # while all peers are avoided


@define
class PeerFetcher:
    """Fetches one kind of state until no live peer has a newer one.

    :ivar path: path of the state at a peer.
    :ivar list_offers: returns the version of the state at each live peer that
        has a newer one, by IP address.
    :ivar apply: applies the content fetched from a peer.
    """

    _state: GatewayState
    path: str
    list_offers: Callable[[], Mapping[str, Any]]
    apply: Callable[[bytes, str], None]
    _sources: SourceTable = field(init=False)
    _task: asyncio.Task[None] | None = None

    def __attrs_post_init__(self) -> None:
        """Create the table of sources."""
        self._sources = SourceTable(self._state.settings.ip)

    def start(self, delay_s: float) -> None:
        """Fetch after a delay, unless a fetch is already pending."""
        if self._task is None or self._task.done():
            self._task = asyncio.ensure_future(self._run(delay_s))
            self._task.add_done_callback(self._state.log.write_task_end)

    def close(self) -> None:
        """Cancel the pending fetch."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        while offers := self.list_offers():
            ip = self._sources.choose(offers, self._state.get_now_s())
            if ip is None:
                await asyncio.sleep(POLL_INTERVAL_S)
            else:
                retry_s = await self._fetch(ip)
                self._sources.avoid(ip, self._state.get_now_s() + retry_s)

    async def _fetch(self, ip: str) -> float:
        """Fetch from a peer; return seconds until it may be asked again."""
        address = (ip, self._state.settings.first_port)
        try:
            fetched = await fetch(
                address,
                self.path,
                FETCH_TIMEOUT_S,
                silence_timeout_s=SILENCE_TIMEOUT_S,
            )
        except FetchFailed as problem:
            self._state.log.write(
                'peer_fetch_failed', peer=ip, path=self.path, problem=problem
            )
            return FAILURE_RETRY_S
        if fetched.status == BUSY_STATUS:
            self._state.metrics.increment('peer_busy', path=self.path)
            return BUSY_RETRY_S
        self.apply(fetched.content, ip)
        return FAILURE_RETRY_S
