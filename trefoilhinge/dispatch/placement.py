"""Where a call goes: the targets whose work it delays least."""

from collections.abc import Sequence

from trefoilhinge.dispatch.calls import PromptSize
from trefoilhinge.dispatch.costs import (
    WAIT_COST_PER_S,
    Candidate,
    compute_occupancy_cost,
    estimate_interference_loss,
    estimate_lateness_loss,
    compute_call_weight,
    make_decode_state,
)
from trefoilhinge.dispatch.documents import EngineProfile, Route
from trefoilhinge.dispatch.latency_model import estimate_prefill_s
from trefoilhinge.dispatch.group_placement import (
    USABLE_MEMORY_SHARE,
    Placement,
    place_group,
)
from trefoilhinge.dispatch.loads import LoadTable, RunPart
from trefoilhinge.dispatch.targets import TargetRecord

MINIMUM_GROUP_TOKENS = 14_000  # shorter prompts are read within one pass anyway
RANK_COST = 0.004  # gathers short streams on the first targets by name


def list_candidates(
    records: Sequence[TargetRecord],
    loads: LoadTable,
) -> list[Candidate]:
    """Return the candidates in the order that all instances share."""
    count = max(1, len(records))
    return [
        Candidate(record, loads.get(record.name), position / count)
        for position, record in enumerate(records)
    ]


def place_plain_call(
    records: Sequence[TargetRecord],
    loads: LoadTable,
    failure_domain: str,
) -> TargetRecord | None:
    """Return the target of a plain call: the least used, near if alike."""
    if not records:
        return None

    def rate(record: TargetRecord) -> tuple[float, bool, str]:
        running = loads.get(record.name).running
        return (
            running / max(1, record.slots),
            record.failure_domain != failure_domain,
            record.name,
        )

    return min(records, key=rate)


def place_prompt(
    candidates: Sequence[Candidate],
    figures: EngineProfile,
    route: Route,
    size: PromptSize,
    now_s: float,
) -> Placement | None:
    """Return where a prompt goes; none if the targets cannot hold it."""
    if not candidates:
        return None
    need = size.prompt_tokens + size.maximum_output_tokens
    if need > figures.memory_tokens * USABLE_MEMORY_SHARE:
        return place_group(candidates, figures, route, size, now_s)
    single = min(
        (_place_single(one, figures, route, size, now_s) for one in candidates),
        key=lambda placement: placement.cost,
    )
    if size.prompt_tokens < MINIMUM_GROUP_TOKENS:
        return single
    joint = place_group(candidates, figures, route, size, now_s)
    if joint is None or single.cost < joint.cost:
        return single
    return joint


def _place_single(
    one: Candidate,
    figures: EngineProfile,
    route: Route,
    size: PromptSize,
    now_s: float,
) -> Placement:
    prefill_s = estimate_prefill_s(figures, size.prompt_tokens)
    worth = compute_call_weight(size.prompt_tokens)
    load = one.load
    first_s = (
        load.estimate_slot_wait_s(figures, now_s)
        + load.estimate_backlog_s(now_s)
        + prefill_s * load.slowdown
        + load.estimate_iteration_s(figures)
    )
    room = figures.memory_tokens * USABLE_MEMORY_SHARE - load.memory_tokens
    need = size.prompt_tokens + size.expected_output_tokens
    cost = (
        worth * estimate_lateness_loss(first_s, route.slo_s)
        + worth * WAIT_COST_PER_S * first_s
        + worth
        * estimate_lateness_loss(
            load.estimate_iteration_s(figures), route.gap_slo_s
        )
        + estimate_interference_loss(
            make_decode_state(one, figures, now_s), prefill_s
        )
        + compute_occupancy_cost(one, figures, worth, lacks_memory=need > room)
    )
    if size.prompt_tokens < MINIMUM_GROUP_TOKENS:
        cost += RANK_COST * one.rank
    part = RunPart(one.record.name, prefill_s, need, has_slot=True)
    return Placement((part,), (), first_s, cost)
