"""Placement of a call on targets according to the instance's state."""

from trefoilhinge.dispatch.calls import Call
from trefoilhinge.dispatch.documents import EngineProfile
from trefoilhinge.dispatch.group_placement import Placement
from trefoilhinge.dispatch.loads import RunPart
from trefoilhinge.dispatch.placement import (
    list_candidates,
    place_plain_call,
    place_prompt,
)
from trefoilhinge.gateway.state import GatewayState


def find_placement(
    state: GatewayState,
    call: Call,
    excluded: set[str],
) -> Placement | None:
    """Choose the targets of a call.

    :param excluded: targets that failed the call; used only if no other one
        is left.
    :return: the placement, ``None`` if no target can take the call.
    """
    now_s = state.get_now_s()
    records = {
        record.name: record
        for record in state.directory.list_serving(call.service)
    }
    usable = state.health.list_usable(list(records), now_s)
    untried = [name for name in usable if name not in excluded]
    found = [records[name] for name in untried or usable]
    engine = find_engine_profile(state, call.service)
    if call.head.prompt_size is not None and engine is not None:
        for record in found:
            slowdown = state.slowdowns.get(record.name, now_s)
            state.loads.get(record.name).slowdown = slowdown
        return place_prompt(
            list_candidates(found, state.loads),
            engine,
            call.route,
            call.head.prompt_size,
            now_s,
        )
    chosen = place_plain_call(found, state.loads, state.settings.failure_domain)
    if chosen is None:
        return None
    part = RunPart(chosen.name, 0, 0, has_slot=True)
    return Placement((part,), (), 0, 0)


def find_engine_profile(
    state: GatewayState, service: str
) -> EngineProfile | None:
    """Return a service's engine profile, ``None`` for a plain service."""
    document = state.document
    found = document.services.get(service) if document else None
    return found.engine if found else None
