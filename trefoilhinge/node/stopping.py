"""Rules of a planned stop."""

from trefoilhinge.core.clocks import Instant
from trefoilhinge.node.handover import HANDOVER_TIMEOUT_S


def takes_calls(
    stopping_since_s: float | None,
    stop_wait_s: float,
    now: Instant,
) -> bool:
    """Return whether new calls are taken.

    An instance that cannot reach a peer stays up for the whole handover, and
    is then the only one that its callers may reach. Later calls would delay
    the exit for as long as callers keep coming.

    :param stopping_since_s: monotonic seconds of the stop request, if any.
    :param stop_wait_s: seconds that the load balancer takes to notice.
    """
    if stopping_since_s is None:
        return True
    limit_s = stop_wait_s + HANDOVER_TIMEOUT_S
    return now.monotonic_s - stopping_since_s < limit_s
