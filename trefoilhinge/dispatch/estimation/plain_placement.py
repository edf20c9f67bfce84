"""Choice of a plain call's target by the service time that is ahead of it."""

from collections.abc import Collection, Mapping, Sequence

from attrs import frozen

from trefoilhinge.dispatch.estimation.cost_table import CostTable
from trefoilhinge.dispatch.estimation.estimates import CallFeatures
from trefoilhinge.dispatch.loads import LoadTable
from trefoilhinge.dispatch.targets import TargetRecord

# A target that named a limit is preferred by so much: only an answer shows
# that its limit has ended.
LIMIT_PROBE_S = 0.002


@frozen
class PlainRequest:
    """A plain call to place and the time of its placement.

    :ivar now_s: monotonic seconds.
    :ivar delays_s: one-way delays to failure domains, seconds.
    :ivar limited: names of targets that named a limit.
    """

    features: CallFeatures
    now_s: float
    delays_s: Mapping[str, float]
    limited: Collection[str] = ()


def place_by_service_time(
    records: Sequence[TargetRecord],
    loads: LoadTable,
    costs: CostTable,
    request: PlainRequest,
) -> TargetRecord | None:
    """Return the target that is expected to answer first, if there is any.

    A target whose calls take long or never end has much work outstanding, so
    that it gets fewer calls than its number of running calls would allow.
    """

    def rate(record: TargetRecord) -> float:
        elapsed_s = [
            request.now_s - run.started_s
            for run in loads.get(record.name).runs.values()
        ]
        outstanding_s = costs.estimate_outstanding_s(record.name, elapsed_s)
        service = costs.estimate_service_s(request.features, record.name)
        probe_s = LIMIT_PROBE_S if record.name in request.limited else 0
        distance_s = 2 * request.delays_s.get(record.failure_domain, 0)
        return (
            outstanding_s / max(1, record.slots)
            + service.mean
            + distance_s
            - probe_s
        )

    return min(records, key=rate, default=None)
