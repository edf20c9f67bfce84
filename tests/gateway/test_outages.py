"""Tests of targets' entries that are removed around an outage of the store."""

import asyncio

from tests.gateway.fleets import run_fleet
from tests.gateway.targets import stream

OUTAGE_S = 1.0


async def run_through_outage(fleet):
    """Take the store away and wait until the instance reads it again."""
    directory = fleet.state.directory
    fleet.store.is_down = True
    await fleet.wait_for(lambda: directory.unreachable_since_s is not None)
    await asyncio.sleep(OUTAGE_S)
    fleet.store.is_down = False
    await fleet.wait_for(lambda: directory.unreachable_since_s is None)


class TestLog:
    def test_entry_that_is_missing_after_an_outage_is_logged(self, capfd):
        """Guards against a removed target that is used without any trace."""

        async def run():
            async with run_fleet(m1=stream(), m2=stream()) as fleet:
                await run_through_outage(fleet)
                fleet.store.remove('servers/m1')
                await fleet.wait_for(
                    lambda: 'm1' in fleet.state.directory.missing
                )
                address = fleet.targets['m1'].address
                fleet.store.put_target('m1', address)
                await fleet.wait_for(lambda: not fleet.state.directory.missing)

        asyncio.run(run())
        lines = [
            line
            for line in capfd.readouterr().out.splitlines()
            if 'target=m1' in line
        ]
        assert 'event=target_missing' in lines[-2]
        assert 'store_back_s=' in lines[-2]
        assert 'event=target_registered_again' in lines[-1]
