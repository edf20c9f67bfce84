"""What this instance tells the others of its waiting calls and its runs."""

from collections.abc import Callable, Iterable

from attrs import define

from trefoilhinge.dispatch.admission.codec import (
    MAXIMUM_ALIVE_NUMBERS,
    CallsWaiting,
    WaitsEnded,
    split_calls,
)
from trefoilhinge.dispatch.admission.renewals import compute_report_interval_s
from trefoilhinge.dispatch.admission.waiting_calls import WaitingCall
from trefoilhinge.dispatch.messages import Message
from trefoilhinge.gateway.run_records import make_alive_message
from trefoilhinge.gateway.state import GatewayState

# A call whose announcement was lost is known this much later; the others
# forget calls that are not renewed in ``WAITING_EXPIRY_S``.
RENEWAL_INTERVAL_S = 1.0
# Sweeps are 0.5 s apart and may be a little early.
SWEEP_TOLERANCE_S = 0.1


@define
class Announcements:
    """Announces waiting calls, and repeats what may have been lost."""

    _state: GatewayState
    _broadcast: Callable[[Message], None]
    _renewed_s: float = float('-inf')
    _reported_s: float = float('-inf')

    def announce(self, waiting: WaitingCall, now_s: float) -> None:
        """Tell the others of a call that begins to wait."""
        self._broadcast(CallsWaiting((waiting,), now_s))

    def withdraw(self, number: int) -> None:
        """Tell the others that a call no longer waits."""
        self._broadcast(WaitsEnded(self._state.origin, (number,)))

    def renew(self, own: Iterable[WaitingCall]) -> None:
        """Repeat the announcements that are not new.

        :param own: the waiting calls of this instance.
        """
        now_s = self._state.get_now_s()
        if now_s < self._renewed_s + RENEWAL_INTERVAL_S - SWEEP_TOLERANCE_S:
            return
        self._renewed_s = now_s
        renewed = [
            waiting
            for waiting in own
            if now_s >= waiting.since_s + RENEWAL_INTERVAL_S / 2
        ]
        for waiting in renewed:
            self._state.admission.waiting.add(waiting, now_s)
        for message in split_calls(renewed, now_s):
            self._broadcast(message)

    def report_runs(self) -> None:
        """Tell the others which runs go on, if the ends of others matter.

        A run whose end was lost matters only while calls wait for its slot.
        """
        state = self._state
        now_s = state.get_now_s()
        interval_s = compute_report_interval_s(
            state.peers.count_instances(now_s)
        )
        if not state.admission.waiting.count():
            return
        if now_s < self._reported_s + interval_s - SWEEP_TOLERANCE_S:
            return
        self._reported_s = now_s
        alive = make_alive_message(state)
        if len(alive.numbers) <= MAXIMUM_ALIVE_NUMBERS:
            self._broadcast(alive)
