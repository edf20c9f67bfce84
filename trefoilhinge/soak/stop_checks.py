"""Which calls a planned stop may leave without a whole answer.

They are those that may take longer than a stop: all others end before.
"""

from trefoilhinge.soak.records import CallKind, ObservedCall

GRACE_S = 8.0  # from the order to stop to the end of the process, at most
# A request that crosses the end of its connection, and was not sent on.
LOSS_SLACK_S = 0.2
# Streams of calls that came until then, and that targets still produced in the
# last part of the time to stop, may break off.
LATE_S = 3.0
LAST_PART = 1 / 6
SUCCESS_STATUS = 200


def may_be_cut(
    call: ObservedCall, finished_s: float | None, has_run: bool
) -> bool:
    """Return whether an incomplete call at a stopping instance is allowed.

    :param finished_s: time at which a target had sent the last of its answer,
        none if it had not.
    """
    if call.whole_s is None or call.ended_s is None:
        return True
    is_crossing = call.ended_s <= call.whole_s + LOSS_SLACK_S
    if not has_run and (is_crossing or call.follows_close):
        return True
    return _has_long_stream(call, finished_s)


def _has_long_stream(call: ObservedCall, finished_s: float | None) -> bool:
    """Return whether the caller had got the begin of a stream that lasted."""
    if call.stop_ordered_s is None or call.whole_s is None:
        return False
    if call.kind is not CallKind.stream or call.status != SUCCESS_STATUS:
        return False
    last_part_s = call.stop_ordered_s + GRACE_S * (1 - LAST_PART)
    worked_until_s = min(
        one for one in (call.ended_s, finished_s) if one is not None
    )
    came_in_time = call.whole_s <= call.stop_ordered_s + LATE_S
    return came_in_time and worked_until_s >= last_part_s
