"""How long a call is expected to last, from its size alone."""

from trefoilhinge.dispatch.calls import PromptSize
from trefoilhinge.dispatch.documents import FleetDocument, Route
from trefoilhinge.dispatch.latency_model import (
    estimate_prefill_s,
    estimate_step_s,
)

SAFETY_FACTOR = 1.5  # of the time at a full engine, for work that joins it
SAFETY_S = 0.5  # for the wait for a place


def estimate_duration_s(
    document: FleetDocument,
    route: Route,
    size: PromptSize | None,
) -> float:
    """Return seconds that a call lasts at the most, as far as can be told.

    A plain call may last as long as its route allows; a stream as long as a
    full engine takes to read its prompt and to write all that it may.
    """
    figures = None
    for share in route.shares:
        service = document.services.get(share.service)
        if service is not None and service.engine is not None:
            figures = service.engine
    if size is None or figures is None:
        return route.timeout_s
    context = size.prompt_tokens + size.maximum_output_tokens
    step_s = estimate_step_s(figures, figures.slots, context)
    expected_s = estimate_prefill_s(figures, size.prompt_tokens)
    expected_s += size.maximum_output_tokens * step_s
    return min(route.timeout_s, expected_s * SAFETY_FACTOR + SAFETY_S)
