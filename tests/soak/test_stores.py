"""Tests of the stand-in of the store."""

import asyncio
import json

import pytest

from tests.gateway.documents import HOST
from tests.gateway.stores import StoreStandIn
from trefoilhinge.gateway.http_client import fetch
from trefoilhinge.platform.store import make_watch_path

WAIT_S = 0.1


class TestWatch:
    @pytest.mark.parametrize('delay_s', [0.09, 0.095, 0.1, 0.105, 0.11])
    def test_change_at_the_end_of_a_wait_is_not_lost(self, delay_s):
        """Guards against a revision that includes a change which is not sent."""

        async def run():
            store = StoreStandIn()
            await store.start()
            before = store.revision
            path = make_watch_path('', before, WAIT_S)
            watch = asyncio.ensure_future(fetch((HOST, store.port), path, 2))
            await asyncio.sleep(delay_s)
            store.put('other', b'x')
            page = json.loads((await watch).content)
            store.stop()
            assert page['currentRev'] == before + len(page['events'])

        asyncio.run(run())
