"""Prompts that several targets read, and those that none can hold alone."""

from collections.abc import Iterator, Sequence

from attrs import frozen

from trefoilhinge.dispatch.calls import PromptSize
from trefoilhinge.dispatch.costs import (
    WAIT_COST_PER_S,
    Candidate,
    DecodeState,
    compute_occupancy_cost,
    estimate_interference_loss,
    estimate_lateness_loss,
    compute_call_weight,
    make_decode_state,
)
from trefoilhinge.dispatch.documents import EngineProfile, Route
from trefoilhinge.dispatch.latency_model import estimate_prefill_s
from trefoilhinge.dispatch.loads import RunPart

MAXIMUM_HELPERS = 16  # the platform takes as many in one header
USABLE_MEMORY_SHARE = 0.96  # of the published memory; blocks are not all full
RESERVATION_SLACK_TOKENS = 256  # of a reservation, for blocks that are not full
MINIMUM_RESERVATION_TOKENS = (
    16_000  # a smaller reservation is not worth its order
)
PREFILL_COST_PER_S = 0.05  # of engine time, so that work is not split in vain
IDLE_COST_PER_S = 0.2  # of a target that waits for the others of its set
MINIMUM_SEND_DELAY_S = 0.03  # a shorter backlog is over when the prompt arrives
RANK_COST = 0.004  # keeps long prompts off the targets of short streams


@frozen
class Placement:
    """Where a call goes.

    :ivar parts: the target that answers first, then its helpers.
    :ivar tickets: tokens to reserve at the first targets, in the order of
        parts; empty where one target's memory is enough.
    :ivar first_event_s: seconds until the first event is expected.
    :ivar cost: expected loss, in worths of a short call.
    :ivar waits_s: seconds until its targets have read what is ahead of it.
    """

    parts: tuple[RunPart, ...]
    reserved_tokens: tuple[int, ...]
    first_event_s: float
    cost: float
    send_delay_s: float = 0


@frozen
class _Plan:
    """A prompt and the time at which it is placed."""

    figures: EngineProfile
    route: Route
    size: PromptSize
    now_s: float

    @property
    def need(self) -> int:
        return self.size.prompt_tokens + self.size.maximum_output_tokens

    @property
    def memory(self) -> int:
        return int(self.figures.memory_tokens * USABLE_MEMORY_SHARE)


@frozen
class _Reader:
    """A target that may read a part, and what is exposed there."""

    one: Candidate
    exposed: DecodeState


def place_group(
    candidates: Sequence[Candidate],
    figures: EngineProfile,
    route: Route,
    size: PromptSize,
    now_s: float,
) -> Placement | None:
    """Return the cheapest set of targets; none if they cannot hold it."""
    plan = _Plan(figures, route, size, now_s)
    return min(
        _list_placements(candidates, plan),
        key=lambda placement: placement.cost,
        default=None,
    )


def _list_placements(
    candidates: Sequence[Candidate],
    plan: _Plan,
) -> Iterator[Placement]:
    whole_s = estimate_prefill_s(plan.figures, plan.size.prompt_tokens)
    exposed = [
        _Reader(one, make_decode_state(one, plan.figures, plan.now_s))
        for one in candidates
    ]
    # Where memory is reserved, the first target stands among its helpers.
    most = MAXIMUM_HELPERS + int(plan.need <= plan.memory)
    for count in range(1, min(most, len(candidates)) + 1):
        part_s = whole_s / count
        ranked = _rank(exposed, part_s)
        placement = _compose(ranked[:count], plan, part_s)
        if placement is not None:
            yield placement


def _rank(readers: Sequence[_Reader], part_s: float) -> list[_Reader]:
    def rate(reader: _Reader) -> float:
        exposed = reader.exposed
        return (
            estimate_interference_loss(exposed, part_s)
            + exposed.backlog_s
            + part_s * exposed.slowdown
            - RANK_COST * reader.one.rank
        )

    return sorted(readers, key=rate)


