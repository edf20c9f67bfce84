"""Detection of targets that stop responding during a call."""

import asyncio
import functools
from collections.abc import Awaitable, Callable, Coroutine
from typing import Protocol, TypeVar

from trefoilhinge.dispatch.settings import parse_address
from trefoilhinge.gateway.target_connections import AnswerBroken
from trefoilhinge.gateway.tcp import open_tcp_connection

# A sound target may be silent for a second and go on. Callers leave a stream
# after two seconds of silence.
PROBE_TIMEOUT_S = 1.0
# Longest prefill within one iteration. After it the backlog no longer extends
# the wait: an unresponsive target gets new prompts too, so its backlog might
# never end.
MAXIMUM_PREFILL_SILENCE_S = 4.0
MAXIMUM_SILENT_PROBES = 2  # consecutive accepted probes without data
# Between two probes of a target that is expected to be silent for longer: one
# that went dark keeps the call, and memory that is reserved for it elsewhere.
LIVENESS_INTERVAL_S = 1.5

Answer = TypeVar('Answer')
Probe = Callable[[], Awaitable[None]]


class TargetSilent(AnswerBroken):
    """A target that is alive has sent nothing for too long."""


class MonitoredConnection(Protocol):
    """A connection that is checked for silence."""

    @property
    def address(self) -> str:
        """Return the ``host:port`` of the target."""

    @property
    def last_progress_s(self) -> float:
        """Return monotonic seconds at which the answer last progressed."""

    @property
    def waits_for_caller(self) -> bool:
        """Return whether nothing is read because the caller is slow."""

    @property
    def silence_timeout_s(self) -> float:
        """Return seconds without progress after which the target is probed."""

    def find_backlog_s(self) -> float:
        """Return seconds of prefill in which the target sends nothing."""


async def await_answer(
    answer: Coroutine[object, object, Answer] | asyncio.Task[Answer],
    connection: MonitoredConnection,
    probe: Probe | None = None,
    maximum_silent_probes: float = MAXIMUM_SILENT_PROBES,
) -> Answer:
    """Await an answer while its target is alive.

    A task is left running if its target is silent for too long.

    Silence alone proves nothing, since a target sends nothing while it
    prefills a long prompt. It is probed with a new connection first.

    :param probe: raises ``AnswerBroken`` if the target is not alive; without
        one, a connection to it is opened.
    :param maximum_silent_probes: successive probes that succeed while no data
        arrives.
    :raises TargetSilent: the target accepts connections but sends no data for
        too long.
    :raises AnswerBroken: the target does not accept a connection.
    """
    task = asyncio.ensure_future(answer)
    try:
        await _monitor(
            task,
            connection,
            probe or functools.partial(probe_target, connection.address),
            maximum_silent_probes,
        )
        return await task
    except TargetSilent:
        if task is not answer:
            task.cancel()
        raise
    except BaseException:
        task.cancel()
        raise


async def _monitor(
    task: asyncio.Task[Answer],
    connection: MonitoredConnection,
    probe: Probe,
    maximum_silent_probes: float,
) -> None:
    loop = asyncio.get_running_loop()
    probed_s = float('-inf')  # latest probe after a silence that is too long
    alive_s = float('-inf')  # latest probe at all
    probes = 0
    while not task.done():
        if connection.waits_for_caller:
            await asyncio.wait((task,), timeout=connection.silence_timeout_s)
            continue
        if connection.last_progress_s > probed_s:
            probes = 0
        since_s = max(connection.last_progress_s, probed_s)
        wait_s = _compute_silence_wait_s(connection, since_s, loop.time())
        check_s = max(since_s, alive_s) + LIVENESS_INTERVAL_S - loop.time()
        if wait_s > 0 and check_s > 0:
            await asyncio.wait((task,), timeout=min(wait_s, check_s))
            continue
        is_overdue = wait_s <= 0
        probes += int(is_overdue)
        if probes > maximum_silent_probes:
            raise TargetSilent('target accepts connections but sends no data')
        await probe()
        alive_s = loop.time()
        if is_overdue:
            probed_s = alive_s


def _compute_silence_wait_s(
    connection: MonitoredConnection, since_s: float, now_s: float
) -> float:
    """Return seconds for which the target may still be silent."""
    wait_s = since_s + connection.silence_timeout_s - now_s
    if now_s - since_s >= MAXIMUM_PREFILL_SILENCE_S:
        return wait_s
    # A long prompt may have been placed there after this call.
    return max(wait_s, connection.find_backlog_s())


async def probe_target(address: str) -> None:
    """Open a connection to a target and close it.

    :raises AnswerBroken: the target does not accept it.
    """
    try:
        _, writer = await open_tcp_connection(
            parse_address(address), PROBE_TIMEOUT_S
        )
    except OSError as problem:
        kind = type(problem).__name__
        raise AnswerBroken(
            f'target does not accept connections: {kind}'
        ) from problem
    writer.transport.abort()
