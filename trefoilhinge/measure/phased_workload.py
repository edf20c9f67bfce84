"""Workload that alternates between phases of long and of short prompts."""

from collections.abc import Iterator

import numpy as np
from attrs import frozen

from trefoilhinge.dispatch.calls import PromptSize
from trefoilhinge.dispatch.documents import CallKind, Route, ServiceShare

# Factors of the base rate, in phases of long and of short prompts.
SHORT_CLASS_RATE_FACTORS = (0.32, 2.5)
MIDDLE_CLASS_RATE_FACTORS = (1.3, 0.5)
LONG_CLASS_RATE_FACTORS = (2.8, 0.05)
PHASE_DURATION_S = 10.5  # as on the days of the users' heaviest load
# Logarithmic standard deviation of the callers' estimates of output tokens.
ESTIMATE_SIGMA = 0.5


@frozen
class CallClass:
    """Class of calls with a common size distribution.

    Prompt and output sizes are log-normally distributed.

    :ivar rate: base rate, calls per second.
    :ivar phase_rate_factors: factors of the rate in phases of long and of
        short prompts.
    :ivar weight: weight of a call of mean size that meets its objectives, in
        an arbitrary unit.
    :ivar late_weight: weight of a call of mean size that does not.
    :ivar prompt_mean_tokens: mean length of the prompt.
    :ivar prompt_sigma: standard deviation of the logarithm of the length.
    :ivar output_mean_tokens: mean number of output tokens.
    :ivar output_sigma: standard deviation of the logarithm of that number.
    """

    route: Route
    rate: float
    phase_rate_factors: tuple[float, float]
    weight: float
    late_weight: float
    prompt_mean_tokens: float
    prompt_sigma: float
    prompt_maximum_tokens: int
    output_mean_tokens: float
    output_sigma: float
    output_maximum_tokens: int


@frozen
class Arrival:
    """Arrival of one call.

    :ivar at_s: seconds from the start of the simulation.
    :ivar size: sizes that the caller announces.
    :ivar actual_output_tokens: tokens that will be generated.
    """

    at_s: float
    call_class: CallClass
    size: PromptSize
    actual_output_tokens: int

    @property
    def size_factor(self) -> float:
        """Return the weight relative to a call of mean size."""
        call_class = self.call_class
        size = self.size.prompt_tokens + 10 * self.actual_output_tokens
        mean_tokens = (
            call_class.prompt_mean_tokens + 10 * call_class.output_mean_tokens
        )
        return min(4, 0.3 + 0.7 * size / mean_tokens)


def make_route(
    name: str, slo_s: float, gap_slo_s: float, timeout_s: float
) -> Route:
    """Return a route of resumable streams."""
    return Route(
        name=name,
        host='measure.example',
        prefix=f'/{name}/',
        kind=CallKind.stream,
        timeout_s=timeout_s,
        slo_s=slo_s,
        gap_slo_s=gap_slo_s,
        priority=1,
        shares=(ServiceShare('model', 1),),
        attempts=2,
        is_public=False,
        is_resumable=True,
    )


def generate_arrivals(
    call_classes: tuple[CallClass, ...],
    duration_s: float,
    seed: int,
) -> list[Arrival]:
    """Return the arrivals in order of time.

    :param duration_s: seconds during which calls arrive.
    """
    random = np.random.default_rng(seed)
    offset_s = random.uniform(0, PHASE_DURATION_S)
    arrivals = [
        arrival
        for call_class in call_classes
        for arrival in _draw_arrivals(call_class, duration_s, offset_s, random)
    ]
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


def _draw_arrivals(
    call_class: CallClass,
    duration_s: float,
    offset_s: float,
    random: np.random.Generator,
) -> Iterator[Arrival]:
    """Yield Poisson arrivals whose rate follows the phases.

    They are drawn at the peak rate and thinned to the rate of the phase.
    """
    peak_rate = call_class.rate * max(call_class.phase_rate_factors)
    at_s = 0.0  # noqa: WPS358
    while True:
        at_s += random.exponential(1 / peak_rate)
        if at_s >= duration_s:
            return
        phase = int((at_s + offset_s) / PHASE_DURATION_S) % 2
        if (
            random.uniform() * max(call_class.phase_rate_factors)
            > call_class.phase_rate_factors[phase]
        ):
            continue
        prompt_tokens = _draw_size(
            call_class.prompt_mean_tokens,
            call_class.prompt_sigma,
            call_class.prompt_maximum_tokens,
            random,
        )
        output_tokens = _draw_size(
            call_class.output_mean_tokens,
            call_class.output_sigma,
            call_class.output_maximum_tokens,
            random,
        )
        estimated_tokens = output_tokens * random.lognormal(0, ESTIMATE_SIGMA)
        expected_tokens = int(
            min(estimated_tokens, call_class.output_maximum_tokens)
        )
        size = PromptSize(
            prompt_tokens, call_class.output_maximum_tokens, expected_tokens
        )
        yield Arrival(at_s, call_class, size, output_tokens)


def _draw_size(
    mean_tokens: float,
    sigma: float,
    maximum_tokens: int,
    random: np.random.Generator,
) -> int:
    tokens = random.lognormal(np.log(mean_tokens) - sigma * sigma / 2, sigma)
    return int(max(40, min(maximum_tokens, tokens)))
