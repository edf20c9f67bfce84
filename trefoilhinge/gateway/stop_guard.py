"""Keeps a call from being sent if its instance ends before the call could."""

from attrs import define, field

from trefoilhinge.dispatch.calls import Call
from trefoilhinge.dispatch.durations import (
    estimate_duration_s,
    estimate_expected_s,
    estimate_output_s,
)
from trefoilhinge.dispatch.group_placement import MAXIMUM_HELPERS, Placement
from trefoilhinge.dispatch.stops import CallPlan
from trefoilhinge.gateway.progress import CallProgress
from trefoilhinge.gateway.refusals import CallFailed, make_stopping_refusal
from trefoilhinge.gateway.state import GatewayState


@define
class StopGuard:
    """Knows when one call is to be sent and how long it takes then."""

    _state: GatewayState
    _call: Call
    _progress: CallProgress
    _plan: CallPlan
    _unplaced_s: float = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Keep the estimate that holds before targets are chosen."""
        self._unplaced_s = self._plan.expected_s

    @property
    def allows_sending(self) -> bool:
        """Return whether the call can be sent and end before the exit."""
        stop = self._state.stop
        return stop is None or stop.can_finish(
            self._plan, self._state.get_now_s()
        )

    def plan_placement(self, placement: Placement) -> None:
        """Note when a placement lets the call be sent, and end.

        :raises CallFailed: this instance ends before the call could.
        """
        document = self._state.document
        output_s: float = 0
        if document is not None:
            output_s = estimate_output_s(
                document, self._call.route, self._call.head.prompt_size
            )
        if self._call.head.prompt_size is not None:
            # The targets' backlogs overlap, and a slow part may outlast them.
            first_event_s = max(
                placement.first_event_s - placement.send_delay_s,
                *(part.prefill_s for part in placement.parts),
            )
            self._plan.expected_s = first_event_s + output_s
        self.plan_wait(placement.send_delay_s)

    def forget_placement(self) -> None:
        """Forget when an earlier placement would have let the call end."""
        self._plan.expected_s = self._unplaced_s
        self._plan.earliest_send_s = 0

    def plan_wait(self, wait_s: float) -> None:
        """Note that the call is not sent sooner than after a time.

        :param wait_s: seconds from now on.
        :raises CallFailed: this instance ends before the call could.
        """
        self._plan.earliest_send_s = self._state.get_now_s() + wait_s
        self.check()

    def check(self) -> None:
        """Make sure that the call may still be sent.

        :raises CallFailed: this instance ends before the call could.
        """
        if not self.allows_sending:
            raise CallFailed(make_stopping_refusal(self._progress))


def make_plan(state: GatewayState, call: Call) -> CallPlan:
    """Return what is known of a call's times before its targets are chosen.

    All targets that may share its prompt are taken to be free.
    """
    document = state.document
    size = call.head.prompt_size
    timeout_s = call.route.timeout_s
    maximum_s = timeout_s
    expected_s = timeout_s
    if document is not None:
        maximum_s = estimate_duration_s(document, call.route, size)
        targets = len(state.directory.list_serving(call.service))
        expected_s = estimate_expected_s(
            document, call.route, size, min(targets, MAXIMUM_HELPERS + 1)
        )
    return CallPlan(call.received_s, call.deadline_s, expected_s, maximum_s)
