"""Requests to cold targets, and how many of them there may be."""

from collections.abc import Iterable

from attrs import frozen

from trefoilhinge.soak.records import ObservedArrival

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


def list_excesses(
    cold: ObservedCold, arrivals: Iterable[ObservedArrival]
) -> list[str]:
    """Return the first second in which a cold target got too many requests."""
    checked = sorted(
        (
            arrival
            for arrival in arrivals
            if arrival.port == cold.port
            and cold.begin_s + COLD_STABLE_S <= arrival.at_s < cold.end_s
        ),
        key=lambda arrival: arrival.at_s,
    )
    for position, first in enumerate(checked):
        found = [
            arrival
            for arrival in checked[position:]
            if arrival.at_s < first.at_s + COLD_WINDOW_S
        ]
        if len(found) > COLD_REQUESTS:
            orders = sum(arrival.is_order for arrival in found)
            return [
                f'{len(found)} requests in a second, {orders} of them orders'
            ]
    return []
