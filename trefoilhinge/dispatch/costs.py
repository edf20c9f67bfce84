"""What a placement costs: the worth that is expected to be lost by it."""

from attrs import frozen

from trefoilhinge.dispatch.documents import EngineProfile
from trefoilhinge.dispatch.loads import TargetLoad, estimate_run_end_s
from trefoilhinge.dispatch.targets import TargetRecord

LOSS_START_RATIO = 0.85  # of an aim: sooner answers lose nothing
FULL_LOSS_RATIO = 1.0  # of an aim: later answers lose all that lateness costs
LATE_LOSS_SHARE = (
    0.75  # of a call's worth; the tables pay a quarter for late ones
)
ABANDON_S = 1.8  # callers leave a stream after a pause of two seconds
TOKENS_PER_WEIGHT = (
    10_000  # tokens of prompt that add the worth of one short call
)
WAIT_COST_PER_S = 0.02  # of a call's worth for each second
LAST_SLOT_COST = 0.06  # the last place: another instance may be taking it
NO_CAPACITY_COST = (
    0.5  # of a call's worth, if it waits for a place or for memory
)


@frozen
class Candidate:
    """A target with its load and its place in the common order, 0 to 1."""

    record: TargetRecord
    load: TargetLoad
    rank: float


@frozen
class DecodeState:
    """What stands to be lost at a target while more is read there.

    :ivar pass_s: seconds between two events while nothing is read.
    :ivar backlog_s: seconds of reading before the next prompt's.
    :ivar worths: worth of the streams that write, by their longest pause on
        time.
    """

    pass_s: float
    backlog_s: float
    slowdown: float
    worths: tuple[tuple[float, float], ...]


def compute_call_weight(size_tokens: float) -> float:
    """Return the worth of a call in those of a short one."""
    return 1 + size_tokens / TOKENS_PER_WEIGHT


def estimate_lateness_loss(expected_s: float, aim_s: float) -> float:
    """Return the part of a call's worth that is expected to be lost."""
    share = expected_s / max(aim_s, 0.001)
    if share <= LOSS_START_RATIO:
        return 0
    spread = (share - LOSS_START_RATIO) / (FULL_LOSS_RATIO - LOSS_START_RATIO)
    return LATE_LOSS_SHARE * min(1, spread)


def make_decode_state(
    one: Candidate,
    figures: EngineProfile,
    now_s: float,
) -> DecodeState:
    """Return what stands to be lost at a target.

    Runs that are expected to have ended lose nothing.
    """
    load = one.load
    pass_s = load.estimate_iteration_s(figures)
    step_s = pass_s / figures.steps_per_iteration
    worths: dict[float, float] = {}
    for run in load.runs.values():
        if run.gap_slo_s > 0 and estimate_run_end_s(run, step_s) > now_s:
            worth = compute_call_weight(run.context_tokens)
            worths[run.gap_slo_s] = worths.get(run.gap_slo_s, 0) + worth
    return DecodeState(
        pass_s,
        load.estimate_backlog_s(now_s),
        load.slowdown,
        tuple(worths.items()),
    )


def estimate_interference_loss(exposed: DecodeState, prefill_s: float) -> float:
    """Return the worth that others lose while a part is read here.

    The part is sent once the backlog was read, so that it alone lengthens a
    pass.
    """
    before_s = exposed.pass_s
    after_s = before_s + prefill_s * exposed.slowdown
    return sum(
        worth
        * (_find_pause_loss(after_s, aim_s) - _find_pause_loss(before_s, aim_s))
        for aim_s, worth in exposed.worths
    )


def compute_occupancy_cost(
    one: Candidate,
    figures: EngineProfile,
    worth: float,
    *,
    lacks_memory: bool,
) -> float:
    """Return the cost of a place that is the last, or taken."""
    free = figures.slots - one.load.running
    cost = 0.0  # noqa: WPS358
    if free <= 0:
        cost += NO_CAPACITY_COST * worth
    elif free == 1:
        cost += LAST_SLOT_COST
    if lacks_memory:
        cost += NO_CAPACITY_COST * worth
    return cost


def _find_pause_loss(pause_s: float, aim_s: float) -> float:
    if pause_s > max(ABANDON_S, aim_s * 4):
        return 1
    return estimate_lateness_loss(pause_s, aim_s)
