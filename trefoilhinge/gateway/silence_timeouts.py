"""Times without data after which the target of a call is probed."""

from trefoilhinge.dispatch.calls import Call
from trefoilhinge.dispatch.documents import Route
from trefoilhinge.dispatch.group_placement import Placement

MINIMUM_SILENCE_TIMEOUT_S = 0.6  # a few engine iterations
PLAIN_SILENCE_TIMEOUT_S = 0.25  # several times the duration of a plain call
FIRST_EVENT_TIMEOUT_FACTOR = 1.5  # times the predicted time to first event
GAP_TIMEOUT_FACTOR = 2.0  # times the maximum gap that meets the SLO


def find_answer_timeout_s(call: Call, placement: Placement) -> float:
    """Return the time until an answer begins, without the target's backlog."""
    if call.head.prompt_size is None:
        return PLAIN_SILENCE_TIMEOUT_S
    return (
        MINIMUM_SILENCE_TIMEOUT_S
        + FIRST_EVENT_TIMEOUT_FACTOR * placement.first_event_s
    )


def find_event_timeout_s(route: Route) -> float:
    """Return the time between two events of a stream."""
    return max(MINIMUM_SILENCE_TIMEOUT_S, route.gap_slo_s * GAP_TIMEOUT_FACTOR)
