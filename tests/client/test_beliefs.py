"""Tests of the comparison of the state of gateway instances."""

import asyncio

from attrs import evolve

from tests.gateway.fleets import run_fleet
from tests.gateway.targets import stream
from trefoilhinge.client.beliefs import (
    describe_snapshot,
    list_differences,
    print_beliefs,
)
from trefoilhinge.conf.generated.belief import (
    BeliefSnapshot,
    QuarantineBelief,
    TargetBelief,
)

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
    defaults = {
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
    return BeliefSnapshot(**{**defaults, **fields})


class TestDifferences:
    def test_equal_snapshots_have_no_differences(self):
        snapshots = [make_snapshot('a'), make_snapshot('b', calls=7)]
        assert list_differences(snapshots) == []

    def test_different_document_is_reported(self):
        snapshots = [make_snapshot('a'), make_snapshot('b', version=3)]
        assert list_differences(snapshots) == ['differs: document: a=4, b=3']

    def test_target_leaving_on_one_instance_is_reported(self):
        other_target = evolve(TARGET, leaving=True, usable=False)
        lines = list_differences(
            [make_snapshot('a'), make_snapshot('b', other_target)]
        )
        assert 'differs: target t1 leaving: a=False, b=True' in lines

    def test_limit_known_to_one_instance_is_reported(self):
        limited = evolve(TARGET, limit_per_s=1.2, limit_owner='10.0.0.2')
        lines = list_differences(
            [make_snapshot('a'), make_snapshot('b', limited)]
        )
        assert 'differs: target t1 limit_per_s: a=0, b=1.2' in lines

    def test_trait_that_one_instance_quarantines_is_reported(self):
        entry = QuarantineBelief(
            trait='part/bad',
            crashes=3,
            crashed_s=1,
            seen_s=1,
            probes=0,
            owner='10.0.0.2',
        )
        snapshots = [
            make_snapshot('a'),
            make_snapshot('b', quarantined=(entry,)),
        ]
        lines = list_differences(snapshots)
        assert lines == ['differs: quarantined: a=, b=part/bad']
        text = describe_snapshot(snapshots[1])
        assert text.endswith('quarantined: part/bad')

    def test_target_unknown_to_one_instance_is_reported(self):
        lines = list_differences([make_snapshot('a'), make_snapshot('b', None)])
        assert 'differs: target t1 address: a=10.0.0.1:80, b=-' in lines

    def test_current_loads_are_not_compared(self):
        other_target = evolve(TARGET, running=5, reading_s=0)
        snapshots = [make_snapshot('a'), make_snapshot('b', other_target)]
        assert list_differences(snapshots) == []


class TestCommand:
    def test_running_instance_is_read(self, capsys):
        async def run():
            async with run_fleet(m1=stream(), d1=stream()) as fleet:
                host, port = fleet.settings.control
                url = f'{host}:{port}'
                return await asyncio.to_thread(print_beliefs, url)

        assert asyncio.run(run()) == 0
        line = capsys.readouterr().out
        assert 'ready, document 1' in line
        assert '2 of 2 targets usable' in line

    def test_unreachable_address_is_reported(self, capsys):
        assert print_beliefs('127.0.0.1:1') == 2
        assert 'no answer' in capsys.readouterr().out

    def test_store_outage_is_shown(self):
        line = describe_snapshot(make_snapshot('a', store_away_s=2.5))
        assert line.endswith('store unreachable for 2.5 s')
