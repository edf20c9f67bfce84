"""Benchmark of the gateway's placement on simulated engines.

The call classes follow the users' data sheets. They arrive in alternating
phases of short and of long prompts.
"""

import statistics
from collections.abc import Iterable, Sequence

from attrs import frozen

from trefoilhinge.dispatch.documents import EngineProfile
from trefoilhinge.dispatch.targets import TargetRecord
from trefoilhinge.measure.phased_workload import (
    LONG_CLASS_RATE_FACTORS,
    MIDDLE_CLASS_RATE_FACTORS,
    SHORT_CLASS_RATE_FACTORS,
    CallClass,
    generate_arrivals,
    make_route,
)
from trefoilhinge.measure.placement_simulation import (
    Outcome,
    PlacementSimulation,
)

ENGINE_PROFILE = EngineProfile(
    slots=8,
    memory_tokens=232_000,
    steps_per_iteration=43,
    step_ms=1.02,
    per_stream_ms=0.00452,
    context_ms_per_k=0.00431,
    prefill_tokens_per_ms=206,
    pairs_ms_per_m=0.138,
    chunk_tokens=2048,
)
REGISTRY_PROFILE = EngineProfile(
    slots=8,
    memory_tokens=405_000,
    steps_per_iteration=34,
    step_ms=1.31,
    per_stream_ms=0.000917,
    context_ms_per_k=0.00213,
    prefill_tokens_per_ms=154,
    pairs_ms_per_m=0.162,
    chunk_tokens=2048,
)
DURATION_S = 44.0  # of each run, about four phases
WINDOW_S = 2.0
WORST_WINDOWS = 2
SEED_COUNT = 8
# Standard deviations of the logarithm of the output of short, middle and long
# prompts.
OUTPUT_SIGMAS = (0.7, 0.6, 0.5)


@frozen
class ClassSizes:
    """Sizes and weights of one class of calls, from the users' data sheet.

    :ivar weights: weight of a call of mean size on time, and late.
    :ivar prompt_tokens: mean and maximum length of the prompt.
    :ivar prompt_sigma: standard deviation of the logarithm of that length.
    :ivar output_tokens: mean and maximum number of output tokens.
    """

    weights: tuple[float, float]
    prompt_tokens: tuple[float, int]
    prompt_sigma: float
    output_tokens: tuple[float, int]


SHORT_SIZES = ClassSizes((1.3, 0.33), (4_960, 23_800), 0.9, (1_359, 3_397))
MIDDLE_SIZES = ClassSizes((3.9, 0.98), (45_000, 110_000), 0.5, (817, 2_021))
LONG_SIZES = ClassSizes((15, 3.7), (133_000, 600_000), 0.55, (679, 1_677))


@frozen
class Deployment:
    """Engines and load of one deployment.

    :ivar engines: number of engines.
    :ivar rates: calls per second of short, middle and long prompts.
    :ivar long_slo_s: objective for the first event of long prompts, seconds.
    :ivar profile: profile of every engine.
    :ivar sizes: sizes of short, middle and long prompts.
    """

    name: str
    engines: int
    rates: tuple[float, float, float]
    long_slo_s: float
    profile: EngineProfile = ENGINE_PROFILE
    sizes: tuple[ClassSizes, ClassSizes, ClassSizes] = (
        SHORT_SIZES,
        MIDDLE_SIZES,
        LONG_SIZES,
    )


DEPLOYMENTS = (
    Deployment('caroni', 14, (14.9, 0.81, 0.685), 3.0),
    Deployment('kandy', 23, (24.5, 1.34, 1.12), 2.5),
    Deployment(
        'registry',
        14,
        (14.0, 0.785, 0.364),
        4.0,
        REGISTRY_PROFILE,
        (
            ClassSizes((1.3, 0.33), (4_960, 23_800), 0.9, (1_309, 3_271)),
            ClassSizes((3.9, 0.97), (45_000, 110_000), 0.5, (785, 1_962)),
            ClassSizes((24, 6.1), (182_000, 900_000), 0.55, (653, 1_635)),
        ),
    ),
)


