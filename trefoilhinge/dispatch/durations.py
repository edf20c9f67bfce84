"""Estimates of a call's duration from its token counts."""

from trefoilhinge.dispatch.calls import PromptSize
from trefoilhinge.dispatch.documents import FleetDocument, Route
from trefoilhinge.dispatch.latency_model import (
    estimate_prefill_s,
    estimate_step_s,
)

SAFETY_FACTOR = 1.5  # allows for work that joins while the call runs
SAFETY_S = 0.5  # allows for the wait for a slot


def estimate_duration_s(
    document: FleetDocument,
    route: Route,
    size: PromptSize | None,
) -> float:
    """Return the estimated maximum duration of a call, in seconds.

    A call without a prompt size may last as long as its route allows. A model
    call may last as long as a fully occupied engine takes to prefill its
    prompt and to generate the maximum output.
    """
    engine = None
    for share in route.shares:
        service = document.services.get(share.service)
        if service is not None and service.engine is not None:
            engine = service.engine
    if size is None or engine is None:
        return route.timeout_s
    context_tokens = size.prompt_tokens + size.maximum_output_tokens
    step_s = estimate_step_s(engine, engine.slots, context_tokens)
    expected_s = estimate_prefill_s(engine, size.prompt_tokens)
    expected_s += size.maximum_output_tokens * step_s
    return min(route.timeout_s, expected_s * SAFETY_FACTOR + SAFETY_S)
