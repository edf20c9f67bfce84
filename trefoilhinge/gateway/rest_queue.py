"""Calls that wait until a target of their service has rested."""

import asyncio
import itertools

from attrs import define, field

from trefoilhinge.dispatch.calls import Call
from trefoilhinge.dispatch.documents import REQUEST_HASH_VALUES
from trefoilhinge.gateway.state import GatewayState

MAXIMUM_WAIT_S = 1.0  # longer rests are told to the caller instead
# Between two returns to a service, over all instances.
RETURN_INTERVAL_S = 0.03


@define
class RestQueue:
    """Lets calls return in order, and not all at the end of a rest."""

    _state: GatewayState
    _waiting: dict[int, tuple[str, int]] = field(factory=dict)
    _numbers: 'itertools.count[int]' = field(factory=itertools.count)
    _next_return_s: dict[str, float] = field(factory=dict)

    def estimate_wait_s(self, call: Call) -> float | None:
        """Return seconds until a call may be sent to a resting target.

        :return: ``None`` if no target of its service rests.
        """
        state = self._state
        now_s = state.get_now_s()
        waits_s = [
            state.rests.compute_wait_s(record, now_s)
            for record in state.directory.list_serving(call.service)
            if state.rests.is_resting(record, now_s)
        ]
        if not waits_s:
            return None
        ahead = sum(
            service == call.service and priority <= call.priority
            for service, priority in self._waiting.values()
        )
        spread = call.head.request_hash / REQUEST_HASH_VALUES
        interval_s = RETURN_INTERVAL_S * state.peers.count_instances(now_s)
        return min(waits_s) + (ahead + spread) * interval_s

    async def wait(self, call: Call, wait_s: float) -> None:
        """Wait for a time in which later calls queue up behind this one."""
        number = next(self._numbers)
        self._waiting[number] = (call.service, call.priority)
        try:
            await asyncio.sleep(wait_s)
            await asyncio.sleep(self._take_return(call.service))
        finally:
            self._waiting.pop(number)

    def _take_return(self, service: str) -> float:
        """Return seconds until a call whose wait is over may return.

        A process that got no processor time finds many waits over at once.
        """
        now_s = self._state.get_now_s()
        return_s = max(now_s, self._next_return_s.get(service, 0))
        self._next_return_s[service] = return_s + RETURN_INTERVAL_S
        return return_s - now_s
