"""Choice of the targets of a call, by the work that it would delay."""

from collections.abc import Collection, Mapping, Sequence
from types import MappingProxyType

import xxhash

from trefoilhinge.dispatch.costs import (
    LAST_SLOT_COST,
    WAIT_COST_PER_S,
    Candidate,
    compute_call_weight,
    compute_occupancy_cost,
    compute_round_trip_s,
    estimate_abandonment_loss,
    estimate_interference_loss,
    estimate_lateness_loss,
    make_decode_state,
)
from trefoilhinge.dispatch.demand.spreading import (
    OVERFLOW_LOSS_SHARE,
    choose_among_equal,
    estimate_overflow_share,
)
from trefoilhinge.dispatch.group_placement import Placement, place_group
from trefoilhinge.dispatch.latency_model import estimate_prefill_s
from trefoilhinge.dispatch.loads import LoadTable, RunPart
from trefoilhinge.dispatch.placement_requests import PlacementRequest
from trefoilhinge.dispatch.targets import TargetRecord

# Shorter prompts are prefilled within one iteration anyway.
MINIMUM_GROUP_TOKENS = 14_000
EMPTY: Mapping[str, float] = MappingProxyType({})
RANK_COST = 0.004  # packs short streams onto the first targets by name


def list_candidates(
    records: Sequence[TargetRecord],
    loads: LoadTable,
    limited: Collection[str] = (),
    delays_s: Mapping[str, float] = EMPTY,
    full: Collection[str] = (),
) -> list[Candidate]:
    """Return the candidates, ranked in the order that all instances share.

    :param limited: names of targets that named a limit.
    :param delays_s: one-way delays to failure domains, where they count.
    :param full: names of targets that may help, but not answer.
    """
    count = max(1, len(records))
    return [
        Candidate(
            record,
            loads.get(record.name),
            position / count,
            is_limited=record.name in limited,
            delay_s=delays_s.get(record.failure_domain, 0),
            may_answer=record.name not in full,
        )
        for position, record in enumerate(records)
    ]


def rotate_targets(
    records: Sequence[TargetRecord], origin: str
) -> list[TargetRecord]:
    """Return the targets in an order of this instance's own.

    Instances that do not hear each other would all fill the same targets if
    they ranked them alike.

    :param origin: incarnation of the instance.
    """
    start = xxhash.xxh32_intdigest(origin.encode()) % max(1, len(records))
    return [*records[start:], *records[:start]]


def place_plain_call(
    records: Sequence[TargetRecord],
    loads: LoadTable,
    failure_domain: str,
    limited: Collection[str] = (),
) -> TargetRecord | None:
    """Return the least loaded target for a plain call, if there is any.

    Among equally loaded targets, one that named a limit is preferred, since
    only an answer shows that the limit has ended, then one in the given
    failure domain, then the first.

    :param limited: names of targets that named a limit.
    """
    if not records:
        return None

    def rate(record: TargetRecord) -> tuple[float, bool, bool]:
        running = loads.get(record.name).running
        return (
            running / max(1, record.slots),
            record.name not in limited,
            record.failure_domain != failure_domain,
        )

    return min(records, key=rate)


def place_prompt(
    candidates: Sequence[Candidate], request: PlacementRequest
) -> Placement | None:
    """Return the placement of lowest cost.

    :return: none if no target may answer or they cannot hold the prompt.
    """
    if not any(candidate.may_answer for candidate in candidates):
        return None
    if request.required_tokens > request.usable_tokens:
        return place_group(candidates, request)
    singles = [
        _place_single(candidate, request)
        for candidate in candidates
        if candidate.may_answer
    ]
    if request.size.prompt_tokens < MINIMUM_GROUP_TOKENS:
        return _choose_short(singles, request)
    single = min(singles, key=_get_cost)
    group = place_group(candidates, request)
    if group is None or single.cost < group.cost:
        return single
    return group


def _place_single(candidate: Candidate, request: PlacementRequest) -> Placement:
    engine = request.engine
    prefill_s = estimate_prefill_s(engine, request.size.prompt_tokens)
    load = candidate.load
    iteration_s = load.estimate_iteration_s(engine)
    first_event_s = (
        load.estimate_slot_wait_s(engine, request.now_s)
        + load.estimate_backlog_s(request.now_s)
        + prefill_s * load.prefill_slowdown
        + iteration_s
        + compute_round_trip_s((candidate,))
    )
    # A single target is occupied equally long wherever the prompt is placed, so
    # that its wait counts past the SLO as well, unlike that of a group.
    own_loss = (
        estimate_lateness_loss(first_event_s, request.route.slo_s)
        + WAIT_COST_PER_S * first_event_s
        + estimate_abandonment_loss(request, first_event_s, iteration_s)
        + estimate_lateness_loss(iteration_s, request.route.gap_slo_s)
    )
    weight = compute_call_weight(request.size.prompt_tokens)
    free_tokens = request.usable_tokens - load.memory_tokens
    cost = (
        weight * own_loss
        + estimate_interference_loss(
            make_decode_state(candidate, engine, request.now_s), prefill_s
        )
        + compute_occupancy_cost(
            candidate,
            engine,
            weight,
            lacks_memory=request.expected_tokens > free_tokens,
        )
    )
    # Short streams probe whether a limit has ended.
    is_short = request.size.prompt_tokens < MINIMUM_GROUP_TOKENS
    if is_short and not candidate.is_limited:
        cost += RANK_COST * candidate.rank
    if is_short:
        cost += _estimate_overflow_cost(candidate, request, weight)
    part = RunPart(
        candidate.record.name,
        prefill_s,
        request.expected_tokens,
        has_slot=True,
    )
    return Placement((part,), (), first_event_s, cost)


def _choose_short(
    placements: Sequence[Placement], request: PlacementRequest
) -> Placement:
    if request.unseen is None:
        return min(placements, key=_get_cost)
    return choose_among_equal(placements, request.unseen)


def _get_cost(placement: Placement) -> float:
    return placement.cost


def _estimate_overflow_cost(
    candidate: Candidate, request: PlacementRequest, weight: float
) -> float:
    """Return the cost of calls elsewhere that may take the free slots first.

    It replaces the fixed cost of the last slot where it is higher.
    """
    free = request.engine.slots - candidate.load.running
    if request.unseen is None or free <= 0:
        return 0
    share = estimate_overflow_share(request.unseen, free)
    known_cost = LAST_SLOT_COST if free == 1 else 0
    return max(0, weight * OVERFLOW_LOSS_SHARE * share - known_cost)
