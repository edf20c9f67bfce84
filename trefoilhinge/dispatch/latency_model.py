"""Latency model of an engine, from its published profile.

An engine works in scheduler iterations. Each step of an iteration generates
one token of every decoding stream and prefills at most one chunk of prompts.
An iteration with decoding streams has a fixed number of steps, after which
their callers receive an event.
"""

from trefoilhinge.dispatch.documents import EngineProfile

TOKENS_PER_K = 1000
PAIRS_PER_M = 1e6
MS_PER_S = 1000


def estimate_prefill_s(engine: EngineProfile, prompt_tokens: float) -> float:
    """Return seconds that one engine takes to prefill a whole prompt."""
    pairs = prompt_tokens * prompt_tokens / 2
    milliseconds = (
        prompt_tokens / engine.prefill_tokens_per_ms
        + pairs / PAIRS_PER_M * engine.pairs_ms_per_m
    )
    return milliseconds / MS_PER_S


def estimate_step_s(
    engine: EngineProfile,
    streams: int,
    context_tokens: float,
) -> float:
    """Return seconds of a step without prefill.

    :param streams: number of decoding streams.
    :param context_tokens: total context of these streams.
    """
    milliseconds = (
        engine.step_ms
        + streams * engine.per_stream_ms
        + context_tokens / TOKENS_PER_K * engine.context_ms_per_k
    )
    return milliseconds / MS_PER_S


def estimate_iteration_s(
    engine: EngineProfile,
    streams: int,
    context_tokens: float,
) -> float:
    """Return seconds between two events while nothing is prefilled."""
    return engine.steps_per_iteration * estimate_step_s(
        engine, streams, context_tokens
    )
