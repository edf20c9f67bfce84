"""Notices that a target fell silent while its answer is awaited."""

import asyncio
from collections.abc import Coroutine
from typing import Protocol, TypeVar

from trefoilhinge.dispatch.settings import parse_address
from trefoilhinge.gateway.target_connections import AnswerBroken
from trefoilhinge.gateway.tcp import open_link

CHECK_TIMEOUT_S = 0.5  # a target in reach accepts a connection in milliseconds
LONGEST_READING_S = 4.0  # of one pass; a mute target gets new prompts too
MUTE_CHECKS = 2  # silences in a row after which a live target counts as mute

Answer = TypeVar('Answer')


class Watched(Protocol):
    """An exchange whose silence is watched."""

    @property
    def address(self) -> str:
        """Return the target's address."""

    @property
    def heard_s(self) -> float:
        """Return monotonic seconds at which it was last heard."""

    @property
    def patience_s(self) -> float:
        """Return seconds of silence that are expected of it."""

    def find_backlog_s(self) -> float:
        """Return seconds in which it is known to read and to write nothing."""


async def await_answer(
    work: Coroutine[object, object, Answer],
    watched: Watched,
) -> Answer:
    """Await an answer as long as its target is there.

    Silence alone proves nothing, as a long prompt is read in silence: the
    target is asked for a new connection first.

    :raises AnswerBroken: the target is gone, or takes connections and has
        been mute for too long.
    """
    task = asyncio.ensure_future(work)
    try:
        await _watch(task, watched)
        return await task
    finally:
        task.cancel()


async def _watch(task: asyncio.Task[Answer], watched: Watched) -> None:
    loop = asyncio.get_running_loop()
    checked_s = float('-inf')
    checks = 0
    while not task.done():
        if watched.heard_s > checked_s:
            checks = 0
        since_s = max(watched.heard_s, checked_s)
        wait_s = since_s + watched.patience_s - loop.time()
        if loop.time() - since_s < LONGEST_READING_S:
            # A long reading may have come after the call itself.
            wait_s = max(wait_s, watched.find_backlog_s())
        if wait_s > 0:
            await asyncio.wait((task,), timeout=wait_s)
            continue
        checks += 1
        if checks > MUTE_CHECKS:
            raise AnswerBroken('the target is mute')
        await _check(watched.address)
        checked_s = loop.time()


async def _check(address: str) -> None:
    try:
        _, writer = await open_link(parse_address(address), CHECK_TIMEOUT_S)
    except OSError as problem:
        kind = type(problem).__name__
        raise AnswerBroken(f'the target is gone: {kind}') from problem
    writer.transport.abort()
