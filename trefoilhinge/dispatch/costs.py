"""Cost model of placements, in units of a short call's weight."""

from collections.abc import Iterable

from attrs import frozen

from trefoilhinge.dispatch.documents import EngineProfile
from trefoilhinge.dispatch.loads import TargetLoad, estimate_run_end_s
from trefoilhinge.dispatch.patience import compute_patience_s
from trefoilhinge.dispatch.placement_requests import PlacementRequest
from trefoilhinge.dispatch.targets import TargetRecord

# Ratios of the expected latency to its SLO. An answer up to the first ratio
# loses nothing; one from the second on has the full loss for lateness.
LOSS_START_RATIO = 0.85
FULL_LOSS_RATIO = 1.0
# Share of its weight that a late call loses; late calls still score a quarter.
LATE_LOSS_SHARE = 0.75
TOKENS_PER_WEIGHT = 10_000  # prompt tokens that weigh as much as a short call
# Share of a call's weight per second until its first event.
WAIT_COST_PER_S = 0.02
# Share of the callers' patience from which on a gap counts as a lost stream.
GAP_PATIENCE_SHARE = 0.9
# Ratio of an expected time to its limit from which the call may be lost: the
# target may be slower, or the output longer, than expected.
LOSS_RISK_RATIO = 0.8
# Cost of the last free slot, which another instance may be taking.
LAST_SLOT_COST = 0.06
# Share of a call's weight that is lost when it must wait for a slot or memory.
NO_CAPACITY_COST = 0.5


@frozen
class Candidate:
    """A target and its load.

    :ivar rank: position in the order that all instances share, from 0 for the
        first target to almost 1 for the last.
    :ivar is_limited: whether it named a limit on its requests.
    :ivar delay_s: one-way delay between this instance's failure domain and
        that of the target, seconds; zero if it does not count.
    :ivar may_answer: whether it may be the target that answers; if not, it may
        still help.
    """

    record: TargetRecord
    load: TargetLoad
    rank: float
    is_limited: bool = False
    delay_s: float = 0
    may_answer: bool = True


@frozen
class DecodeState:
    """Streams of a target that an additional prefill would delay.

    :ivar iteration_s: seconds between two events while nothing is prefilled.
    :ivar backlog_s: seconds of prefill that are queued ahead of a new prompt.
    :ivar slowdown: factor by which its prefills are slower than published.
    :ivar stream_weights: pairs of a gap SLO in seconds and the weight of the
        decoding streams that have it.
    """

    iteration_s: float
    backlog_s: float
    slowdown: float
    stream_weights: tuple[tuple[float, float], ...]


def compute_call_weight(size_tokens: float) -> float:
    """Return the weight of a call relative to a short one.

    :param size_tokens: length of the prompt or the context.
    """
    return 1 + size_tokens / TOKENS_PER_WEIGHT


def compute_round_trip_s(candidates: Iterable[Candidate]) -> float:
    """Return the seconds that distance adds to the first event of a call.

    This is how the published delay between failure domains counts: as time
    that the caller waits. The farthest target of a group determines it.
    """
    return 2 * max(candidate.delay_s for candidate in candidates)


def estimate_lateness_loss(expected_s: float, slo_s: float) -> float:
    """Return the share of a call's weight that lateness is expected to cost.

    :param expected_s: expected latency, seconds.
    """
    ratio = expected_s / max(slo_s, 0.001)
    if ratio <= LOSS_START_RATIO:
        return 0
    excess = (ratio - LOSS_START_RATIO) / (FULL_LOSS_RATIO - LOSS_START_RATIO)
    return LATE_LOSS_SHARE * min(1, excess)


def estimate_abandonment_loss(
    request: PlacementRequest, first_event_s: float, iteration_s: float
) -> float:
    """Return the share of its weight that a late call may lose altogether.

    Its caller abandons it before its first event, or its deadline cuts it off.

    :param first_event_s: expected seconds until the first event.
    :param iteration_s: expected seconds between two events.
    """
    route = request.route
    patience_s = compute_patience_s(route.slo_s, route.gap_slo_s)
    step_s = iteration_s / request.engine.steps_per_iteration
    end_s = first_event_s + request.mean_output_tokens * step_s
    ratio = max(
        first_event_s / patience_s, end_s / max(request.remaining_s, 0.001)
    )
    if ratio <= LOSS_RISK_RATIO:
        return 0
    risk = (ratio - LOSS_RISK_RATIO) / (1 - LOSS_RISK_RATIO)
    return (1 - LATE_LOSS_SHARE) * min(1, risk)


def make_decode_state(
    candidate: Candidate,
    engine: EngineProfile,
    now_s: float,
) -> DecodeState:
    """Return the decoding streams of a target.

    Runs that are expected to have ended are left out.
    """
    load = candidate.load
    iteration_s = load.estimate_iteration_s(engine)
    step_s = iteration_s / engine.steps_per_iteration
    weights: dict[float, float] = {}
    for run in load.runs.values():
        if run.gap_slo_s > 0 and estimate_run_end_s(run, step_s) > now_s:
            weight = compute_call_weight(run.context_tokens)
            weights[run.gap_slo_s] = weights.get(run.gap_slo_s, 0) + weight
    return DecodeState(
        iteration_s,
        load.estimate_backlog_s(now_s),
        load.prefill_slowdown,
        tuple(weights.items()),
    )


def estimate_interference_loss(state: DecodeState, prefill_s: float) -> float:
    """Return the weight that decoding streams lose to an added prefill.

    The prefill is sent when the backlog has been processed, so it lengthens
    an iteration by its own duration only.
    """
    before_s = state.iteration_s
    after_s = before_s + prefill_s * state.slowdown
    return sum(
        weight
        * (
            _estimate_gap_loss(after_s, slo_s)
            - _estimate_gap_loss(before_s, slo_s)
        )
        for slo_s, weight in state.stream_weights
    )


def compute_occupancy_cost(
    candidate: Candidate,
    engine: EngineProfile,
    weight: float,
    *,
    lacks_memory: bool,
) -> float:
    """Return the cost of placing a call on a target that is nearly full.

    :param weight: weight of the call.
    :param lacks_memory: whether the call must wait for KV memory.
    """
    free = engine.slots - candidate.load.running
    cost = 0.0  # noqa: WPS358
    if free <= 0:
        cost += NO_CAPACITY_COST * weight
    elif free == 1:
        cost += LAST_SLOT_COST
    if lacks_memory:
        cost += NO_CAPACITY_COST * weight
    return cost


def _estimate_gap_loss(gap_s: float, slo_s: float) -> float:
    """Return the share of a stream's weight that its gaps are expected to cost.

    All of it is lost if the caller is expected to abandon the stream.
    """
    if gap_s > GAP_PATIENCE_SHARE * compute_patience_s(0, slo_s):
        return 1
    return estimate_lateness_loss(gap_s, slo_s)
