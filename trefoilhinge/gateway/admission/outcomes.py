"""Records of what became of calls that waited for capacity."""

from trefoilhinge.dispatch.admission.decisions import Decision
from trefoilhinge.dispatch.documents import REQUEST_HASH_VALUES
from trefoilhinge.dispatch.group_placement import Placement
from trefoilhinge.gateway.admission.waiter import Waiter
from trefoilhinge.gateway.progress import CallProgress
from trefoilhinge.gateway.refusals import CallFailed, make_no_capacity_refusal
from trefoilhinge.gateway.state import GatewayState


def record_wait(state: GatewayState, waiter: Waiter, wait_s: float) -> None:
    """Record that a call begins to wait as it has no room.

    :param wait_s: expected seconds until it is placed.
    """
    state.metrics.increment('calls_waited')
    state.log.write(
        'capacity_awaited',
        request=waiter.call.head.request_id,
        service=waiter.waiting.service,
        priority=waiter.waiting.priority,
        ahead=waiter.position,
        waits_s=wait_s,
        remaining_s=waiter.waiting.latest_s - waiter.announced_s,
    )


def record_found(
    state: GatewayState, waiter: Waiter, placement: Placement
) -> None:
    """Record that a call that waited is placed."""
    took_s = state.get_now_s() - waiter.announced_s
    state.metrics.observe('capacity_wait', took_s)
    state.log.write(
        'capacity_found',
        request=waiter.call.head.request_id,
        target=placement.parts[0].target,
        took_s=took_s,
    )


def make_refusal(
    state: GatewayState,
    waiter: Waiter,
    progress: CallProgress,
    decision: Decision,
) -> CallFailed:
    """Record that a call is refused; return its refusal."""
    call = waiter.call
    state.metrics.increment('calls_without_capacity')
    state.log.write(
        'capacity_refused',
        request=call.head.request_id,
        service=call.service,
        priority=call.priority,
        reason=decision.reason,
        ahead=waiter.position,
        waits_s=decision.wait_s,
        known=state.peers.count_known(),
    )
    spread = call.head.request_hash / REQUEST_HASH_VALUES
    return CallFailed(
        make_no_capacity_refusal(progress, decision.wait_s, spread)
    )
