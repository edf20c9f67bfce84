"""Tests of targets' entries that are removed around an outage of the store."""

import asyncio

from tests.gateway.fleets import run_fleet, run_peers
from tests.gateway.targets import stream
from trefoilhinge.dispatch.outages import REREGISTRATION_GRACE_S
from trefoilhinge.dispatch.store_timing import MAXIMUM_WAIT_S

OUTAGE_S = 1.0
CUT_AFTER_S = 0.5  # of a waiting watch
SLOW_BYTES_PER_S = 1_000  # lets an instance hear its peers first
REGISTRATION_DELAY_S = 0.3


def list_serving(fleet):
    """Return the names of the targets that an instance uses."""
    directory = fleet.state.directory
    return [one.name for one in directory.list_serving('model')]


async def run_through_outage(fleet):
    """Take the store away and wait until the instance reads it again."""
    directory = fleet.state.directory
    fleet.store.is_down = True
    await fleet.wait_for(
        lambda: directory.outages.unreachable_since_s is not None
    )
    await asyncio.sleep(OUTAGE_S)
    fleet.store.is_down = False
    await fleet.wait_for(lambda: directory.outages.unreachable_since_s is None)


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


class TestCutWatches:
    def test_removed_target_gets_no_calls_while_watches_are_cut(self):
        """Guards against DRAIN: calls at a target long after its removal.

        A cut watch counted as an outage, in which entries may expire, and the
        time of grace began anew with each of them.
        """

        async def run():
            async with run_fleet(m1=stream(), m2=stream()) as fleet:
                directory = fleet.state.directory
                fleet.store.cut_after_s = CUT_AFTER_S
                await asyncio.sleep(3 * CUT_AFTER_S)
                fleet.store.remove('servers/m1')
                limit_s = fleet.settings.bounds.apply_s
                await fleet.wait_for(
                    lambda: len(directory.list_serving('model')) == 1, limit_s
                )
                assert directory.outages.unreachable_since_s is None

        asyncio.run(run())

    def test_store_that_stays_away_after_cutting_a_watch_is_lost(self):
        """Guards against an outage that is taken for a cut watch."""

        async def run():
            async with run_fleet(m1=stream()) as fleet:
                await asyncio.sleep(CUT_AFTER_S)
                began_s = asyncio.get_running_loop().time()
                await run_through_outage(fleet)
                fleet.store.remove('servers/m1')
                directory = fleet.state.directory
                await fleet.wait_for(lambda: directory.missing)
                assert directory.list_serving('model')
                back_s = directory.outages.reachable_since_s
                assert back_s - began_s >= OUTAGE_S

        asyncio.run(run())

    def test_interrupted_store_is_read_without_a_long_wait(self):
        """Guards against a waiting read that makes an interruption look long.

        The time until its answer counted as part of the outage.
        """

        async def run():
            async with run_fleet(m1=stream(), m2=stream()) as fleet:
                outages = fleet.state.directory.outages
                fleet.store.is_down = True
                await fleet.wait_for(
                    lambda: outages.unreachable_since_s is not None
                )
                fleet.store.is_down = False
                await fleet.wait_for(
                    lambda: outages.unreachable_since_s is None,
                    MAXIMUM_WAIT_S / 2,
                )

        asyncio.run(run())


class TestLostTargets:
    def test_target_that_registers_again_is_used_by_each_instance(self):
        """Guards against RECOVER: a target that lost the store for a time.

        Its entry expired while the store was sound, so that it departed; it
        lives, is reachable and registers again.
        """

        async def run():
            async with (
                run_fleet(m1=stream(), m2=stream()) as fleet,
                run_peers(fleet, 2) as others,
            ):
                fleets = (fleet, *others)
                fleet.store.remove('servers/m1')
                for one in fleets:
                    await fleet.wait_for(
                        lambda one=one: list_serving(one) == ['m2']
                    )
                address = fleet.targets['m1'].address
                fleet.store.put_target('m1', address, seq=9)
                for one in fleets:
                    await fleet.wait_for(
                        lambda one=one: list_serving(one) == ['m1', 'm2'],
                        fleet.settings.bounds.apply_s,
                    )

        asyncio.run(run())


class TestRestartAfterAnOutage:
    def test_start_takes_no_targets_from_the_other_instances(self):
        """Guards against RECOVER: one restart that empties the whole fleet.

        The instance that starts has the targets from a peer before it reads
        the store, where they have not registered again yet.
        """

        async def run():
            async with run_fleet(m1=stream(), m2=stream()) as fleet:
                await run_through_outage(fleet)
                for name in ('m1', 'm2'):
                    fleet.store.remove(f'servers/{name}')
                fleet.store.bytes_per_s = SLOW_BYTES_PER_S
                async with run_peers(fleet, 1) as (other,):
                    records = other.state.directory.records
                    assert {'m1', 'm2'} <= records.keys()
                    await fleet.wait_for(lambda: other.state.directory.missing)
                    fleet.store.bytes_per_s = None
                    await asyncio.sleep(REGISTRATION_DELAY_S)
                    for one in (fleet, other):
                        assert list_serving(one) == ['m1', 'm2']
                    for name in ('m1', 'm2'):
                        address = fleet.targets[name].address
                        fleet.store.put_target(name, address, seq=9)
                    await asyncio.sleep(2 * REREGISTRATION_GRACE_S)
                    for one in (fleet, other):
                        assert list_serving(one) == ['m1', 'm2']

        asyncio.run(run())
