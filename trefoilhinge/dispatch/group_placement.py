"""Placement of prompts on groups of targets.

A group shares the prefill of one prompt. It also holds prompts that are too
large for the KV memory of a single target.
"""

from collections.abc import Iterator, Sequence

from attrs import frozen

from trefoilhinge.dispatch.costs import (
    WAIT_COST_PER_S,
    Candidate,
    DecodeState,
    compute_call_weight,
    compute_occupancy_cost,
    compute_round_trip_s,
    estimate_abandonment_loss,
    estimate_interference_loss,
    estimate_lateness_loss,
    make_decode_state,
)
from trefoilhinge.dispatch.latency_model import estimate_prefill_s
from trefoilhinge.dispatch.loads import RunPart
from trefoilhinge.dispatch.placement_requests import PlacementRequest

MAXIMUM_HELPERS = 16  # the platform accepts no more entries in one header
RESERVATION_SLACK_TOKENS = 256  # per reservation, for partly filled blocks
# A smaller reservation is not worth the request that makes it.
MINIMUM_RESERVATION_TOKENS = 16_000
# Cost of engine time, so that prompts are not split without benefit.
PREFILL_COST_PER_S = 0.05
# Cost of a target that idles until the others of its group are free.
IDLE_COST_PER_S = 0.2
# A shorter backlog has been processed by the time the prompt arrives.
MINIMUM_SEND_DELAY_S = 0.03
# Makes groups prefer the last targets by name, as short streams are packed
# onto the first.
RANK_COST = 0.004


@frozen
class Placement:
    """Targets of a call and the expected result.

    :ivar parts: share of the answering target, then those of its helpers.
    :ivar reserved_tokens: tokens to reserve at the first targets, in the
        order of parts; empty if one target has enough memory.
    :ivar first_event_s: expected seconds until the first event.
    :ivar cost: expected loss, in units of a short call's weight.
    :ivar send_delay_s: seconds until its targets have prefilled their
        backlogs and the call is sent.
    """

    parts: tuple[RunPart, ...]
    reserved_tokens: tuple[int, ...]
    first_event_s: float
    cost: float
    send_delay_s: float = 0


@frozen
class _Member:
    """A target that may join the group, and the streams it decodes."""

    candidate: Candidate
    state: DecodeState


def place_group(
    candidates: Sequence[Candidate], request: PlacementRequest
) -> Placement | None:
    """Return the group of lowest cost; none if no group can hold the prompt.

    Targets that named a limit are left out: a group sends several requests to
    each of its members.
    """
    unlimited = [one for one in candidates if not one.is_limited]
    return min(
        _list_placements(unlimited, request),
        key=lambda placement: placement.cost,
        default=None,
    )


def _list_placements(
    candidates: Sequence[Candidate],
    request: PlacementRequest,
) -> Iterator[Placement]:
    whole_s = estimate_prefill_s(request.engine, request.size.prompt_tokens)
    members = [
        _Member(one, make_decode_state(one, request.engine, request.now_s))
        for one in candidates
    ]
    # With reserved memory, the answering target is listed as a helper too.
    most = MAXIMUM_HELPERS + int(
        request.required_tokens <= request.usable_tokens
    )
    for count in range(1, min(most, len(candidates)) + 1):
        part_s = whole_s / count
        ranked = _rank(members, part_s)
        placement = _make_placement(ranked[:count], request, part_s)
        if placement is not None:
            yield placement


def _rank(members: Sequence[_Member], part_s: float) -> list[_Member]:
    def rate(member: _Member) -> float:
        state = member.state
        return (
            estimate_interference_loss(state, part_s)
            + state.backlog_s
            + part_s * state.slowdown
            - RANK_COST * member.candidate.rank
        )

    return sorted(members, key=rate)


def _make_placement(
    chosen: Sequence[_Member],
    request: PlacementRequest,
    part_s: float,
) -> Placement | None:
    members = sorted(
        chosen,
        key=lambda member: (
            not member.candidate.may_answer,
            member.candidate.load.running >= request.engine.slots,
            member.candidate.load.memory_tokens,
            member.candidate.load.running,
        ),
    )
    ordered = [member.candidate for member in members]
    if not ordered[0].may_answer:
        return None
    reserved_tokens = _split_memory(ordered, request)
    if reserved_tokens is None:
        return None
    first_event_s = _estimate_first_event_s(members, request, part_s)
    send_delay_s = _compute_send_delay_s(members)
    loss = sum(
        estimate_interference_loss(member.state, part_s) for member in members
    )
    idle_s = sum(send_delay_s - member.state.backlog_s for member in members)
    own = _compute_own_cost(
        ordered, request, first_event_s, has_reservations=bool(reserved_tokens)
    )
    return Placement(
        _make_parts(ordered, request, part_s, reserved_tokens),
        reserved_tokens,
        first_event_s,
        own + loss + IDLE_COST_PER_S * idle_s,
        send_delay_s,
    )


