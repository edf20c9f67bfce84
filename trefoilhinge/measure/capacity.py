"""Capacity of a fleet for the workload."""

from trefoilhinge.conf.generated.document import Service
from trefoilhinge.measure.workload import (
    MEAN_OUTPUT_TOKENS,
    compute_mean_prompt_tokens,
)
from trefoilhinge.standins.simulation.engine import EngineSpeeds

FIXED_POINT_ITERATIONS = 20


def compute_capacity(service: Service, speeds: EngineSpeeds) -> float:
    """Return the request rate that saturates the prefill of every engine.

    A step prefills one chunk and decodes one token of each stream. At ``r``
    requests per second an engine runs ``r * output * step`` streams, each of
    which lengthens the step. The rate at which chunks of the mean prompt
    fill every step is computed by fixed-point iteration. Prefix cache hits
    are not counted, so a policy with hits has headroom at a load of 1.
    Prompts larger than the memory of one engine cost nothing here.

    :return: requests per second of the whole service.
    """
    mean_prompt = compute_mean_prompt_tokens(service.memory_tokens)
    step_s = speeds.step_s + speeds.chunk_tokens / speeds.prefill_tokens_per_s
    requests_per_s: float = 0
    for _ in range(FIXED_POINT_ITERATIONS):
        streams = requests_per_s * MEAN_OUTPUT_TOKENS * step_s
        step_s = speeds.step_s + streams * speeds.step_per_stream_s
        step_s += speeds.chunk_tokens / speeds.prefill_tokens_per_s
        requests_per_s = speeds.chunk_tokens / step_s / mean_prompt
    return requests_per_s * len(service.targets)
