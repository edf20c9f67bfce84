"""Estimates of a call's duration from its token counts."""

from trefoilhinge.dispatch.calls import PromptSize
from trefoilhinge.dispatch.documents import (
    EngineProfile,
    FleetDocument,
    Route,
)
from trefoilhinge.dispatch.latency_model import (
    estimate_prefill_s,
    estimate_step_s,
)

SAFETY_FACTOR = 1.5  # allows for work that joins while the call runs
SAFETY_S = 0.5  # allows for the wait for a slot
PLAIN_DURATION_S = 0.25  # several times the duration of a plain call


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
    engine = _find_engine(document, route)
    if size is None or engine is None:
        return route.timeout_s
    expected_s = estimate_prefill_s(engine, size.prompt_tokens)
    expected_s += _estimate_steps_s(engine, size, size.maximum_output_tokens)
    return min(route.timeout_s, expected_s * SAFETY_FACTOR + SAFETY_S)


def estimate_expected_s(
    document: FleetDocument,
    route: Route,
    size: PromptSize | None,
    targets: int,
) -> float:
    """Return the expected duration of a call that need not wait, in seconds.

    :param targets: targets that share the prefill of its prompt.
    """
    engine = _find_engine(document, route)
    if size is None or engine is None:
        return min(route.timeout_s, PLAIN_DURATION_S)
    prefill_s = estimate_prefill_s(engine, size.prompt_tokens)
    output_s = estimate_output_s(document, route, size)
    return prefill_s / max(1, targets) + output_s


def estimate_output_s(
    document: FleetDocument,
    route: Route,
    size: PromptSize | None,
) -> float:
    """Return the seconds from the first event of a call to its last.

    A call without a prompt size has one event.
    """
    engine = _find_engine(document, route)
    if size is None or engine is None:
        return 0
    return _estimate_steps_s(engine, size, size.expected_output_tokens)


def _estimate_steps_s(
    engine: EngineProfile, size: PromptSize, output_tokens: int
) -> float:
    """Return the seconds in which a full engine generates tokens."""
    context_tokens = size.prompt_tokens + size.maximum_output_tokens
    step_s = estimate_step_s(engine, engine.slots, context_tokens)
    return output_tokens * step_s


def _find_engine(document: FleetDocument, route: Route) -> EngineProfile | None:
    engine = None
    for share in route.shares:
        service = document.services.get(share.service)
        if service is not None and service.engine is not None:
            engine = service.engine
    return engine
