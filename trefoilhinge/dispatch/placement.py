"""Choice of the targets of a call, by the work that it would delay."""

from collections.abc import Collection, Sequence

from trefoilhinge.dispatch.calls import PromptSize
from trefoilhinge.dispatch.costs import (
    WAIT_COST_PER_S,
    Candidate,
    compute_call_weight,
    compute_occupancy_cost,
    estimate_interference_loss,
    estimate_lateness_loss,
    make_decode_state,
)
from trefoilhinge.dispatch.documents import EngineProfile, Route
from trefoilhinge.dispatch.group_placement import (
    USABLE_MEMORY_SHARE,
    Placement,
    place_group,
)
from trefoilhinge.dispatch.latency_model import estimate_prefill_s
from trefoilhinge.dispatch.loads import LoadTable, RunPart
from trefoilhinge.dispatch.targets import TargetRecord

# Shorter prompts are prefilled within one iteration anyway.
MINIMUM_GROUP_TOKENS = 14_000
RANK_COST = 0.004  # packs short streams onto the first targets by name


def list_candidates(
    records: Sequence[TargetRecord],
    loads: LoadTable,
    limited: Collection[str] = (),
) -> list[Candidate]:
    """Return the candidates, ranked in the order that all instances share.

    :param limited: names of targets that named a limit.
    """
    count = max(1, len(records))
    return [
        Candidate(
            record,
            loads.get(record.name),
            position / count,
            is_limited=record.name in limited,
        )
        for position, record in enumerate(records)
    ]


def place_plain_call(
    records: Sequence[TargetRecord],
    loads: LoadTable,
    failure_domain: str,
    limited: Collection[str] = (),
) -> TargetRecord | None:
    """Return the least loaded target for a plain call, if there is any.

    Among equally loaded targets, one that named a limit is preferred, since
    only an answer shows that the limit has ended, and then one in the given
    failure domain.

    :param limited: names of targets that named a limit.
    """
    if not records:
        return None

    def rate(record: TargetRecord) -> tuple[float, bool, bool, str]:
        running = loads.get(record.name).running
        return (
            running / max(1, record.slots),
            record.name not in limited,
            record.failure_domain != failure_domain,
            record.name,
        )

    return min(records, key=rate)


def place_prompt(
    candidates: Sequence[Candidate],
    engine: EngineProfile,
    route: Route,
    size: PromptSize,
    now_s: float,
    remaining_s: float,
) -> Placement | None:
    """Return the placement of lowest cost.

    :param remaining_s: seconds until the deadline of the call.
    :return: none if there are no targets or they cannot hold the prompt.
    """
    if not candidates:
        return None
    required_tokens = size.prompt_tokens + size.maximum_output_tokens
    if required_tokens > engine.memory_tokens * USABLE_MEMORY_SHARE:
        return place_group(candidates, engine, route, size, now_s, remaining_s)
    single = min(
        (
            _place_single(candidate, engine, route, size, now_s)
            for candidate in candidates
        ),
        key=lambda placement: placement.cost,
    )
    if size.prompt_tokens < MINIMUM_GROUP_TOKENS:
        return single
    group = place_group(candidates, engine, route, size, now_s, remaining_s)
    if group is None or single.cost < group.cost:
        return single
    return group


def _place_single(
    candidate: Candidate,
    engine: EngineProfile,
    route: Route,
    size: PromptSize,
    now_s: float,
) -> Placement:
    prefill_s = estimate_prefill_s(engine, size.prompt_tokens)
    weight = compute_call_weight(size.prompt_tokens)
    load = candidate.load
    first_event_s = (
        load.estimate_slot_wait_s(engine, now_s)
        + load.estimate_backlog_s(now_s)
        + prefill_s * load.slowdown
        + load.estimate_iteration_s(engine)
    )
    free_tokens = (
        engine.memory_tokens * USABLE_MEMORY_SHARE - load.memory_tokens
    )
    required_tokens = size.prompt_tokens + size.expected_output_tokens
    cost = (
        weight * estimate_lateness_loss(first_event_s, route.slo_s)
        + weight * WAIT_COST_PER_S * first_event_s
        + weight
        * estimate_lateness_loss(
            load.estimate_iteration_s(engine), route.gap_slo_s
        )
        + estimate_interference_loss(
            make_decode_state(candidate, engine, now_s), prefill_s
        )
        + compute_occupancy_cost(
            candidate,
            engine,
            weight,
            lacks_memory=required_tokens > free_tokens,
        )
    )
    # Short streams probe whether a limit has ended.
    if size.prompt_tokens < MINIMUM_GROUP_TOKENS and not candidate.is_limited:
        cost += RANK_COST * candidate.rank
    part = RunPart(
        candidate.record.name, prefill_s, required_tokens, has_slot=True
    )
    return Placement((part,), (), first_event_s, cost)
