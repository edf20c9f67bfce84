"""Where a call goes: the targets whose work it delays least.

A placement's cost is the expected loss of worth: of the call itself when its
answer is late, and of the streams whose pauses it stretches.
"""

from collections.abc import Sequence

from attrs import frozen

from trefoilhinge.dispatch.calls import PromptSize
from trefoilhinge.dispatch.documents import EngineFigures, Route
from trefoilhinge.dispatch.engines import find_reading_s
from trefoilhinge.dispatch.loads import LoadView, RunPart, TargetLoad
from trefoilhinge.dispatch.targets import TargetRecord

JOINT_TOKENS = 14_000  # shorter prompts are read within one pass anyway
MAXIMUM_HELPERS = 15  # the platform takes sixteen entries
MEMORY_SHARE = 0.96  # of the published memory; blocks are not all full
EARLY_SHARE = 0.55  # of an aim: sooner answers lose nothing
LATE_SHARE = 1.05  # of an aim: later answers lose all that lateness costs
LATE_LOSS = 0.75  # of a call's worth; the tables pay a quarter for late ones
WORTH_TOKENS = 10_000  # tokens of prompt that add the worth of one short call
WAIT_COST_PER_S = 0.02  # of a call's worth for each second
READING_COST_PER_S = 0.05  # of engine time, so that work is not split in vain
RANK_COST = 0.004  # gathers short streams on the first targets by name
CROWDED_COST = 0.06  # the last place: another instance may be taking it
FULL_COST = 0.5  # a call that waits for a place
TICKET_SLACK_TOKENS = 256  # of a reservation, for blocks that are not full


@frozen
class Placement:
    """Where a call goes.

    :ivar parts: the target that answers first, then its helpers.
    :ivar tickets: tokens to reserve at each target, in the order of parts;
        empty where one target's memory is enough.
    :ivar first_event_s: seconds until the first event is expected.
    :ivar cost: expected loss, in worths of a short call.
    """

    parts: tuple[RunPart, ...]
    tickets: tuple[int, ...]
    first_event_s: float
    cost: float


@frozen
class Candidate:
    """A target with its load and its place in the common order."""

    record: TargetRecord
    load: TargetLoad
    rank: float


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

    def rate(record: TargetRecord) -> tuple[float, bool, str]:  # noqa: WPS430
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
    """Return where a prompt goes; none if no target can hold it."""
    if not candidates:
        return None
    need = size.prompt + size.answer_limit
    if need > figures.memory_tokens * MEMORY_SHARE:
        return _place_joint(candidates, figures, route, size, now_s)
    single = min(
        (_place_single(one, figures, route, size, now_s) for one in candidates),
        key=lambda placement: placement.cost,
    )
    if size.prompt < JOINT_TOKENS:
        return single
    joint = _place_joint(candidates, figures, route, size, now_s)
    if joint is None or single.cost < joint.cost:
        return single
    return joint


def find_lateness(expected_s: float, aim_s: float) -> float:
    """Return the part of a call's worth that is expected to be lost."""
    share = expected_s / max(aim_s, 0.001)
    if share <= EARLY_SHARE:
        return 0.0
    spread = (share - EARLY_SHARE) / (LATE_SHARE - EARLY_SHARE)
    return LATE_LOSS * min(1.0, spread)


def find_worth(size_tokens: float) -> float:
    """Return the worth of a call in those of a short one."""
    return 1 + size_tokens / WORTH_TOKENS


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
        + _find_harm(one, figures, reading_s, now_s)
        + _find_crowding(one, figures, need > room, worth)
        + (RANK_COST * one.rank if size.prompt < JOINT_TOKENS else 0.0)
    )
    part = RunPart(one.record.name, reading_s, need, has_place=True)
    return Placement((part,), (), first_s, cost)


def _find_crowding(
    one: Candidate,
    figures: EngineFigures,
    lacks_memory: bool,
    worth: float,
) -> float:
    free = figures.places - one.load.running
    cost = 0.0
    if free <= 0:
        cost += FULL_COST * worth
    elif free == 1:
        cost += CROWDED_COST
    if lacks_memory:
        cost += FULL_COST * worth
    return cost


