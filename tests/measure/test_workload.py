"""Tests of the workload and of the capacity that loads are shares of."""

import pathlib

import pytest
from attrs import evolve

from trefoilhinge.conf.document import parse_document
from trefoilhinge.measure.capacity import compute_capacity
from trefoilhinge.measure.workload import (
    compute_mean_prompt_tokens,
    find_service,
    make_workload_generator,
)
from trefoilhinge.standins.simulation.engine import EngineSpeeds

DOCUMENT = parse_document(
    pathlib.Path('examples/kandy.json').read_text(encoding='utf-8')
).ok


class TestWorkload:
    def test_a_seed_gives_the_same_arrivals(self):
        first = make_workload_generator(DOCUMENT, 7).generate_arrivals(20, 60)
        assert first == make_workload_generator(DOCUMENT, 7).generate_arrivals(
            20, 60
        )
        assert first != make_workload_generator(DOCUMENT, 8).generate_arrivals(
            20, 60
        )

    def test_one_prompt_in_fifty_is_long(self):
        arrivals = make_workload_generator(DOCUMENT, 1).generate_arrivals(
            100, 600
        )
        calls = [
            arrival.profile for arrival in arrivals if arrival.profile.model
        ]
        longs = sum(call.prompt_tokens > 100_000 for call in calls)
        assert longs / len(calls) == pytest.approx(0.02, abs=0.003)
        assert len(calls) / 600 == pytest.approx(100, rel=0.1)

    def test_prompts_share_prefixes_within_an_organisation(self):
        arrivals = make_workload_generator(DOCUMENT, 1).generate_arrivals(
            50, 60
        )
        first: dict[int, set[str]] = {}
        for arrival in arrivals:
            for digest in arrival.profile.prefix_digests[:1]:
                names = first.setdefault(digest, set())
                names.add(arrival.profile.organisation)
        assert len(first) <= 3 * len(DOCUMENT.organisations)
        assert all(len(names) == 1 for names in first.values())


class TestCapacity:
    def test_capacity_is_that_of_full_steps(self):
        service = find_service(DOCUMENT, 'model')
        rate = compute_capacity(service, EngineSpeeds())
        tokens_per_s = rate * compute_mean_prompt_tokens(service.memory_tokens)
        bound = 512 / (0.012 + 512 / 20_000) * len(service.targets)
        assert 0.9 * bound < tokens_per_s < bound

    def test_capacity_is_proportional_to_engines(self):
        service = find_service(DOCUMENT, 'model')
        half = evolve(service, targets=service.targets[:5])
        speeds = EngineSpeeds()
        assert compute_capacity(half, speeds) == pytest.approx(
            compute_capacity(service, speeds) / 5
        )
