"""Tests of instances whose store was restored from an older copy."""

import asyncio
import contextlib

from attrs import evolve

from tests.gateway.documents import (
    HOST,
    OTHER_HOST,
    make_document,
    make_settings,
)
from tests.gateway.fleets import run_fleet
from tests.gateway.targets import stream
from trefoilhinge.gateway.daemon import make_gateway

REGISTRATION_DELAY_S = 0.8  # a living target registers again within 2 s


def list_serving(state):
    """Return the names of the serving targets."""
    return [one.name for one in state.directory.list_serving('model')]


@contextlib.asynccontextmanager
async def run_other(fleet, store_port, seeds=(HOST,)):
    """Run another instance of a fleet."""
    other = make_gateway(
        make_settings(store_port, seeds, OTHER_HOST, fleet.settings.first_port)
    )
    task = asyncio.ensure_future(other.run())
    try:
        yield other
    finally:
        task.cancel()
        other.close()


async def wait_until_read(fleet):
    """Wait until the instance has read the store's latest change."""
    await fleet.wait_for(
        lambda: fleet.gateway._store_watcher._revision >= fleet.store.revision
    )


class TestRestoredStore:
    def test_changes_at_revisions_given_out_again_are_read(self):
        """Guards against changes missed after a restoration.

        The revision that a watch continues from exists again, with another
        change, and the changes before it are not sent.
        """

        async def run():
            async with run_fleet(m1=stream()) as fleet:
                before = fleet.store.revision
                for number in range(3):
                    fleet.store.put(f'servers/x{number}', b'')
                await wait_until_read(fleet)
                fleet.store.restore(before)
                fleet.store.put('op/config', make_document(9))
                for number in range(4):
                    fleet.store.put(f'servers/y{number}', b'')
                await fleet.wait_for(lambda: fleet.state.document.version == 9)

        asyncio.run(run())

    def test_target_whose_entry_was_lost_serves_until_it_registers_again(self):
        """Guards against a living target that is taken for a removed one."""

        async def run():
            async with run_fleet(m1=stream()) as fleet:
                before = fleet.store.revision
                address = fleet.targets['m1'].address
                fleet.store.put_target('m2', address)
                await fleet.wait_for(
                    lambda: 'm2' in fleet.state.directory.records
                )
                fleet.store.restore(before)
                await asyncio.sleep(REGISTRATION_DELAY_S)
                assert 'm2' in fleet.state.directory.records
                fleet.store.put_target('m2', address)
                await asyncio.sleep(2.5)
                incarnations = fleet.state.directory.departed
                assert not [name for name, _ in incarnations if name == 'm2']
                assert 'm2' in fleet.state.directory.records

        asyncio.run(run())

    def test_target_that_leaves_at_a_lower_revision_gets_no_more_calls(self):
        """Guards against a leaving target that is taken for an older record."""

        async def run():
            async with run_fleet(m1=stream(), m2=stream()) as fleet:
                before = fleet.store.revision
                address = fleet.targets['m1'].address
                for sequence in range(6):
                    fleet.store.put_target('m1', address, seq=sequence)
                await wait_until_read(fleet)
                fleet.store.restore(before)
                fleet.store.put_target('m1', address, state='draining')
                await fleet.wait_for(
                    lambda: list_serving(fleet.state) == ['m2']
                )

        asyncio.run(run())

    def test_older_document_of_the_copy_is_not_taken(self):
        async def run():
            async with run_fleet(m1=stream()) as fleet:
                before = fleet.store.revision
                fleet.store.put('op/config', make_document(5))
                await fleet.wait_for(lambda: fleet.state.document.version == 5)
                fleet.store.restore(before)
                await asyncio.sleep(1)
                assert fleet.state.document.version == 5
                fleet.store.put('op/config', make_document(6))
                await fleet.wait_for(lambda: fleet.state.document.version == 6)

        asyncio.run(run())


class TestPeersOfARestoredStore:
    def test_instance_without_the_store_takes_targets_of_a_later_era(self):
        """Guards against revisions being compared over a restoration.

        The targets of a peer that reads the restored store have a lower
        revision than those of an instance that the store refuses.
        """

        async def run():
            async with run_fleet(m1=stream(), m2=stream()) as fleet:
                before = fleet.store.revision
                for number in range(6):
                    fleet.store.put(f'servers/x{number}', b'')
                await wait_until_read(fleet)
                async with run_other(fleet, 1) as other:
                    state = other._state
                    await fleet.wait_for(
                        lambda: list_serving(state) == ['m1', 'm2']
                    )
                    fleet.store.restore(before)
                    address = fleet.targets['m1'].address
                    fleet.store.put_target('m3', address, born=2000)
                    await fleet.wait_for(
                        lambda: 'm3' in fleet.state.directory.records
                    )
                    await fleet.wait_for(
                        lambda: 'm3' in state.directory.records
                    )

        asyncio.run(run())

    def test_instance_that_starts_learns_of_targets_that_left(self):
        """Guards against calls to a target that the copy lists as ready.

        An instance that starts knows only the copy, in which a target is still
        ready that has left since.
        """

        async def run():
            async with run_fleet(m1=stream(), m2=stream()) as fleet:
                before = fleet.store.revision
                address = fleet.targets['m1'].address
                fleet.store.put_target('m1', address, state='draining')
                await fleet.wait_for(
                    lambda: list_serving(fleet.state) == ['m2']
                )
                fleet.store.restore(before)
                async with run_other(fleet, fleet.store.port, ()) as other:
                    state = other._state
                    await fleet.wait_for(
                        lambda: list_serving(state) == ['m1', 'm2']
                    )
                    state.settings = evolve(state.settings, seeds=(HOST,))
                    await fleet.wait_for(lambda: list_serving(state) == ['m2'])

        asyncio.run(run())