@frozen
class PlacementScore:
    """Shares of the maximum weight that one run earned.

    :ivar overall: share of all calls.
    :ivar worst_windows: mean share of the ``WORST_WINDOWS`` worst windows.
    :ivar shares: share of each call class, by name.
    """

    overall: float
    worst_windows: float
    shares: dict[str, float]


def list_call_classes(deployment: Deployment) -> tuple[CallClass, ...]:
    """Return the call classes of a deployment."""
    routes = (
        make_route('short', 0.3, 0.25, 10),
        make_route('middle', 1.5, 0.6, 10),
        make_route('long', deployment.long_slo_s, 1, 15),
    )
    factors = (
        SHORT_CLASS_RATE_FACTORS,
        MIDDLE_CLASS_RATE_FACTORS,
        LONG_CLASS_RATE_FACTORS,
    )
    parts = zip(
        routes,
        deployment.rates,
        factors,
        deployment.sizes,
        OUTPUT_SIGMAS,
        strict=True,
    )
    return tuple(
        CallClass(
            route=route,
            rate=rate,
            phase_rate_factors=rate_factors,
            weight=sizes.weights[0],
            late_weight=sizes.weights[1],
            prompt_mean_tokens=sizes.prompt_tokens[0],
            prompt_sigma=sizes.prompt_sigma,
            prompt_maximum_tokens=sizes.prompt_tokens[1],
            output_mean_tokens=sizes.output_tokens[0],
            output_sigma=output_sigma,
            output_maximum_tokens=sizes.output_tokens[1],
        )
        for route, rate, rate_factors, sizes, output_sigma in parts
    )


def score_outcomes(outcomes: Sequence[Outcome]) -> PlacementScore:
    """Score the outcomes of one run."""
    windows: dict[int, list[Outcome]] = {}
    classes: dict[str, list[Outcome]] = {}
    for outcome in outcomes:
        windows.setdefault(int(outcome.arrival.at_s / WINDOW_S), []).append(
            outcome
        )
        classes.setdefault(outcome.arrival.call_class.route.name, []).append(
            outcome
        )
    shares = sorted(
        _compute_weight_share(selected) for selected in windows.values()
    )
    return PlacementScore(
        _compute_weight_share(outcomes),
        statistics.mean(shares[:WORST_WINDOWS]),
        {
            name: _compute_weight_share(selected)
            for name, selected in sorted(classes.items())
        },
    )


def run_seed(deployment: Deployment, seed: int) -> PlacementScore:
    """Run and score the calls of one seed."""
    simulation = PlacementSimulation(
        deployment.profile, _make_records(deployment.engines)
    )
    arrivals = generate_arrivals(
        list_call_classes(deployment), DURATION_S, seed
    )
    return score_outcomes(simulation.run(arrivals))


def print_placements() -> None:
    """Print one line of mean scores for each deployment."""
    for deployment in DEPLOYMENTS:
        scores = [
            run_seed(deployment, seed) for seed in range(1, SEED_COUNT + 1)
        ]
        overall = statistics.mean(score.overall for score in scores)
        worst_windows = statistics.mean(score.worst_windows for score in scores)
        columns = ' '.join(
            f'{name}='
            f'{statistics.mean(score.shares[name] for score in scores):.3f}'
            for name in scores[0].shares
        )
        print(
            f'{deployment.name} seeds={SEED_COUNT} worth={overall:.3f} '
            f'worst_windows={worst_windows:.3f} {columns}'
        )


def _compute_weight_share(outcomes: Iterable[Outcome]) -> float:
    selected = list(outcomes)
    possible_weight = sum(
        outcome.arrival.call_class.weight * outcome.arrival.size_factor
        for outcome in selected
    )
    return sum(outcome.earned_weight for outcome in selected) / possible_weight


def _make_records(count: int) -> list[TargetRecord]:
    return [
        TargetRecord(
            name=f't{number:02}',
            service='model',
            address=f'10.0.0.1:{number + 1}',
            failure_domain='a',
            slots=ENGINE_PROFILE.slots,
            is_leaving=False,
            started_ms=0,
            sequence=1,
            revision=1,
        )
        for number in range(count)
    ]
