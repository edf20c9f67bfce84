"""The planned stop of an instance, from the order to the exit."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable, Collection

from attrs import define

from trefoilhinge.dispatch.stops import StopSchedule
from trefoilhinge.gateway.call_service import CallService
from trefoilhinge.gateway.caller_connections import CallerConnection
from trefoilhinge.gateway.reservations import finish_releases
from trefoilhinge.gateway.state import GatewayState

# The platform routes new calls elsewhere within 2 s of the order to stop; the
# rest lets calls that were already in transit arrive.
DRAIN_MINIMUM_S = 3.5
DRAIN_POLL_INTERVAL_S = 0.1
# For calls on connections that were open when the listener closed. Some polls
# are made also by a process that wakes after its time.
EXIT_LINGER_POLLS = 15
MINIMUM_LINGER_POLLS = 3
# For answers of calls that are given up at the exit.
GIVE_UP_POLLS = 10
EXIT_POLL_INTERVAL_S = 0.02
KILL_MARGIN_S = 0.3  # between the exit and the platform's kill
# For targets to free the memory of calls that were given up.
RELEASE_LIMIT_S = 0.1
# Outcomes of calls, as they are counted from the order to the exit.
OUTCOMES = ('answered', 'refused', 'failed', 'caller_gone', 'cut')


@define
class PlannedStop:
    """Lets calls end, and then the connections of callers."""

    _state: GatewayState
    _service: CallService
    _list_callers: Callable[[], Collection[CallerConnection]]
    _stop_listening: Callable[[], Awaitable[None]]
    _schedule: StopSchedule

    async def run(self) -> None:
        """Return when the process may exit."""
        self._state.log.write(
            'stop_ordered',
            active=self._service.active,
            **self._service.open_calls.count_stages(),
        )
        await self._drain()
        await self._end_calls()
        await self._close_connections()
        await finish_releases(RELEASE_LIMIT_S)
        self._state.log.write(
            'stopped',
            active=self._service.active,
            **self._service.open_calls.count_stages(),
            arriving=sum(caller.is_arriving for caller in self._list_callers()),
            **self._count_outcomes(),
            took_s=self._state.get_now_s() - self._schedule.ordered_s,
            grace_s=self._schedule.grace_s,
        )

    async def _drain(self) -> None:
        """Let calls end, and refuse those that cannot.

        Returns at the time for the exit, or sooner when no call is left.
        """
        schedule = self._schedule
        now_s = self._state.get_now_s()
        while now_s < schedule.exit_s:
            self._service.open_calls.give_up_hopeless()
            if now_s >= schedule.ordered_s + DRAIN_MINIMUM_S:
                if schedule.is_closing and not self._service.active:
                    return
                self._close_idle()
                # Calls from now on are refused rather than cut off by the exit.
                schedule.is_closing |= not self._has_calls()
            await asyncio.sleep(
                min(DRAIN_POLL_INTERVAL_S, schedule.exit_s - now_s)
            )
            now_s = self._state.get_now_s()

    async def _end_calls(self) -> None:
        """Answer all calls that have no answer yet.

        Polls are counted in place of time: a process that wakes late still
        answers its calls.
        """
        self._schedule.is_closing = True
        open_calls = self._service.open_calls
        open_calls.give_up_all()
        for _ in range(GIVE_UP_POLLS):
            if open_calls.are_answered:
                return
            await asyncio.sleep(EXIT_POLL_INTERVAL_S)

    def _has_calls(self) -> bool:
        """Return whether calls are served, or have arrived."""
        return bool(self._service.active) or any(
            caller.is_pending for caller in self._list_callers()
        )

    def _close_idle(self) -> None:
        """Close the connections on which no call is received or served."""
        for caller in self._list_callers():
            caller.close_idle()

    def _count_outcomes(self) -> dict[str, int]:
        """Return how many calls ended since the order, by outcome."""
        return {
            f'{outcome}_calls': self._state.metrics.get_count(
                'stop_calls', outcome=outcome
            )
            for outcome in OUTCOMES
        }

    async def _close_connections(self) -> None:
        """Refuse connections, and answer the calls on those that are open.

        The exit resets a connection that has bytes to read.
        """
        await self._stop_listening()
        await self._await_callers()
        self._close_idle()
        # Connections on which calls had arrived that were not read.
        await self._await_callers()

    async def _await_callers(self) -> None:
        # Polls are counted in place of time: on a starved machine the time
        # might pass before any of the calls was read.
        quiet_polls = 0
        latest_s = self._schedule.kill_s - KILL_MARGIN_S
        for polls in itertools.count():
            callers = self._list_callers()
            if not callers or quiet_polls >= EXIT_LINGER_POLLS:
                return
            is_late = self._state.get_now_s() >= latest_s
            if is_late and polls >= MINIMUM_LINGER_POLLS:
                return
            for caller in callers:
                caller.end_receipt()
            # Calls that have arrived may take more turns of the event loop.
            if not any(caller.is_pending for caller in callers):
                quiet_polls += 1
            await asyncio.sleep(EXIT_POLL_INTERVAL_S)
