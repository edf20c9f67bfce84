"""Tests of entries that name the address of a living target."""

import asyncio

import pytest

from tests.gateway.fleets import run_fleet
from tests.gateway.targets import reply

CALLS = 6


def check_name(name):
    """Return a handler that refuses calls for targets of other names."""

    async def handle(exchange):
        is_own = exchange.headers['x-expect-replica'] == name
        await reply(200 if is_own else 421)(exchange)

    return handle


class TestSharedAddresses:
    @pytest.mark.parametrize('service', ['desk', 'model'])
    def test_foreign_entry_hides_no_target(self, service):
        """Guards against calls that a foreign entry keeps from their target.

        The entry has a later start and belongs to the same service or another.
        """

        async def run():
            async with run_fleet(d1=check_name('d1')) as fleet:
                target = fleet.targets['d1']
                fleet.store.put_target('x1', target.address, service, born=5000)
                await fleet.wait_for(
                    lambda: 'x1' in fleet.state.directory.records
                )
                for _ in range(CALLS):
                    await fleet.call('/stream/1')
                    assert (await fleet.call('/book/1')).status == 200
                names = [
                    one.headers['x-expect-replica'] for one in target.requests
                ]
                assert names.count('d1') == CALLS
                # Each kind of call meets the foreign entry at most once.
                assert names.count('x1') <= 2

        asyncio.run(run())
