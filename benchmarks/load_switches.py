"""Replay of a load that alternates between long and short prompts.

Run as ``python -m benchmarks.load_switches``. It plays 45 engines of 6 slots on
simulated time: ten seconds of few long prompts, then ten of many short ones. It
prints the late calls of each kind, with the placement as it is without and with
the demand of short calls, for several delays until instances know of a start.
A delay of zero is the bound by perfect knowledge of the load.
"""

import math
import random
from collections.abc import Iterator, Sequence

from attrs import frozen

from trefoilhinge.dispatch.calls import PromptSize
from trefoilhinge.dispatch.demand.rates import DemandTable
from trefoilhinge.dispatch.documents import EngineProfile
from trefoilhinge.dispatch.targets import TargetRecord
from trefoilhinge.measure.phased_workload import (
    Arrival,
    CallClass,
    make_route,
)
from trefoilhinge.measure.placement_simulation import (
    Outcome,
    PlacementSimulation,
)

ENGINES = 45
PHASE_S = 10.0
DURATION_S = 40.0
TURN_S = 2.0
SEEDS = (1, 2, 3, 4)
START_DELAYS_S = (0, 0.005, 0.02, 0.05)
# Share of the rate of its own phase at which a kind arrives in the other one.
OTHER_PHASE_SHARE = 0.1
SHORT_SLO_S = 0.32
LONG_SLO_S = 4.0
DOMAINS = 'abc'
ENGINE_PROFILE = EngineProfile(
    slots=6,
    memory_tokens=300_000,
    steps_per_iteration=34,
    step_ms=1.2,
    per_stream_ms=0.003,
    context_ms_per_k=0.003,
    prefill_tokens_per_ms=177,
    pairs_ms_per_m=0.15,
    chunk_tokens=2048,
)


@frozen
class Load:
    """A load that alternates, or a mix of both kinds that does not.

    :ivar short_rate: short prompts per second in their phase.
    :ivar long_rate: long prompts per second in theirs.
    """

    short_rate: float
    long_rate: float
    alternates: bool = True
    long_tokens: int = 260_000


LOADS = (
    Load(32, 0.863),
    Load(60, 1),
    Load(60, 2),
    Load(45, 1, alternates=False),
)


def make_class(name: str, slo_s: float, gap_slo_s: float) -> CallClass:
    """Return a call class; only its route matters here."""
    route = make_route(name, slo_s, gap_slo_s, 15)
    return CallClass(route, 1, (1, 1), 1, 0.25, 1, 1, 1, 1, 1, 1)


SHORT = make_class('short', SHORT_SLO_S, 0.25)
LONG = make_class('long', LONG_SLO_S, 1)


def draw_arrivals(load: Load, seed: int) -> list[Arrival]:
    """Return the arrivals of one seed in order of time."""
    source = random.Random(seed)
    arrivals = [
        *_draw_kind(load, SHORT, load.short_rate, source),
        *_draw_kind(load, LONG, load.long_rate, source),
    ]
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


def is_own_phase(load: Load, call_class: CallClass, at_s: float) -> bool:
    """Return whether a kind of call arrives at its full rate."""
    is_short_phase = int(at_s / PHASE_S) % 2 == 1
    return not load.alternates or is_short_phase == (call_class is SHORT)


def _draw_kind(
    load: Load, call_class: CallClass, rate: float, source: random.Random
) -> Iterator[Arrival]:
    at_s = source.expovariate(rate)
    while at_s < DURATION_S:
        if is_own_phase(load, call_class, at_s) or (
            source.random() < OTHER_PHASE_SHARE
        ):
            yield _draw_arrival(load, call_class, at_s, source)
        at_s += source.expovariate(rate)


def _draw_arrival(
    load: Load, call_class: CallClass, at_s: float, source: random.Random
) -> Arrival:
    if call_class is SHORT:
        prompt = int(min(24_000, source.lognormvariate(8.27, 0.7)))
        output = int(min(4_000, source.lognormvariate(7.1, 0.7)))
        limit = 4_000
    else:
        sized = source.lognormvariate(math.log(load.long_tokens) - 0.15, 0.55)
        prompt = int(min(1_000_000, sized))
        output = int(min(1_700, source.lognormvariate(6.4, 0.5)))
        limit = 1_700
    hint = int(min(limit, output * source.lognormvariate(0, 0.5)))
    return Arrival(at_s, call_class, PromptSize(prompt, limit, hint), output)


def make_records() -> list[TargetRecord]:
    """Return the engines, in three failure domains."""
    return [
        TargetRecord(
            f't{number:02}',
            'model',
            f'10.0.0.1:{number + 1}',
            DOMAINS[number % len(DOMAINS)],
            ENGINE_PROFILE.slots,
            is_leaving=False,
            started_ms=0,
            sequence=1,
            revision=1,
        )
        for number in range(ENGINES)
    ]


def replay(
    load: Load, start_delay_s: float, *, uses_demand: bool
) -> list[Outcome]:
    """Replay a load with all seeds; return the outcomes.

    :param start_delay_s: seconds until other instances know of a start.
    """
    outcomes = []
    for seed in SEEDS:
        simulation = PlacementSimulation(
            ENGINE_PROFILE,
            make_records(),
            start_delay_s=start_delay_s,
            demand=DemandTable() if uses_demand else None,
        )
        outcomes += simulation.run(draw_arrivals(load, seed))
    return outcomes


def count_late(outcomes: Sequence[Outcome]) -> str:
    """Return the number of late first events, of late gaps, and of calls."""
    late = [
        one
        for one in outcomes
        if one.first_event_s is None
        or one.first_event_s > one.arrival.call_class.route.slo_s
    ]
    missed = [one for one in outcomes if not one.meets_slo]
    return f'{len(late)}+{len(missed) - len(late)}/{len(outcomes)}'


def print_load(load: Load, start_delay_s: float, *, uses_demand: bool) -> None:
    """Print the late calls of one load."""
    outcomes = replay(load, start_delay_s, uses_demand=uses_demand)
    shorts = [one for one in outcomes if one.arrival.call_class is SHORT]
    longs = [one for one in outcomes if one.arrival.call_class is LONG]
    turn = [
        one
        for one in shorts
        if PHASE_S <= one.arrival.at_s % (2 * PHASE_S) < PHASE_S + TURN_S
    ]
    print(
        f'short={load.short_rate} long={load.long_rate}'
        f' long_tokens={load.long_tokens} alternates={load.alternates}'
        f' delay_s={start_delay_s} demand={uses_demand}:'
        f' short {count_late(shorts)}, first {TURN_S} s {count_late(turn)},'
        f' long {count_late(longs)}',
        flush=True,
    )


def main() -> None:
    """Print a line for each load and delay, without demand and with it.

    Each tells the calls with a late first event, and those with late gaps
    only, of all.
    """
    for load in LOADS:
        for start_delay_s in START_DELAYS_S:
            for uses_demand in (False, True):
                print_load(load, start_delay_s, uses_demand=uses_demand)


if __name__ == '__main__':
    main()
