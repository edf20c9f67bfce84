"""Fetches of newer state from the other instances over HTTP."""

import asyncio
from collections.abc import Callable, Mapping
from functools import partial

from attrs import define, field

from trefoilhinge.dispatch.peers import Peer
from trefoilhinge.dispatch.transfer_sources import SourceTable
from trefoilhinge.gateway.http_client import FetchFailed, fetch
from trefoilhinge.gateway.replication import (
    BUSY_STATUS,
    DOCUMENT_PATH,
    OK_STATUS,
    TARGETS_PATH,
    apply_targets,
)
from trefoilhinge.gateway.state import GatewayState

FETCH_TIMEOUT_S = 5.0
SILENCE_TIMEOUT_S = 0.5  # a peer answers from memory
BUSY_RETRY_S = 0.2  # about the duration of a transfer
# A peer that failed, or whose state was refused, is not asked again sooner.
FAILURE_RETRY_S = 2.0
# Of the time in which a document must be in force: an instance that reads the
# store waits for its own watch first.
DELAY_FRACTION = 0.3
POLL_INTERVAL_S = 0.05  # while all peers are avoided


@define
class PeerFetcher:
    """Fetches one kind of state until no live peer has a newer one.

    :ivar path: path of the state at a peer.
    :ivar list_offers: returns the version of the state at each live peer that
        has a newer one, by IP address.
    :ivar apply: applies the content fetched from a peer; returns whether it
        was newer.
    """

    _state: GatewayState
    path: str
    list_offers: Callable[[], Mapping[str, int]]
    apply: Callable[[bytes, str], bool]
    _sources: SourceTable = field(init=False)
    _task: asyncio.Task[None] | None = None

    def __attrs_post_init__(self) -> None:
        """Create the table of sources."""
        self._sources = SourceTable(self._state.settings.ip)

    def start(self, delay_s: float | None = None) -> None:
        """Fetch if a peer has a newer state and no fetch is pending.

        :param delay_s: seconds to wait before it; by default as long as an
            instance that reads the store itself needs.
        """
        is_pending = self._task is not None and not self._task.done()
        if not is_pending and self.list_offers():
            self._task = asyncio.ensure_future(self._run(delay_s))
            self._task.add_done_callback(self._state.log.write_task_end)

    def close(self) -> None:
        """Cancel the pending fetch."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self, delay_s: float | None) -> None:
        state = self._state
        if delay_s is None:
            delay_s = DELAY_FRACTION * state.settings.bounds.apply_s
        if state.document is not None and not state.directory.is_cut_off:
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
            self._log_failure(ip, str(problem))
            return FAILURE_RETRY_S
        if fetched.status == BUSY_STATUS:
            self._state.metrics.increment('peer_busy', path=self.path)
            return BUSY_RETRY_S
        if fetched.status != OK_STATUS:
            self._log_failure(ip, f'status {fetched.status}')
            return FAILURE_RETRY_S
        return 0 if self.apply(fetched.content, ip) else FAILURE_RETRY_S

    def _log_failure(self, ip: str, problem: str) -> None:
        self._state.log.write(
            'peer_fetch_failed', peer=ip, path=self.path, problem=problem
        )


def make_document_fetcher(state: GatewayState) -> PeerFetcher:
    """Return a fetcher of newer documents."""
    return PeerFetcher(
        state,
        DOCUMENT_PATH,
        partial(_list_document_offers, state),
        partial(_accept_document, state),
    )


def make_targets_fetcher(state: GatewayState) -> PeerFetcher:
    """Return a fetcher of the targets while the store does not answer."""
    return PeerFetcher(
        state,
        TARGETS_PATH,
        partial(_list_target_offers, state),
        partial(_accept_targets, state),
    )


def _list_document_offers(state: GatewayState) -> dict[str, int]:
    version = state.document.version if state.document else 0
    newer = [
        peer for peer in state.peers.peers.values() if peer.version > version
    ]
    return {peer.ip: peer.version for peer in _select_live(state, newer)}


def _list_target_offers(state: GatewayState) -> dict[str, int]:
    directory = state.directory
    if not directory.is_cut_off:
        return {}
    newer = [
        peer
        for peer in state.peers.peers.values()
        if peer.revision > directory.revision
    ]
    return {peer.ip: peer.revision for peer in _select_live(state, newer)}


def _select_live(state: GatewayState, peers: list[Peer]) -> list[Peer]:
    """Return the live ones; each heartbeat asks, and mostly with none."""
    if not peers:
        return []
    live = set(state.peers.list_live(state.get_now_s()))
    return [peer for peer in peers if peer.ip in live]


def _accept_document(state: GatewayState, content: bytes, ip: str) -> bool:
    return state.accept_document(content, f'peer {ip}')


def _accept_targets(state: GatewayState, content: bytes, ip: str) -> bool:
    applied = apply_targets(state, content)
    if applied.is_error():
        state.log.write(
            'peer_fetch_failed',
            peer=ip,
            path=TARGETS_PATH,
            problem=applied.error,
        )
        return False
    return applied.ok > 0
