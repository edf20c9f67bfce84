"""Times without data after which the target of a call is probed."""

from trefoilhinge.dispatch.calls import Call
from trefoilhinge.dispatch.documents import Route
from trefoilhinge.dispatch.group_placement import Placement
from trefoilhinge.gateway.liveness import MAXIMUM_SILENT_PROBES

MINIMUM_SILENCE_TIMEOUT_S = 0.6  # a few engine iterations
# Silence of a plain call's target until the call is sent to another one as
# well: several times the duration of most plain calls.
MINIMUM_PLAIN_PATIENCE_S = 0.75
PLAIN_OBJECTIVES = 2.0  # times the objective of the answer
PLAIN_REMAINING_SHARE = 0.5  # of the time that the call has left
FIRST_EVENT_TIMEOUT_FACTOR = 1.5  # times the predicted time to first event
GAP_TIMEOUT_FACTOR = 2.0  # times the maximum gap that meets the SLO


def find_answer_timeout_s(
    call: Call, placement: Placement, remaining_s: float
) -> float:
    """Return the time until an answer begins, without the target's backlog.

    :param remaining_s: seconds until the deadline of the call.
    """
    if call.head.prompt_size is None:
        patience_s = min(
            call.route.slo_s * PLAIN_OBJECTIVES,
            remaining_s * PLAIN_REMAINING_SHARE,
        )
        return max(MINIMUM_PLAIN_PATIENCE_S, patience_s) / (
            MAXIMUM_SILENT_PROBES + 1
        )
    return (
        MINIMUM_SILENCE_TIMEOUT_S
        + FIRST_EVENT_TIMEOUT_FACTOR * placement.first_event_s
    )


def find_event_timeout_s(route: Route) -> float:
    """Return the time between two events of a stream."""
    return max(MINIMUM_SILENCE_TIMEOUT_S, route.gap_slo_s * GAP_TIMEOUT_FACTOR)
