"""Notices that a target fell silent while its answer is awaited."""

import asyncio
from collections.abc import Coroutine
from typing import Protocol, TypeVar

from trefoilhinge.dispatch.settings import parse_address
from trefoilhinge.gateway.target_connections import AnswerBroken
from trefoilhinge.gateway.tcp import open_tcp_connection

PROBE_TIMEOUT_S = 0.5  # a target in reach accepts a connection in milliseconds
MAXIMUM_PREFILL_SILENCE_S = (
    4.0  # of one pass; a mute target gets new prompts too
)
MAXIMUM_SILENT_PROBES = (
    2  # silences in a row after which a live target counts as mute
)

Answer = TypeVar('Answer')


class MonitoredConnection(Protocol):
    """An exchange whose silence is watched."""

    @property
    def address(self) -> str:
        """Return the target's address."""

    @property
    def last_received_s(self) -> float:
        """Return monotonic seconds at which it was last heard."""

    @property
    def silence_timeout_s(self) -> float:
        """Return seconds of silence that are expected of it."""

    def find_backlog_s(self) -> float:
        """Return seconds in which it is known to read and to write nothing."""


async def await_answer(
    answer: Coroutine[object, object, Answer],
    connection: MonitoredConnection,
) -> Answer:
    """Await an answer as long as its target is there.

    Silence alone proves nothing, as a long prompt is read in silence: the
    target is asked for a new connection first.

    :raises AnswerBroken: the target is gone, or takes connections and has
        been mute for too long.
    """
    task = asyncio.ensure_future(answer)
    try:
        await _monitor(task, connection)
        return await task
    finally:
        task.cancel()


async def _monitor(
    task: asyncio.Task[Answer], connection: MonitoredConnection
) -> None:
    loop = asyncio.get_running_loop()
    probed_s = float('-inf')
    probes = 0
    while not task.done():
        if connection.last_received_s > probed_s:
            probes = 0
        since_s = max(connection.last_received_s, probed_s)
        wait_s = since_s + connection.silence_timeout_s - loop.time()
        if loop.time() - since_s < MAXIMUM_PREFILL_SILENCE_S:
            # A long reading may have come after the call itself.
            wait_s = max(wait_s, connection.find_backlog_s())
        if wait_s > 0:
            await asyncio.wait((task,), timeout=wait_s)
            continue
        probes += 1
        if probes > MAXIMUM_SILENT_PROBES:
            raise AnswerBroken('the target is mute')
        await _probe(connection.address)
        probed_s = loop.time()


async def _probe(address: str) -> None:
    try:
        _, writer = await open_tcp_connection(
            parse_address(address), PROBE_TIMEOUT_S
        )
    except OSError as problem:
        kind = type(problem).__name__
        raise AnswerBroken(f'the target is gone: {kind}') from problem
    writer.transport.abort()
