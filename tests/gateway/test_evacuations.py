"""Tests of instances while the operator evacuates failure domains."""

import asyncio
import contextlib

from tests.gateway.documents import HOST, OTHER_HOST, make_settings
from tests.gateway.fleets import run_fleet
from tests.gateway.partitions import start_gateway
from tests.gateway.targets import stream
from trefoilhinge.gateway.daemon import make_gateway

EVACUATE_S = 5
NO_STORE = 1  # port at which nothing listens


def list_serving(state):
    """Return the names of the serving targets."""
    return [one.name for one in state.directory.list_serving('model')]


@contextlib.asynccontextmanager
async def run_other(fleet, store_port, seeds=(HOST,)):
    """Run another instance of a fleet."""
    settings = make_settings(
        store_port,
        seeds,
        OTHER_HOST,
        fleet.settings.first_port,
        evacuate_s=EVACUATE_S,
    )
    other = make_gateway(settings)
    task = start_gateway(other)
    try:
        yield other._state
    finally:
        task.cancel()
        other.close()
        await asyncio.gather(task, return_exceptions=True)


@contextlib.asynccontextmanager
async def run_domains():
    """Run an instance with target ``m1`` of domain a and ``m2`` of b."""
    async with run_fleet(
        m1=stream(), m2=stream(), bounds={'evacuate_s': EVACUATE_S}
    ) as fleet:
        address = fleet.targets['m2'].address
        fleet.store.put_target('m2', address, zone='b')
        await fleet.wait_for(
            lambda: fleet.state.directory.records['m2'].failure_domain == 'b'
        )
        yield fleet


class TestEvacuatedDomain:
    def test_calls_go_to_other_domains_until_the_mark_is_removed(self):
        """Guards against calls to an evacuated domain."""

        async def run():
            async with run_domains() as fleet:
                fleet.store.put('op/evacuate/a', b'{}')
                await fleet.wait_for(
                    lambda: list_serving(fleet.state) == ['m2']
                )
                for _ in range(3):
                    assert (await fleet.call()).status == 200
                assert not fleet.targets['m1'].requests
                fleet.store.remove('op/evacuate/a')
                await fleet.wait_for(
                    lambda: list_serving(fleet.state) == ['m1', 'm2']
                )

        asyncio.run(run())

    def test_call_is_refused_at_once_if_all_domains_are_evacuated(self):
        async def run():
            async with run_domains() as fleet:
                for domain in 'ab':
                    fleet.store.put(f'op/evacuate/{domain}', b'{}')
                await fleet.wait_for(lambda: not list_serving(fleet.state))
                began_s = asyncio.get_running_loop().time()
                answer = await fleet.call()
                took_s = asyncio.get_running_loop().time() - began_s
                assert answer.status == 503
                assert b'domains_evacuated' in answer.content
                assert b'not_run' in answer.content
                assert took_s < 0.3
                assert not fleet.targets['m1'].requests

        asyncio.run(run())

    def test_mark_set_before_the_start_is_read_without_more_reads(self):
        """Guards against an instance that serves before it knows the mark."""

        async def run():
            async with run_domains() as fleet:
                fleet.store.put('op/evacuate/a', b'{}')
                before = len(fleet.store.requested_paths)
                async with run_other(fleet, fleet.store.port, ()) as state:
                    await fleet.wait_for(lambda: state.is_ready)
                    assert list_serving(state) == ['m2']
                    paths = fleet.store.requested_paths[before:]
                    lists = [one for one in paths if 'watch' not in one]
                    assert len(lists) == 2

        asyncio.run(run())


class TestOutages:
    def test_instance_without_the_store_learns_marks_from_peers(self):
        """Guards against an instance that starts while the store is away."""

        async def run():
            async with run_domains() as fleet:
                fleet.store.put('op/evacuate/a', b'{}')
                await fleet.wait_for(
                    lambda: list_serving(fleet.state) == ['m2']
                )
                async with run_other(fleet, NO_STORE) as state:
                    await fleet.wait_for(lambda: state.is_ready)
                    assert list_serving(state) == ['m2']
                    fleet.store.put('op/evacuate/b', b'{}')
                    await fleet.wait_for(lambda: not list_serving(state))
                    fleet.store.remove('op/evacuate/a')
                    await fleet.wait_for(lambda: list_serving(state) == ['m1'])

        asyncio.run(run())

    def test_mark_removed_while_the_store_was_away_is_removed(self):
        """Guards against a domain that stays unused after an outage."""

        async def run():
            async with run_domains() as fleet:
                fleet.store.put('op/evacuate/a', b'{}')
                await fleet.wait_for(
                    lambda: list_serving(fleet.state) == ['m2']
                )
                fleet.store.is_down = True
                await asyncio.sleep(1.5)
                assert list_serving(fleet.state) == ['m2']
                fleet.store.remove('op/evacuate/a')
                fleet.store.put('op/evacuate/b', b'{}')
                fleet.store.compact_revision = fleet.store.revision
                fleet.store.is_down = False
                await fleet.wait_for(
                    lambda: list_serving(fleet.state) == ['m1']
                )

        asyncio.run(run())

    def test_mark_lost_in_a_restoration_is_removed(self):
        async def run():
            async with run_domains() as fleet:
                before = fleet.store.revision
                fleet.store.put('op/evacuate/a', b'{}')
                await fleet.wait_for(
                    lambda: list_serving(fleet.state) == ['m2']
                )
                fleet.store.restore(before)
                await fleet.wait_for(
                    lambda: list_serving(fleet.state) == ['m1', 'm2']
                )

        asyncio.run(run())
