"""What a call needs of its targets, and until when."""

from typing import Protocol

import xxhash
from attrs import frozen

from trefoilhinge.dispatch.admission.waiting_calls import (
    WaitingCall,
    WaitingKey,
)
from trefoilhinge.dispatch.calls import Call, PromptSize
from trefoilhinge.dispatch.costs import compute_call_weight
from trefoilhinge.dispatch.documents import CallKind, EngineProfile
from trefoilhinge.dispatch.group_placement import MAXIMUM_HELPERS
from trefoilhinge.dispatch.latency_model import (
    estimate_iteration_s,
    estimate_prefill_s,
    estimate_step_s,
)
from trefoilhinge.dispatch.patience import compute_patience_s
from trefoilhinge.dispatch.placement import MINIMUM_GROUP_TOKENS
from trefoilhinge.dispatch.placement_requests import USABLE_MEMORY_SHARE


@frozen
class OutputBounds:
    """Expected output of a call, in tokens.

    :ivar upper: exceeded by about one call in ten.
    """

    mean: float
    upper: float


class OutputEstimator(Protocol):
    """Estimates the output of calls."""

    def estimate_output(self, call: Call) -> OutputBounds:
        """Return the expected output of a call with a prompt size."""
        ...


@frozen
class HintedOutput:
    """Takes the caller's hint for both the mean and the upper bound."""

    def estimate_output(self, call: Call) -> OutputBounds:
        """Return the expected output of a call with a prompt size."""
        size = call.head.prompt_size
        hint = size.expected_output_tokens if size else 0
        return OutputBounds(hint, hint)


def make_waiting_call(
    call: Call,
    key: WaitingKey,
    engine: EngineProfile | None,
    output: OutputBounds,
    asked_s: float,
    stamp: int,
) -> WaitingCall:
    """Return a call as it waits for capacity.

    :param key: key that its run will have.
    :param engine: profile of its targets; none for a plain service.
    :param asked_s: monotonic seconds since which its caller has heard nothing:
        of its arrival, or of the last event of a stream that goes on.
    :param stamp: logical time at which it begins to wait.
    """
    size = call.head.prompt_size
    name = call.organisation.name if call.organisation else ''
    first_s: float = 0
    service_s: float = 0
    memory_tokens = 0
    if size is not None and engine is not None:
        first_s = _estimate_least_prefill_s(engine, size.prompt_tokens)
        first_s += estimate_iteration_s(engine, 1, size.prompt_tokens)
        # An idle engine, and an output that is half as long as expected: what
        # takes longer is not known beforehand to be too late.
        step_s = estimate_step_s(engine, 1, size.prompt_tokens)
        service_s = first_s + output.mean / 2 * step_s
        memory_tokens = _count_needed_tokens(engine, size, output)
    latest_s = call.deadline_s - service_s
    if call.route.kind is CallKind.stream:
        patience_s = compute_patience_s(call.route.slo_s, call.route.gap_slo_s)
        latest_s = min(latest_s, asked_s + patience_s - first_s)
    return WaitingCall(
        origin=key[0],
        number=key[1],
        service=call.service,
        priority=call.priority,
        organisation=xxhash.xxh32_intdigest(name.encode()),
        memory_tokens=memory_tokens,
        weight=compute_call_weight(size.prompt_tokens if size else 0),
        stamp=stamp,
        since_s=call.received_s,
        on_time_s=asked_s + call.route.slo_s - first_s,
        latest_s=latest_s,
    )


def _count_needed_tokens(
    engine: EngineProfile, size: PromptSize, output: OutputBounds
) -> int:
    """Return the KV memory that a call takes.

    A group reserves it for the longest output.
    """
    longest = size.prompt_tokens + size.maximum_output_tokens
    if longest > int(engine.memory_tokens * USABLE_MEMORY_SHARE):
        return longest
    return size.prompt_tokens + int(
        min(output.upper, size.maximum_output_tokens)
    )


def _estimate_least_prefill_s(
    engine: EngineProfile, prompt_tokens: int
) -> float:
    """Return seconds of prefill if as many targets share it as may."""
    prefill_s = estimate_prefill_s(engine, prompt_tokens)
    if prompt_tokens < MINIMUM_GROUP_TOKENS:
        return prefill_s
    return prefill_s / (1 + MAXIMUM_HELPERS)
