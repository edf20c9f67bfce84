"""Requests to cold targets, and how many of them there may be."""

from collections.abc import Iterable

from attrs import frozen

# The callers of a soak send a plain target about six requests a second. The
# instances may send a cold one four: the rate, times the ratio, and the slack.
COLD_REQUESTS_PER_S = 2.0
COLD_RATIO = 1.5
COLD_SLACK = 1.0
COLD_REQUESTS = COLD_REQUESTS_PER_S * COLD_RATIO + COLD_SLACK
COLD_WINDOW_S = 1.0
# Until every instance knows; what was sent before is not counted.
COLD_STABLE_S = 1.0


@frozen
class ObservedCold:
    """Time in which a target was cold.

    :ivar port: port of the target, which keeps it over its incarnations.
    :ivar begin_s: time at which the store had its entry that says so.
    """

    port: int
    begin_s: float
    end_s: float


def find_excess(
    cold: ObservedCold, arrivals: Iterable[tuple[int, float]]
) -> int:
    """Return the most requests in a second, zero if they are allowed.

    :param arrivals: port of the target and time of each request.
    """
    checked_s = sorted(
        at_s
        for port, at_s in arrivals
        if port == cold.port
        and cold.begin_s + COLD_STABLE_S <= at_s < cold.end_s
    )
    most = max(
        (
            sum(at_s < begin_s + COLD_WINDOW_S for at_s in checked_s[position:])
            for position, begin_s in enumerate(checked_s)
        ),
        default=0,
    )
    return most if most > COLD_REQUESTS else 0
