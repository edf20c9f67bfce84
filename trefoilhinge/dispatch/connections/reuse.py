"""Which calls may use connections that have carried others."""

from trefoilhinge.dispatch.calls import Call

# A larger request may fill the windows of a connection. Until the target reads
# it, it then looks like one that is not acknowledged.
MAXIMUM_BODY_BYTES = 32_768


def may_keep(call: Call) -> bool:
    """Return whether a connection may be kept after a call.

    A call that may run once keeps nothing and reuses nothing. Whether it ran
    must not depend on what an earlier call left behind, and a connection that
    its target closes meanwhile would leave that open. An answer is told from a
    late one by the identifier of its call.
    """
    return call.route.is_repeatable and bool(call.head.request_id)


def may_reuse(
    call: Call, attempts: int, targets: int, *, allows_retry: bool
) -> bool:
    """Return whether an attempt may be sent on a connection that was kept.

    The target may have closed it already. Then the call is sent again, and
    the target may have seen both requests. So it needs a second attempt that
    nothing else has used, and room for one in the retry budget.

    :param attempts: attempts that were sent before.
    :param targets: targets of the attempt. One with helpers opens its own
        connection: they would prefill twice, and its objective is seconds.
    :param allows_retry: whether the retry budget has room.
    """
    may_send_again = attempts == 0 and call.route.attempts > 1 and allows_retry
    is_small = targets == 1 and len(call.body) <= MAXIMUM_BODY_BYTES
    return may_keep(call) and may_send_again and is_small
