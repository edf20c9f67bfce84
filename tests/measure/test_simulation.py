"""Tests of the simulated engine and network."""

import pytest

from trefoilhinge.core.identifiers import RequestId, StreamId, TargetName
from trefoilhinge.core.profiles import CallProfile
from trefoilhinge.core.sse import StreamEvent
from trefoilhinge.standins.simulation.engine import FakeEngine
from trefoilhinge.standins.simulation.network import Network
from trefoilhinge.standins.simulation.scheduler import Simulation


def make_profile(number: int, tokens: int, output: int = 30) -> CallProfile:
    return CallProfile(
        request_id=RequestId(f'r{number}'),
        organisation='hall-1',
        service='writer',
        model=True,
        path='/v1/completions',
        idempotent=True,
        key='',
        body_digest='',
        prompt_tokens=tokens,
        output_tokens=output,
        prefix_digests=(),
        priority=5,
        deadline_s=1000,
        received_s=0,
    )


def run_engine(*, skips_events: bool) -> dict[str, list[float]]:
    """Run overlapping streams; return the first and last event time of each."""
    simulation = Simulation()
    engine = FakeEngine(
        TargetName('writer-0'), simulation, skips_events=skips_events
    )
    seen: dict[str, list[float]] = {}

    def listen(event: StreamEvent) -> None:
        seen.setdefault(event.stream_id, []).append(simulation.now_s)

    calls = [(0, 100_000), (0.1, 1200), (0.9, 30_000), (1.1, 2000), (30, 900)]
    for number, (at_s, tokens) in enumerate(calls):
        profile = make_profile(number, tokens)
        simulation.schedule(
            at_s,
            lambda profile=profile, number=number: engine.start(
                StreamId(f'r{number}.1'), profile, 5 + number % 2, listen
            ),
        )
    simulation.schedule(2.05, lambda: engine.cancel_stream(StreamId('r2.1')))
    for tick in range(40):
        simulation.schedule(tick * 0.3, engine.report_load)
    simulation.run_until(60)
    return {
        stream_id: [times[0], times[-1]] for stream_id, times in seen.items()
    }


class TestSkippedEvents:
    def test_skipping_events_leaves_the_times_unchanged(self):
        stepped = run_engine(skips_events=False)
        skipping = run_engine(skips_events=True)
        assert set(stepped) == {'r0.1', 'r1.1', 'r3.1', 'r4.1'}
        assert set(skipping) == set(stepped)
        for stream, times in stepped.items():
            assert skipping[stream] == pytest.approx(times, abs=1e-6)

    def test_load_falls_while_events_are_skipped(self):
        simulation = Simulation()
        engine = FakeEngine(
            TargetName('writer-0'), simulation, skips_events=True
        )
        engine.start(
            StreamId('r0.1'), make_profile(0, 100_000), 5, lambda _: None
        )
        simulation.run_until(1)
        # A step with one chunk takes 37.6 ms, which gives 26 steps per second.
        assert engine.report_load().queued_tokens == 100_000 - 26 * 512
        simulation.run_until(2)
        assert engine.report_load().queued_tokens == 100_000 - 53 * 512


class TestNetwork:
    @pytest.mark.parametrize('cut_s', [0, 0.0015])
    def test_lost_messages_end_at_the_time_limit(self, cut_s):
        simulation = Simulation()
        network = Network(simulation, lambda source, target: 0.001)
        answers = []
        network.request(
            'a',
            'b',
            lambda: 'answer',
            lambda got: answers.append((simulation.now_s, got)),
        )
        simulation.schedule(cut_s, lambda: network.partition('a', 'b'))
        simulation.run_until(10)
        assert answers == [(pytest.approx(2), None)]
