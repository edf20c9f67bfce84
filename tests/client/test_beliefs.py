"""Tests of the comparison of what gateway instances believe."""

import asyncio

from attrs import evolve

from tests.gateway.fleets import run_fleet
from tests.gateway.targets import stream
from trefoilhinge.client.beliefs import (
    describe_snapshot,
    list_differences,
    print_beliefs,
)
from trefoilhinge.conf.generated.belief import BeliefSnapshot, TargetBelief

TARGET = TargetBelief(
    name='t1',
    service='model',
    address='10.0.0.1:80',
    leaving=False,
    usable=True,
    running=2,
    reading_s=0.5,
    memory_tokens=1000,
    pace=1,
)


def make_snapshot(instance, target=TARGET, **fields):
    usual = {
        'instance': instance,
        'origin': f'{instance}/1',
        'ready': True,
        'stopping': False,
        'version': 4,
        'revision': 9,
        'calls': 1,
        'waiting': 0,
        'targets': (target,) if target else (),
    }
    return BeliefSnapshot(**{**usual, **fields})


class TestDifferences:
    def test_equal_beliefs_differ_in_nothing(self):
        snapshots = [make_snapshot('a'), make_snapshot('b', calls=7)]
        assert list_differences(snapshots) == []

    def test_other_document_is_named(self):
        snapshots = [make_snapshot('a'), make_snapshot('b', version=3)]
        assert list_differences(snapshots) == ['differs: document: a=4, b=3']

    def test_target_that_one_takes_for_leaving_is_named(self):
        other = evolve(TARGET, leaving=True, usable=False)
        lines = list_differences(
            [make_snapshot('a'), make_snapshot('b', other)]
        )
        assert 'differs: target t1 leaving: a=False, b=True' in lines

    def test_target_that_one_does_not_know_is_named(self):
        lines = list_differences([make_snapshot('a'), make_snapshot('b', None)])
        assert 'differs: target t1 address: a=10.0.0.1:80, b=-' in lines

    def test_figures_of_the_moment_are_no_difference(self):
        other = evolve(TARGET, running=5, reading_s=0)
        snapshots = [make_snapshot('a'), make_snapshot('b', other)]
        assert list_differences(snapshots) == []


class TestCommand:
    def test_living_instance_is_read(self, capsys):
        async def run():
            async with run_fleet(m1=stream(), d1=stream()) as fleet:
                host, port = fleet.settings.control
                url = f'{host}:{port}'
                return await asyncio.to_thread(print_beliefs, url)

        assert asyncio.run(run()) == 0
        line = capsys.readouterr().out
        assert 'ready, document 1' in line
        assert '2 of 2 targets usable' in line

    def test_address_without_an_instance_is_told(self, capsys):
        assert print_beliefs('127.0.0.1:1') == 2
        assert 'no answer' in capsys.readouterr().out

    def test_store_that_is_away_is_told(self):
        line = describe_snapshot(make_snapshot('a', store_away_s=2.5))
        assert line.endswith('store away for 2.5 s')
