"""Tests of the connections that a target accepts from all instances."""

import asyncio

import pytest

from tests.gateway.documents import make_document
from tests.gateway.fleets import run_fleet
from tests.gateway.targets import reply
from trefoilhinge.dispatch.loads import Run, RunPart

MAXIMUM_CONNECTIONS = 70
SERVICES = [{'name': 'desk', 'maxConns': MAXIMUM_CONNECTIONS}]


def announce_runs(fleet, target, instances, count):
    """Record runs that other instances announced."""
    for number in range(count):
        origin = f'10.1.0.{number % instances}/1'
        part = RunPart(target, 0, 0, has_slot=True)
        run = Run(origin, number, (part,), 0, 0, 0, fleet.state.get_now_s())
        fleet.state.record_run(run, fleet.state.get_now_s() + 10)


@pytest.mark.parametrize('instances', [8, 61])
class TestConnectionLimit:
    """Guards against connections that a target resets.

    Each instance alone stays far below the limit for all of them together.
    """

    def test_target_with_all_its_connections_gets_no_call(self, instances):
        async def run():
            document = make_document(services=SERVICES)
            handlers = {'d1': reply(200, b'one'), 'd2': reply(200, b'two')}
            async with run_fleet(document, **handlers) as fleet:
                announce_runs(fleet, 'd1', instances, MAXIMUM_CONNECTIONS)
                announce_runs(fleet, 'd2', instances, MAXIMUM_CONNECTIONS - 1)
                assert (await fleet.call('/look/1', 'GET')).content == b'two'

        asyncio.run(run())

    def test_call_is_refused_if_no_target_has_one_left(self, instances):
        async def run():
            document = make_document(services=SERVICES)
            async with run_fleet(document, d1=reply(200, b'one')) as fleet:
                announce_runs(fleet, 'd1', instances, MAXIMUM_CONNECTIONS)
                answer = await fleet.call('/look/1', 'GET')
                assert answer.status == 503
                assert not fleet.targets['d1'].requests

        asyncio.run(run())
