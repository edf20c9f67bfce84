"""Durations of an engine's work, from its published figures.

An engine serves what waits in passes. Every step of a pass writes one token
of each writing call and reads at most a chunk of prompts; a pass with writers
has a fixed number of steps, after which their callers get an event.
"""

from trefoilhinge.dispatch.documents import EngineProfile

TOKENS_PER_K = 1000
PAIRS_PER_M = 1e6
MS_PER_S = 1000


def estimate_prefill_s(figures: EngineProfile, prompt_tokens: float) -> float:
    """Return seconds in which one engine reads a prompt by itself."""
    pairs = prompt_tokens * prompt_tokens / 2
    milliseconds = (
        prompt_tokens / figures.prefill_tokens_per_ms
        + pairs / PAIRS_PER_M * figures.pairs_ms_per_m
    )
    return milliseconds / MS_PER_S


def estimate_step_s(
    figures: EngineProfile,
    writers: int,
    context_tokens: float,
) -> float:
    """Return seconds of a step that reads nothing.

    :param writers: calls that write.
    :param context_tokens: context of all of them together.
    """
    milliseconds = (
        figures.step_ms
        + writers * figures.per_stream_ms
        + context_tokens / TOKENS_PER_K * figures.context_ms_per_k
    )
    return milliseconds / MS_PER_S


def estimate_iteration_s(
    figures: EngineProfile,
    writers: int,
    context_tokens: float,
) -> float:
    """Return seconds between two events while nothing is read."""
    return figures.steps_per_iteration * estimate_step_s(
        figures, writers, context_tokens
    )
