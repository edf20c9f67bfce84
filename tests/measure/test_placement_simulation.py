"""Tests of engines that work in iterations and of placement on them."""

import pytest

from tests.dispatch.samples import (
    ENGINE_PROFILE,
    LONG_ROUTE,
    make_records,
    make_route,
)
from trefoilhinge.dispatch.calls import PromptSize
from trefoilhinge.dispatch.latency_model import (
    estimate_iteration_s,
    estimate_prefill_s,
)
from trefoilhinge.measure.phased_workload import (
    Arrival,
    CallClass,
    generate_arrivals,
)
from trefoilhinge.measure.placement_simulation import PlacementSimulation
from trefoilhinge.measure.placements import DEPLOYMENTS, run_seed
from trefoilhinge.standins.iterations import (
    EngineCall,
    IterationEngine,
    split_prompt,
)

SHORT = CallClass(
    make_route(),
    14.9,
    (0.32, 2.5),
    1.3,
    0.33,
    4960,
    0.9,
    23_800,
    1359,
    0.7,
    3401,
)
LONG = CallClass(
    LONG_ROUTE,
    0.685,
    (2.8, 0.05),
    15,
    3.7,
    133_000,
    0.55,
    600_000,
    679,
    0.5,
    1703,
)


def submit_call(key, engine, tokens=20_000, output_tokens=100):
    """Submit a call to an engine and return it."""
    call = EngineCall(key, tokens, output_tokens)
    part = split_prompt(ENGINE_PROFILE, call, tokens, 1)[0]
    engine.add_call(call, part)
    return call


def run_iterations(engine, until_s, now_s=0):
    """Run the iterations of an engine until a time."""
    while now_s < until_s:
        end_s = engine.start_iteration(now_s)
        if end_s is None:
            return
        now_s = end_s
        engine.finish_iteration(now_s)
        engine.start_decoding(now_s)


def make_arrival(at_s, prompt_tokens, call_class=LONG):
    """Return an arrival with 600 output tokens."""
    return Arrival(at_s, call_class, PromptSize(prompt_tokens, 1300, 600), 600)


def simulate(arrivals, count=14):
    """Simulate calls; return their outcomes in order of arrival."""
    outcomes = PlacementSimulation(ENGINE_PROFILE, make_records(count)).run(
        arrivals
    )
    return sorted(outcomes, key=lambda outcome: outcome.arrival.at_s)


class TestIterationEngine:
    def test_latency_of_lone_prompt_matches_prefill_estimate(self):
        engine = IterationEngine(ENGINE_PROFILE)
        call = submit_call(1, engine)
        run_iterations(engine, 1)
        expected_s = estimate_prefill_s(ENGINE_PROFILE, 20_000)
        assert call.event_times_s[0] == pytest.approx(expected_s, rel=0.15)

    def test_events_are_sent_once_per_iteration(self):
        engine = IterationEngine(ENGINE_PROFILE)
        call = submit_call(1, engine, output_tokens=300)
        run_iterations(engine, 1)
        gap_s = call.event_times_s[2] - call.event_times_s[1]
        assert gap_s == pytest.approx(
            estimate_iteration_s(ENGINE_PROFILE, 1, 20_000)
        )

    def test_prefill_increases_gaps_of_decoding_streams(self):
        engine = IterationEngine(ENGINE_PROFILE)
        call = submit_call(1, engine, output_tokens=300)
        run_iterations(engine, 0.2)
        submit_call(2, engine, tokens=40_000)
        run_iterations(engine, 1, now_s=call.event_times_s[-1])
        gaps_s = [
            after - before
            for before, after in zip(
                call.event_times_s, call.event_times_s[1:], strict=False
            )
        ]
        assert max(gaps_s) > estimate_prefill_s(ENGINE_PROFILE, 40_000)

    def test_newest_group_segment_is_prefilled_first(self):
        """Engines prefill the newest group segment first.

        The first events of 52 prompts on Caroni show this order.
        """
        engine = IterationEngine(ENGINE_PROFILE)
        calls = [EngineCall(key, 40_000, 100) for key in range(2)]
        for call in calls:
            part = split_prompt(ENGINE_PROFILE, call, 40_000, 2)[1]
            call.unfinished_parts = 1
            engine.add_part(part)
        engine.start_iteration(0)
        while calls[1].unfinished_parts:
            engine.finish_iteration(0)
            assert calls[0].unfinished_parts
            engine.start_iteration(0)

    def test_calls_wait_when_all_slots_are_used(self):
        engine = IterationEngine(ENGINE_PROFILE)
        for key in range(ENGINE_PROFILE.slots + 1):
            submit_call(key, engine)
        engine.start_iteration(0)
        assert len(engine.waiting) == 1


class TestPlacements:
    def test_first_event_of_lone_prompt_matches_prediction(self):
        outcome = simulate([make_arrival(0, 133_000)])[0]
        assert outcome.first_event_s == pytest.approx(
            outcome.expected_first_event_s, abs=0.06
        )

    def test_earlier_prompts_are_not_delayed_by_later_ones(self):
        """Overlapping prompts all meet their objectives.

        Engines prefill the newest group segment first, so a later prompt can
        delay an earlier one, as seen on Caroni. The largest prompt alone
        takes 1.8 s of all engines.
        """
        times = (0, 0.42, 0.48, 0.89, 1.2, 2.17)
        prompts = (188_000, 197_000, 549_000, 294_000, 96_000, 276_000)
        outcomes = simulate(map(make_arrival, times, prompts))
        assert all(outcome.meets_slo for outcome in outcomes)

    def test_short_streams_meet_gap_slo_beside_long_prompts(self):
        """Short streams meet their gap objective beside long prompts.

        The long prompts arrive while every target has short streams.
        """
        shorts = [
            make_arrival(number * 0.02, 5_000, SHORT) for number in range(84)
        ]
        longs = [
            make_arrival(1.7 + number * 0.1, 110_000) for number in range(4)
        ]
        outcomes = simulate(
            sorted(shorts + longs, key=lambda arrival: arrival.at_s)
        )
        late = [
            outcome
            for outcome in outcomes
            if outcome.arrival.call_class is SHORT and not outcome.meets_slo
        ]
        assert len(late) <= len(shorts) // 20

    @pytest.mark.parametrize('deployment', DEPLOYMENTS)
    def test_phased_workload_earns_the_required_share(self, deployment):
        """On days of normal load the users require a share of at least 0.85."""
        assert run_seed(deployment, seed=3).overall >= 0.85

    def test_same_seed_gives_the_same_arrivals(self):
        first, second = (
            generate_arrivals((SHORT, LONG), duration_s=5, seed=7)
            for _ in range(2)
        )
        assert first == second
