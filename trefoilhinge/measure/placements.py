"""Measures where the gateway places prompts, on engines that work in passes.

The kinds of calls are those of the users' sheets, in phases of short and of
long work.
"""

import statistics
from collections.abc import Iterable, Sequence

from attrs import frozen

from trefoilhinge.dispatch.documents import EngineProfile
from trefoilhinge.dispatch.targets import TargetRecord
from trefoilhinge.measure.phased_workload import (
    LONG_RATE_SPAN,
    MIDDLE_RATE_SPAN,
    SHORT_RATE_SPAN,
    CallClass,
    list_arrivals,
    make_route,
)
from trefoilhinge.measure.placement_simulation import Outcome, PassFleet

FIGURES = EngineProfile(
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
SECONDS = 44.0  # of each play, about four phases
WINDOW_S = 2.0
WORST_WINDOWS = 2
SEEDS = 8


@frozen
class Deployment:
    """One deployment's engines and calls a second of each kind."""

    name: str
    engines: int
    rates: tuple[float, float, float]
    long_aim_s: float


DEPLOYMENTS = (
    Deployment('caroni', 14, (14.9, 0.81, 0.685), 3.0),
    Deployment('kandy', 23, (24.5, 1.34, 1.12), 2.5),
)


@frozen
class PlacementScore:
    """What came of one play, as shares of the worth that was owed.

    :ivar worst: mean of the two worst windows.
    :ivar by_kind: share of each kind.
    """

    whole: float
    worst: float
    by_kind: dict[str, float]


def list_kinds(deployment: Deployment) -> tuple[CallClass, ...]:
    """Return the kinds of calls of a deployment."""
    short, middle, long = deployment.rates
    return (
        CallClass(
            route=make_route('short', 0.3, 0.25, 10),
            rate=short,
            rate_span=SHORT_RATE_SPAN,
            worth=1.3,
            late_worth=0.33,
            prompt_mean=4_960,
            prompt_spread=0.9,
            prompt_maximum=23_800,
            answer_mean=1_359,
            answer_spread=0.7,
            answer_maximum=3_397,
        ),
        CallClass(
            route=make_route('middle', 1.5, 0.6, 10),
            rate=middle,
            rate_span=MIDDLE_RATE_SPAN,
            worth=3.9,
            late_worth=0.98,
            prompt_mean=45_000,
            prompt_spread=0.5,
            prompt_maximum=110_000,
            answer_mean=817,
            answer_spread=0.6,
            answer_maximum=2_021,
        ),
        CallClass(
            route=make_route('long', deployment.long_aim_s, 1, 15),
            rate=long,
            rate_span=LONG_RATE_SPAN,
            worth=15,
            late_worth=3.7,
            prompt_mean=133_000,
            prompt_spread=0.55,
            prompt_maximum=600_000,
            answer_mean=679,
            answer_spread=0.5,
            answer_maximum=1_677,
        ),
    )


def score_placements(outcomes: Sequence[Outcome]) -> PlacementScore:
    """Return the shares of the worth that one play earned."""
    windows: dict[int, list[Outcome]] = {}
    kinds: dict[str, list[Outcome]] = {}
    for one in outcomes:
        windows.setdefault(int(one.arrival.at_s / WINDOW_S), []).append(one)
        kinds.setdefault(one.arrival.kind.route.name, []).append(one)
    shares = sorted(_find_share(found) for found in windows.values())
    return PlacementScore(
        _find_share(outcomes),
        statistics.mean(shares[:WORST_WINDOWS]),
        {name: _find_share(found) for name, found in sorted(kinds.items())},
    )


def play_seed(deployment: Deployment, seed: int) -> PlacementScore:
    """Play the calls of one seed."""
    fleet = PassFleet(FIGURES, _make_records(deployment.engines))
    arrivals = list_arrivals(list_kinds(deployment), SECONDS, seed)
    return score_placements(fleet.play(arrivals))


def print_placements() -> None:
    """Print a line for each deployment."""
    for deployment in DEPLOYMENTS:
        scores = [play_seed(deployment, seed) for seed in range(1, SEEDS + 1)]
        whole = statistics.mean(score.whole for score in scores)
        worst = statistics.mean(score.worst for score in scores)
        kinds = ' '.join(
            f'{name}={statistics.mean(one.by_kind[name] for one in scores):.3f}'
            for name in scores[0].by_kind
        )
        print(
            f'{deployment.name} seeds={SEEDS} worth={whole:.3f} '
            f'worst_windows={worst:.3f} {kinds}'
        )


def _find_share(outcomes: Iterable[Outcome]) -> float:
    found = list(outcomes)
    owed = sum(one.arrival.kind.worth * one.arrival.share for one in found)
    return sum(one.credit for one in found) / owed


def _make_records(count: int) -> list[TargetRecord]:
    return [
        TargetRecord(
            name=f't{number:02}',
            service='model',
            address=f'10.0.0.1:{number + 1}',
            failure_domain='a',
            slots=FIGURES.slots,
            is_leaving=False,
            started_ms=0,
            sequence=1,
            revision=1,
        )
        for number in range(count)
    ]