def _find_harm(
    one: Candidate,
    figures: EngineFigures,
    reading_s: float,
    now_s: float,
) -> float:
    """Return the worth that others lose while a part is read here."""
    load = one.load
    if not load.runs:
        return 0.0
    base_s = load.find_pass_s(figures)
    before_s = load.find_backlog_s(now_s)
    harm = 0.0
    for run in load.runs.values():
        if run.pause_aim_s <= 0:
            continue
        after = find_lateness(
            base_s + before_s + reading_s * load.pace,
            run.pause_aim_s,
        )
        already = find_lateness(base_s + before_s, run.pause_aim_s)
        harm += find_worth(run.context_tokens) * (after - already)
    return harm


def _place_joint(
    candidates: Sequence[Candidate],
    figures: EngineFigures,
    route: Route,
    size: PromptSize,
    now_s: float,
) -> Placement | None:
    whole_s = find_reading_s(figures, size.prompt)
    best: Placement | None = None
    most = min(len(candidates), MAXIMUM_HELPERS)
    for count in range(1, most + 1):
        part_s = whole_s / count
        ranked = sorted(
            candidates,
            key=lambda one: _rate_part(one, figures, part_s, now_s),
        )
        placement = _compose(
            ranked[:count], figures, route, size, part_s, now_s
        )
        if placement is not None and (
            best is None or placement.cost < best.cost
        ):
            best = placement
    return best


def _rate_part(
    one: Candidate,
    figures: EngineFigures,
    part_s: float,
    now_s: float,
) -> float:
    backlog_s = one.load.find_backlog_s(now_s)
    return (
        _find_harm(one, figures, part_s, now_s)
        + backlog_s
        + part_s * one.load.pace
        - RANK_COST * one.rank
    )


def _compose(
    chosen: Sequence[Candidate],
    figures: EngineFigures,
    route: Route,
    size: PromptSize,
    part_s: float,
    now_s: float,
) -> Placement | None:
    worth = find_worth(size.prompt)
    need = size.prompt + size.answer_expected
    ordered = sorted(
        chosen, key=lambda one: (one.load.running, one.load.memory_tokens)
    )
    tickets = _split_memory(ordered, figures, size)
    if tickets is None:
        return None
    first_s = max(
        one.load.find_backlog_s(now_s)
        + part_s * one.load.pace
        + one.load.find_pass_s(figures)
        for one in ordered
    ) + ordered[0].load.find_place_wait_s(figures, now_s)
    room = figures.memory_tokens * MEMORY_SHARE - ordered[0].load.memory_tokens
    cost = (
        worth * find_lateness(first_s, route.aim_s)
        + worth * WAIT_COST_PER_S * first_s
        + sum(_find_harm(one, figures, part_s, now_s) for one in ordered)
        + READING_COST_PER_S * len(ordered) * ordered[0].load.find_pass_s(figures)
        + _find_crowding(
            ordered[0], figures, not tickets and need > room, worth
        )
    )
    parts = tuple(
        RunPart(
            one.record.name,
            part_s,
            _find_stored(tickets, position, need),
            has_place=position == 0,
        )
        for position, one in enumerate(ordered)
    )
    return Placement(parts, tickets, first_s, cost)


def _find_stored(tickets: tuple[int, ...], position: int, need: int) -> int:
    if tickets:
        return tickets[position]
    return need if position == 0 else 0


def _split_memory(
    ordered: Sequence[Candidate],
    figures: EngineFigures,
    size: PromptSize,
) -> tuple[int, ...] | None:
    """Return tokens to reserve at each target, none if they do not fit.

    A prompt that one target can hold needs no reservation.
    """
    need = size.prompt + size.answer_limit
    if need <= figures.memory_tokens * MEMORY_SHARE:
        return ()
    room = [
        max(0, int(figures.memory_tokens * MEMORY_SHARE) - one.load.memory_tokens)
        for one in ordered
    ]
    wanted = need + TICKET_SLACK_TOKENS * len(ordered)
    total = sum(room)
    if total < wanted:
        return None
    shares = [int(wanted * free / total) for free in room]
    shares[shares.index(max(shares))] += wanted - sum(shares)
    return tuple(shares)