def _compute_send_delay_s(members: Sequence[_Member]) -> float:
    """Return seconds until all targets have prefilled their backlogs."""
    backlog_s = max(member.state.backlog_s for member in members)
    return backlog_s if backlog_s >= MINIMUM_SEND_DELAY_S else 0


def _estimate_first_event_s(
    members: Sequence[_Member],
    request: PlacementRequest,
    part_s: float,
) -> float:
    slowest_s = max(
        member.state.backlog_s
        + part_s * member.state.slowdown
        + member.state.iteration_s
        for member in members
    )
    load = members[0].candidate.load
    wait_s = load.estimate_slot_wait_s(request.engine, request.now_s)
    distance_s = compute_round_trip_s(one.candidate for one in members)
    return slowest_s + wait_s + distance_s


def _compute_own_cost(
    ordered: Sequence[Candidate],
    request: PlacementRequest,
    first_event_s: float,
    *,
    has_reservations: bool,
) -> float:
    weight = compute_call_weight(request.size.prompt_tokens)
    first = ordered[0]
    free_tokens = request.usable_tokens - first.load.memory_tokens
    iteration_s = first.load.estimate_iteration_s(request.engine)
    return (
        weight * estimate_lateness_loss(first_event_s, request.route.slo_s)
        + weight * _estimate_wait_loss(first, request, first_event_s)
        + weight * estimate_lateness_loss(iteration_s, request.route.gap_slo_s)
        + PREFILL_COST_PER_S * len(ordered) * iteration_s
        + compute_occupancy_cost(
            first,
            request.engine,
            weight,
            lacks_memory=not has_reservations
            and request.expected_tokens > free_tokens,
        )
    )


def _estimate_wait_loss(
    first: Candidate, request: PlacementRequest, first_event_s: float
) -> float:
    """Return the share of the call's weight that its wait costs.

    A call that misses its objective in any case gains little by a wider group,
    which keeps more targets from other calls. Past the objective it only
    counts that its caller still waits, so that the narrowest group that is in
    time for that is chosen.
    """
    waited_s = min(first_event_s, request.route.slo_s)
    iteration_s = first.load.estimate_iteration_s(request.engine)
    return WAIT_COST_PER_S * waited_s + estimate_abandonment_loss(
        request, first_event_s, iteration_s
    )


def _make_parts(
    ordered: Sequence[Candidate],
    request: PlacementRequest,
    part_s: float,
    reserved_tokens: tuple[int, ...],
) -> tuple[RunPart, ...]:
    stored = reserved_tokens or (request.expected_tokens,)
    stored += (0,) * (len(ordered) - len(stored))
    return tuple(
        RunPart(one.record.name, part_s, tokens, has_slot=position == 0)
        for position, (one, tokens) in enumerate(
            zip(ordered, stored, strict=True)
        )
    )


def _split_memory(
    ordered: Sequence[Candidate],
    request: PlacementRequest,
) -> tuple[int, ...] | None:
    """Return tokens to reserve at the first targets; none if too few are free.

    A prompt that fits one target needs no reservation. Otherwise it is stored
    at as few targets as possible, in proportion to their free memory.
    """
    if request.required_tokens <= request.usable_tokens:
        return ()
    free_tokens = [
        max(0, request.usable_tokens - one.load.memory_tokens)
        for one in ordered
    ]
    for count in range(2, len(ordered) + 1):
        wanted = request.required_tokens + RESERVATION_SLACK_TOKENS * count
        total = sum(free_tokens[:count])
        if min(free_tokens[:count]) < MINIMUM_RESERVATION_TOKENS:
            return None
        if total >= wanted:
            shares = [wanted * free // total for free in free_tokens[:count]]
            shares[0] += wanted - sum(shares)
            return tuple(shares)
    return None
