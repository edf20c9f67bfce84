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
DURATION_S = 44.0  # of each run, about four phases
WINDOW_S = 2.0
WORST_WINDOWS = 2
SEED_COUNT = 8


@frozen
class Deployment:
    """Engines and load of one deployment.

    :ivar engines: number of engines.
    :ivar rates: calls per second of short, middle and long prompts.
    :ivar long_slo_s: objective for the first event of long prompts, seconds.
    """

    name: str
    engines: int
    rates: tuple[float, float, float]
    long_slo_s: float


DEPLOYMENTS = (
    Deployment('caroni', 14, (14.9, 0.81, 0.685), 3.0),
    Deployment('kandy', 23, (24.5, 1.34, 1.12), 2.5),
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
    short, middle, long = deployment.rates
    return (
        CallClass(
            route=make_route('short', 0.3, 0.25, 10),
            rate=short,
            phase_rate_factors=SHORT_CLASS_RATE_FACTORS,
            weight=1.3,
            late_weight=0.33,
            prompt_mean_tokens=4_960,
            prompt_sigma=0.9,
            prompt_maximum_tokens=23_800,
            output_mean_tokens=1_359,
            output_sigma=0.7,
            output_maximum_tokens=3_397,
        ),
        CallClass(
            route=make_route('middle', 1.5, 0.6, 10),
            rate=middle,
            phase_rate_factors=MIDDLE_CLASS_RATE_FACTORS,
            weight=3.9,
            late_weight=0.98,
            prompt_mean_tokens=45_000,
            prompt_sigma=0.5,
            prompt_maximum_tokens=110_000,
            output_mean_tokens=817,
            output_sigma=0.6,
            output_maximum_tokens=2_021,
        ),
        CallClass(
            route=make_route('long', deployment.long_slo_s, 1, 15),
            rate=long,
            phase_rate_factors=LONG_CLASS_RATE_FACTORS,
            weight=15,
            late_weight=3.7,
            prompt_mean_tokens=133_000,
            prompt_sigma=0.55,
            prompt_maximum_tokens=600_000,
            output_mean_tokens=679,
            output_sigma=0.5,
            output_maximum_tokens=1_677,
        ),
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
        ENGINE_PROFILE, _make_records(deployment.engines)
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
