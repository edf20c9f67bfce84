"""Measures the time that a group of engines takes to prefill a huge prompt.

Run as ``python -m trefoilhinge.faults.preparation --tokens=1000000``. Times
are simulated, with the speeds of the fake engine.
"""

from typing import Any

import fire
from attrs import evolve, frozen

from trefoilhinge.core.identifiers import (
    InstanceName,
    RequestId,
    StreamId,
    TargetName,
)
from trefoilhinge.core.profiles import CallProfile
from trefoilhinge.faults.documents import (
    make_document,
)
from trefoilhinge.faults.world import (
    INSTANCES,
    make_fault_world,
)
from trefoilhinge.standins.simulation.engine import EngineSpeeds, FakeEngine
from trefoilhinge.standins.simulation.scheduler import Simulation

SENT_S = 3.0
TIME_LIMIT_S = 900.0
OUTPUT_TOKENS = 16


@frozen
class PrefillTimes:
    """Time to the first token of one prompt, in simulated seconds.

    :ivar tokens: length of the prompt.
    :ivar group_s: time at a group of engines, none if no token arrived.
    :ivar single_engine_s: time at one engine with memory for the whole prompt,
        none if no token arrived.
    """

    tokens: int
    group_s: float | None
    single_engine_s: float | None


def measure_prefill(tokens: int) -> PrefillTimes:
    """Send a prompt to a group of idle engines and to one large idle engine."""
    profile = CallProfile(
        request_id=RequestId('huge-1'),
        organisation='halls',
        service='writer',
        model=True,
        path='/v1/completions',
        idempotent=True,
        key='',
        body_digest='',
        prompt_tokens=tokens,
        output_tokens=OUTPUT_TOKENS,
        prefix_digests=(),
        priority=5,
        deadline_s=SENT_S + TIME_LIMIT_S,
        received_s=SENT_S,
    )
    return PrefillTimes(
        tokens, _measure_group(profile), _measure_single_engine(profile)
    )


def _measure_group(profile: CallProfile) -> float | None:
    world = make_fault_world(0)
    speeds = EngineSpeeds()
    for engine in world.world.engines.values():
        engine.speeds = speeds
    world.make_document = lambda revision: _make_document(revision, speeds)
    world.start()
    world.world.simulation.run_until(SENT_S)
    driver = world.drivers[InstanceName(INSTANCES[0])]
    call = driver.receive_call(profile)
    world.world.simulation.run_until(SENT_S + TIME_LIMIT_S)
    return None if call.first_s is None else call.first_s - SENT_S


def _make_document(revision: int, speeds: EngineSpeeds) -> dict[str, Any]:
    fields = make_document(revision)
    fields['services'][0]['memory_tokens'] = speeds.memory_tokens
    fields['services'][0]['prefill_tokens_per_s'] = speeds.prefill_tokens_per_s
    fields['time_limits']['maximum_s'] = TIME_LIMIT_S
    return fields


def _measure_single_engine(profile: CallProfile) -> float | None:
    simulation = Simulation()
    memory = profile.total_tokens * 2
    speeds = evolve(EngineSpeeds(), memory_tokens=memory)
    engine = FakeEngine(TargetName('huge'), simulation, speeds)
    seen: list[float] = []
    engine.start(
        StreamId('huge-1.1'),
        profile,
        profile.priority,
        lambda event: seen.append(simulation.now_s),
    )
    simulation.run_until(TIME_LIMIT_S)
    return seen[0] if seen else None


def main(tokens: int = 1_000_000) -> None:
    """Print the times to the first token of one prompt."""
    measured = measure_prefill(tokens)
    print(f'{measured.tokens} tokens')
    print(f'group of engines  {measured.group_s} s')
    print(f'one engine alone  {measured.single_engine_s} s')


if __name__ == '__main__':
    fire.Fire(main)
