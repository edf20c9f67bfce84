"""Placement of a call on targets according to the instance's state."""

from collections.abc import Collection, Sequence

from trefoilhinge.dispatch.calls import Call
from trefoilhinge.dispatch.documents import EngineProfile
from trefoilhinge.dispatch.group_placement import Placement
from trefoilhinge.dispatch.loads import RunPart
from trefoilhinge.dispatch.placement import (
    list_candidates,
    place_plain_call,
    place_prompt,
    rotate_targets,
)
from trefoilhinge.dispatch.placement_requests import PlacementRequest
from trefoilhinge.dispatch.targets import TargetRecord
from trefoilhinge.gateway.cold_targets import (
    compute_cold_wait_s,
    has_cold_group,
    is_cold,
    is_late,
)
from trefoilhinge.gateway.demand.short_calls import estimate_unseen
from trefoilhinge.gateway.learned_costs import (
    apply_to_loads,
    estimate_output,
    find_delays_s,
    has_learned_costs,
    place_plain_by_costs,
)
from trefoilhinge.gateway.state import GatewayState


def find_placement(
    state: GatewayState,
    call: Call,
    excluded: set[str],
    refused: Collection[str] = (),
    *,
    allows_limited: bool = True,
    full: Collection[str] = (),
) -> Placement | None:
    """Choose the targets of a call among those that have room.

    :param excluded: targets that failed the call; used only if no other one
        is left.
    :param refused: limited targets that refused the call a permit.
    :param allows_limited: whether a target that named a limit may be chosen.
    :param full: targets that may help, but not answer.
    :return: the placement, ``None`` if no target can take the call now.
    """
    now_s = state.get_now_s()
    records = [
        record
        for record in list_usable(state, call, excluded)
        if record.name not in refused
        and state.permits.has_room(record.name, record.started_ms, now_s)
        and (allows_limited or not _is_limited(state, record))
    ]
    if state.cold.is_empty:
        return place_call(state, call, records, full)
    return _place_beside_cold(state, call, records, full)


def _place_beside_cold(
    state: GatewayState,
    call: Call,
    records: Sequence[TargetRecord],
    full: Collection[str],
) -> Placement | None:
    """Prefer warm targets while they have room."""
    warm = [record for record in records if not is_cold(state, record)]
    placement = place_call(state, call, warm, full)
    if placement is not None and not is_late(state, call, placement):
        return placement
    return place_call(state, call, records, full) or placement


def list_limited(
    state: GatewayState, call: Call, excluded: set[str]
) -> list[TargetRecord]:
    """Return the limited targets that could take a call, shortest wait first.

    :param excluded: targets that failed the call; used only if no other one
        is left.
    """
    now_s = state.get_now_s()
    found = []
    for record in list_usable(state, call, excluded):
        bucket = state.permits.get(record.name, record.started_ms)
        if bucket is not None and place_call(state, call, [record]) is not None:
            found.append((bucket.estimate_wait_s(now_s), record.name, record))
    return [record for _, _, record in sorted(found)]


def list_usable(
    state: GatewayState, call: Call, excluded: set[str]
) -> list[TargetRecord]:
    """Return the targets that may be sent a call.

    :param excluded: targets that failed the call; used only if no other one
        is left.
    """
    maximum = _find_maximum_connections(state, call.service)
    now_s = state.get_now_s()
    records = {
        record.name: record
        for record in state.directory.list_serving(call.service)
        if state.loads.get(record.name).running < maximum
        and not state.rests.is_resting(record, now_s)
        and not compute_cold_wait_s(state, record)
    }
    usable = state.health.list_usable(list(records), now_s)
    if excluded and has_learned_costs(state):
        # Targets that fail together stay usable while half of them do.
        unfailed = state.health.list_unfailed(list(records), now_s)
        healthy = [name for name in unfailed if name not in excluded]
        usable = healthy or usable
    untried = [name for name in usable if name not in excluded]
    return [records[name] for name in untried or usable]


def place_call(
    state: GatewayState,
    call: Call,
    records: Sequence[TargetRecord],
    full: Collection[str] = (),
) -> Placement | None:
    """Choose among the given targets; ``None`` if they cannot take the call.

    :param full: targets that may help, but not answer.
    """
    now_s = state.get_now_s()
    engine = find_engine_profile(state, call.service)
    if not state.check_settled():
        records = rotate_targets(records, state.origin)
    limited = {record.name for record in records if _is_limited(state, record)}
    cold = {record.name for record in records if is_cold(state, record)}
    if call.head.prompt_size is not None and engine is not None:
        for record in records:
            slowdown = state.slowdowns.get(record.name, now_s)
            state.loads.get(record.name).slowdown = slowdown
        apply_to_loads(state, call, records)
        return place_prompt(
            list_candidates(
                records,
                state.loads,
                limited | cold,
                find_delays_s(state, records),
                full,
            ),
            PlacementRequest(
                engine,
                call.route,
                call.head.prompt_size,
                now_s,
                call.deadline_s - now_s,
                estimate_output(state, call),
                estimate_unseen(state, call, len(records)),
            ),
        )
    records = [record for record in records if record.name not in full]
    chosen = (
        place_plain_by_costs(state, call, records, limited)
        if has_learned_costs(state)
        else place_plain_call(
            records, state.loads, state.settings.failure_domain, limited
        )
    )
    if chosen is None:
        return None
    part = RunPart(chosen.name, 0, 0, has_slot=True)
    return Placement((part,), (), 0, 0)


def is_placement_current(
    state: GatewayState, call: Call, placement: Placement
) -> bool:
    """Return whether all targets of a placement still take the call.

    A target of a group that has named a limit meanwhile does not.
    """
    serving = {
        record.name: record
        for record in state.directory.list_serving(call.service)
    }
    if any(part.target not in serving for part in placement.parts):
        return False
    if has_resting_target(state, placement) or has_cold_group(state, placement):
        return False
    return len(placement.parts) == 1 or not any(
        _is_limited(state, serving[part.target]) for part in placement.parts
    )


def has_resting_target(state: GatewayState, placement: Placement) -> bool:
    """Return whether a target of a placement asked for rest meanwhile."""
    if state.rests.is_empty:
        return False
    records = state.directory.records
    now_s = state.get_now_s()
    return any(
        state.rests.is_resting(records[part.target], now_s)
        for part in placement.parts
        if part.target in records
    )


def find_engine_profile(
    state: GatewayState, service: str
) -> EngineProfile | None:
    """Return a service's engine profile, ``None`` for a plain service."""
    document = state.document
    found = document.services.get(service) if document else None
    return found.engine if found else None


def _find_maximum_connections(state: GatewayState, service: str) -> float:
    """Return the connections that a target accepts from all instances."""
    document = state.document
    found = document.services.get(service) if document else None
    if found is None or not found.maximum_connections:
        return float('inf')
    return found.maximum_connections


def _is_limited(state: GatewayState, record: TargetRecord) -> bool:
    return state.permits.get(record.name, record.started_ms) is not None