def _compose(
    chosen: Sequence[_Reader],
    plan: _Plan,
    part_s: float,
) -> Placement | None:
    readers = sorted(
        chosen,
        key=lambda reader: (
            reader.one.load.running >= plan.figures.slots,
            reader.one.load.memory_tokens,
            reader.one.load.running,
        ),
    )
    ordered = [reader.one for reader in readers]
    reserved_tokens = _split_memory(ordered, plan)
    if reserved_tokens is None:
        return None
    first_s = _find_first_event_s(readers, plan, part_s)
    send_delay_s = _find_wait_s(readers)
    harm = sum(
        estimate_interference_loss(reader.exposed, part_s) for reader in readers
    )
    gaps_s = sum(send_delay_s - reader.exposed.backlog_s for reader in readers)
    own = _find_own_cost(
        ordered, plan, first_s, has_tickets=bool(reserved_tokens)
    )
    return Placement(
        _make_parts(ordered, plan, part_s, reserved_tokens),
        reserved_tokens,
        first_s,
        own + harm + IDLE_COST_PER_S * gaps_s,
        send_delay_s,
    )


def _find_wait_s(readers: Sequence[_Reader]) -> float:
    """Return seconds until all targets have read what is ahead."""
    backlog_s = max(reader.exposed.backlog_s for reader in readers)
    return backlog_s if backlog_s >= MINIMUM_SEND_DELAY_S else 0


def _find_first_event_s(
    readers: Sequence[_Reader],
    plan: _Plan,
    part_s: float,
) -> float:
    slowest_s = max(
        reader.exposed.backlog_s
        + part_s * reader.exposed.slowdown
        + reader.exposed.pass_s
        for reader in readers
    )
    load = readers[0].one.load
    wait_s = load.estimate_slot_wait_s(plan.figures, plan.now_s)
    return slowest_s + wait_s


def _find_own_cost(
    ordered: Sequence[Candidate],
    plan: _Plan,
    first_s: float,
    *,
    has_tickets: bool,
) -> float:
    worth = compute_call_weight(plan.size.prompt_tokens)
    first = ordered[0]
    room = plan.memory - first.load.memory_tokens
    need = plan.size.prompt_tokens + plan.size.expected_output_tokens
    pass_s = first.load.estimate_iteration_s(plan.figures)
    return (
        worth * estimate_lateness_loss(first_s, plan.route.slo_s)
        + worth * WAIT_COST_PER_S * first_s
        + worth * estimate_lateness_loss(pass_s, plan.route.gap_slo_s)
        + PREFILL_COST_PER_S * len(ordered) * pass_s
        + compute_occupancy_cost(
            first,
            plan.figures,
            worth,
            lacks_memory=not has_tickets and need > room,
        )
    )


def _make_parts(
    ordered: Sequence[Candidate],
    plan: _Plan,
    part_s: float,
    reserved_tokens: tuple[int, ...],
) -> tuple[RunPart, ...]:
    stored = reserved_tokens or (
        plan.size.prompt_tokens + plan.size.expected_output_tokens,
    )
    stored += (0,) * (len(ordered) - len(stored))
    return tuple(
        RunPart(one.record.name, part_s, tokens, has_slot=position == 0)
        for position, (one, tokens) in enumerate(
            zip(ordered, stored, strict=True)
        )
    )


def _split_memory(
    ordered: Sequence[Candidate],
    plan: _Plan,
) -> tuple[int, ...] | None:
    """Return tokens to reserve at the first targets; none if too few.

    A prompt that one target can hold needs no reservation. As few targets
    hold it as can, evenly by their room.
    """
    if plan.need <= plan.memory:
        return ()
    rooms = [max(0, plan.memory - one.load.memory_tokens) for one in ordered]
    for count in range(2, len(ordered) + 1):
        wanted = plan.need + RESERVATION_SLACK_TOKENS * count
        total = sum(rooms[:count])
        if min(rooms[:count]) < MINIMUM_RESERVATION_TOKENS:
            return None
        if total >= wanted:
            shares = [wanted * room // total for room in rooms[:count]]
            shares[0] += wanted - sum(shares)
            return tuple(shares)
    return None
