"""The planned stop of an instance, from the order to the exit."""

import asyncio
from collections.abc import Awaitable, Callable

from attrs import define

from trefoilhinge.gateway.call_service import CallService
from trefoilhinge.gateway.caller_connections import CallerConnection
from trefoilhinge.gateway.state import GatewayState

# The platform routes new calls elsewhere within 2 s of the order to stop.
DRAIN_UNRESTRICTED_S = 2.5
# Another second lets calls that were already in transit arrive.
DRAIN_MINIMUM_S = 3.5
EXIT_MARGIN_S = 0.5  # between the exit and the platform's kill
DRAIN_POLL_INTERVAL_S = 0.1
# For calls on connections that were open when the listener closed.
EXIT_LINGER_POLLS = 15
EXIT_POLL_INTERVAL_S = 0.02
# Outcomes of calls, as they are counted from the order to the exit.
OUTCOMES = ('answered', 'refused', 'failed', 'caller_gone', 'cut')


@define
class PlannedStop:
    """Lets calls end, and then the connections of callers."""

    _state: GatewayState
    _service: CallService
    _callers: set[CallerConnection]
    _stop_listening: Callable[[], Awaitable[None]]

    async def run(self) -> None:
        """Return when the process may exit."""
        loop = asyncio.get_running_loop()
        ordered_s = loop.time()
        self._state.log.write(
            'stop_ordered',
            active=self._service.active,
            **self._service.open_calls.count_stages(),
        )
        await self._drain()
        self._state.log.write(
            'stopped',
            active=self._service.active,
            **self._service.open_calls.count_stages(),
            arriving=sum(caller.is_arriving for caller in self._callers),
            **self._count_outcomes(),
            took_s=loop.time() - ordered_s,
            grace_s=self._state.settings.bounds.grace_s,
        )

    async def _drain(self) -> None:
        loop = asyncio.get_running_loop()
        grace_s = self._state.settings.bounds.grace_s
        self._state.admission_restricted_at_s = (
            loop.time() + DRAIN_UNRESTRICTED_S
        )
        self._state.exit_at_s = loop.time() + grace_s - EXIT_MARGIN_S
        latest_exit_s = self._state.exit_at_s
        await asyncio.sleep(DRAIN_MINIMUM_S)
        while loop.time() < latest_exit_s:
            self.close_idle()
            if not self._service.active:
                # Calls from now on are refused rather than cut off by the exit.
                self._state.exit_at_s = loop.time()
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
            refuses_calls = self._state.exit_at_s < latest_exit_s
            if refuses_calls and not self._service.active:
                break
        await self._close_connections(latest_exit_s)

    def close_idle(self) -> None:
        """Close the connections on which no call is received or served."""
        for caller in tuple(self._callers):
            caller.close_idle()

    def _count_outcomes(self) -> dict[str, int]:
        """Return how many calls ended since the order, by outcome."""
        return {
            f'{outcome}_calls': self._state.metrics.get_count(
                'stop_calls', outcome=outcome
            )
            for outcome in OUTCOMES
        }

    async def _close_connections(self, latest_exit_s: float) -> None:
        """Refuse connections, and answer the calls on those that are open.

        The exit resets a connection that has bytes to read.
        """
        await self._stop_listening()
        await self._await_callers(latest_exit_s)
        self.close_idle()
        # Connections on which calls had arrived that were not read.
        await self._await_callers(latest_exit_s)

    async def _await_callers(self, latest_exit_s: float) -> None:
        loop = asyncio.get_running_loop()
        # Polls are counted in place of time: on a starved machine the time
        # might pass before any of the calls was read.
        polls = 0
        while (
            self._callers
            and polls < EXIT_LINGER_POLLS
            and loop.time() < latest_exit_s + EXIT_MARGIN_S / 2
        ):
            # Calls that have arrived may take more turns of the event loop.
            if not any(caller.is_pending for caller in self._callers):
                polls += 1
            await asyncio.sleep(EXIT_POLL_INTERVAL_S)
