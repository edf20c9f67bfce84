"""Answers that may still come from targets that were silent for too long."""

import asyncio
import math
from collections.abc import Awaitable, Callable, Coroutine

from attrs import define, field

from trefoilhinge.gateway.liveness import (
    LIVENESS_INTERVAL_S,
    Probe,
    await_answer,
)
from trefoilhinge.gateway.refusals import CallFailed
from trefoilhinge.gateway.target_connections import (
    AnswerBroken,
    TargetConnection,
)


@define
class LateAnswers:
    """Awaits late answers of one call beside its further attempts.

    The first answer is sent to the caller, whichever attempt it comes from.
    """

    _connections: list[TargetConnection] = field(factory=list)
    _answers: set[asyncio.Future[bool]] = field(factory=set)
    _monitors: set[asyncio.Task[bool]] = field(factory=set)

    @property
    def is_current(self) -> bool:
        """Return whether the current task handles a late answer."""
        return asyncio.current_task() in self._answers

    @property
    def are_awaited(self) -> bool:
        """Return whether an answer may still come."""
        return bool(self._monitors)

    def add(
        self,
        answer: asyncio.Task[bool],
        connection: TargetConnection,
        probe: Probe,
    ) -> None:
        """Await an answer until its target is gone.

        :param answer: returns whether it sent an answer to the caller.
        :param probe: raises ``AnswerBroken`` if the target is not alive.
        """
        connection.silence_timeout_s = LIVENESS_INTERVAL_S
        self._connections.append(connection)
        self._answers.add(answer)
        monitored = await_answer(answer, connection, probe, math.inf)
        self._monitors.add(asyncio.ensure_future(_ignore_failure(monitored)))

    async def run_beside(
        self, attempt: Callable[[], Coroutine[object, object, bool]]
    ) -> bool:
        """Run an attempt until it ends or a late answer is sent.

        :return: whether the call was answered.
        :raises CallFailed: the attempt failed for good, and so did all late
            answers.
        """
        if not self._monitors:
            return await self._finish(attempt())
        task = asyncio.ensure_future(attempt())
        try:
            return await self._await_first(task)
        finally:
            if not task.done():
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)

    async def wait(self) -> bool:
        """Wait for late answers; return whether one was sent."""
        while self._monitors:
            await asyncio.wait(
                self._monitors, return_when=asyncio.FIRST_COMPLETED
            )
            if self._take_done():
                return True
        return False

    def close(self) -> None:
        """Abort what is still awaited."""
        for monitor in self._monitors:
            monitor.cancel()
        for connection in self._connections:
            connection.close()

    async def _await_first(self, task: asyncio.Task[bool]) -> bool:
        while not task.done():
            await asyncio.wait(
                (task, *self._monitors),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if self._take_done():
                return True
        return await self._finish(task)

    async def _finish(self, attempt: Awaitable[bool]) -> bool:
        try:
            return await attempt
        except CallFailed:
            if await self.wait():
                return True
            raise

    def _take_done(self) -> bool:
        """Return whether a late answer was sent, and forget those that end."""
        done = {monitor for monitor in self._monitors if monitor.done()}
        self._monitors -= done
        return any(not one.cancelled() and one.result() for one in done)


async def _ignore_failure(answer: Awaitable[bool]) -> bool:
    """Return whether an answer was sent; its call goes on without it."""
    try:
        return await answer
    except (AnswerBroken, CallFailed):
        return False
