"""Tests of targets that start again under the name that they had."""

import asyncio

import pytest

from tests.gateway.fleets import run_fleet
from tests.gateway.targets import reply, stream
from trefoilhinge.dispatch.health import Outcome


def restart(fleet, name, born):
    """Let a target report a start."""
    address = fleet.targets[name].address
    service = 'desk' if name.startswith('d') else 'model'
    fleet.store.put_target(name, address, service, born=born)


class TestRestartedTarget:
    @pytest.mark.parametrize('outcome', [Outcome.unreachable, Outcome.failed])
    def test_ejection_ends_with_the_incarnation(self, outcome):
        """Guards against restarted targets that get no calls for seconds.

        Their crashes had ejected them, longer with each crash.
        """

        async def run():
            async with run_fleet(
                d1=reply(200), d2=reply(200), d3=reply(200)
            ) as fleet:
                state = fleet.state
                for _ in range(8):
                    now_s = state.get_now_s()
                    state.health.record_outcome('d1', outcome, now_s)
                assert not is_usable(state, 'd1')
                restart(fleet, 'd1', born=2000)
                await fleet.wait_for(
                    lambda: state.directory.records['d1'].started_ms == 2000
                )
                assert is_usable(state, 'd1')

        asyncio.run(run())

    def test_report_of_the_same_incarnation_changes_nothing(self):
        async def run():
            async with run_fleet(d1=reply(200), d2=reply(200)) as fleet:
                state = fleet.state
                state.health.eject('d1', 3, state.get_now_s())
                revision = state.directory.records['d1'].revision
                restart(fleet, 'd1', born=1000)
                await fleet.wait_for(
                    lambda: state.directory.records['d1'].revision > revision
                )
                assert not is_usable(state, 'd1')

        asyncio.run(run())

    def test_slowdown_ends_with_the_incarnation(self):
        async def run():
            async with run_fleet(m1=stream(), m2=stream()) as fleet:
                state = fleet.state
                state.slowdowns.apply_report('m1', 5, state.get_now_s())
                restart(fleet, 'm1', born=2000)
                await fleet.wait_for(
                    lambda: state.directory.records['m1'].started_ms == 2000
                )
                assert state.slowdowns.get('m1', state.get_now_s()) == 1

        asyncio.run(run())


def is_usable(state, name):
    """Return whether a target may be used."""
    names = list(state.directory.records)
    return name in state.health.list_usable(names, state.get_now_s())
