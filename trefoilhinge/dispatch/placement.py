"""Where a call goes: the targets whose work it delays least."""

from collections.abc import Sequence

from trefoilhinge.dispatch.calls import PromptSize
from trefoilhinge.dispatch.costs import (
    WAIT_COST_PER_S,
    Candidate,
    find_crowding,
    find_harm,
    find_lateness,
    find_worth,
    make_exposure,
)
from trefoilhinge.dispatch.documents import EngineFigures, Route
from trefoilhinge.dispatch.engines import find_reading_s
from trefoilhinge.dispatch.joint import MEMORY_SHARE, Placement, place_joint
from trefoilhinge.dispatch.loads import LoadView, RunPart
from trefoilhinge.dispatch.targets import TargetRecord

JOINT_TOKENS = 14_000  # shorter prompts are read within one pass anyway
RANK_COST = 0.004  # gathers short streams on the first targets by name


def list_candidates(
    records: Sequence[TargetRecord],
    loads: LoadView,
) -> list[Candidate]:
    """Return the candidates in the order that all instances share."""
    count = max(1, len(records))
    return [
        Candidate(record, loads.find(record.name), position / count)
        for position, record in enumerate(records)
    ]


def place_plain(
    records: Sequence[TargetRecord],
    loads: LoadView,
    failure_domain: str,
) -> TargetRecord | None:
    """Return the target of a plain call: the least used, near if alike."""
    if not records:
        return None

    def rate(record: TargetRecord) -> tuple[float, bool, str]:
        running = loads.find(record.name).running
        return (
            running / max(1, record.places),
            record.failure_domain != failure_domain,
            record.name,
        )

    return min(records, key=rate)


def place_prompt(
    candidates: Sequence[Candidate],
    figures: EngineFigures,
    route: Route,
    size: PromptSize,
    now_s: float,
) -> Placement | None:
    """Return where a prompt goes; none if the targets cannot hold it."""
    if not candidates:
        return None
    need = size.prompt + size.answer_limit
    if need > figures.memory_tokens * MEMORY_SHARE:
        return place_joint(candidates, figures, route, size, now_s)
    single = min(
        (_place_single(one, figures, route, size, now_s) for one in candidates),
        key=lambda placement: placement.cost,
    )
    if size.prompt < JOINT_TOKENS:
        return single
    joint = place_joint(candidates, figures, route, size, now_s)
    if joint is None or single.cost < joint.cost:
        return single
    return joint


def _place_single(
    one: Candidate,
    figures: EngineFigures,
    route: Route,
    size: PromptSize,
    now_s: float,
) -> Placement:
    reading_s = find_reading_s(figures, size.prompt)
    worth = find_worth(size.prompt)
    load = one.load
    first_s = (
        load.find_place_wait_s(figures, now_s)
        + load.find_backlog_s(now_s)
        + reading_s * load.pace
        + load.find_pass_s(figures)
    )
    room = figures.memory_tokens * MEMORY_SHARE - load.memory_tokens
    need = size.prompt + size.answer_expected
    cost = (
        worth * find_lateness(first_s, route.aim_s)
        + worth * WAIT_COST_PER_S * first_s
        + worth * find_lateness(load.find_pass_s(figures), route.pause_aim_s)
        + find_harm(make_exposure(one, figures, now_s), reading_s)
        + find_crowding(one, figures, worth, lacks_memory=need > room)
    )
    if size.prompt < JOINT_TOKENS:
        cost += RANK_COST * one.rank
    part = RunPart(one.record.name, reading_s, need, has_place=True)
    return Placement((part,), (), first_s, cost)
