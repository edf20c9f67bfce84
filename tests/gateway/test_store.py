"""Tests of an instance that watches the platform's store."""

import asyncio
import json

from tests.gateway.documents import (
    HOST,
    OTHER_HOST,
    make_document,
    make_route,
    make_settings,
)
from tests.gateway.fleets import make_call, run_fleet
from tests.gateway.targets import never_answer, reply, stream
from trefoilhinge.gateway.daemon import make_gateway
from trefoilhinge.gateway.store_watcher import find_watch_interval_s

SLOW_TRANSFER_S = 2.0  # of a large document
LONG_OUTAGE_S = 2.0  # longer than documents can be missed by one watch


def list_serving(state, service='model'):
    """Return the names of the serving targets of a service."""
    return [one.name for one in state.directory.list_serving(service)]


class TestTargets:
    def test_lists_of_several_pages_are_read_completely(self):
        async def run():
            handlers = {f'm{number}': stream() for number in range(1, 8)}
            async with run_fleet(**handlers) as fleet:
                assert len(list_serving(fleet.state)) == 7

        asyncio.run(run())

    def test_draining_target_gets_no_more_calls(self):
        async def run():
            async with run_fleet(m1=stream(), m2=stream()) as fleet:
                target = fleet.targets['m1']
                fleet.store.put_target('m1', target.address, state='draining')
                await fleet.wait_for(
                    lambda: list_serving(fleet.state) == ['m2']
                )
                for _ in range(3):
                    assert (await fleet.call()).status == 200
                assert not target.requests

        asyncio.run(run())

    def test_undecodable_entry_is_ignored(self):
        async def run():
            async with run_fleet(m1=stream()) as fleet:
                fleet.store.put('servers/x1', b'\x00no json')
                fleet.store.put('servers/x2', {'service': 'model'})
                fleet.store.put_target('x3', 'nowhere')
                fleet.store.put_target('x4', '127.0.0.1:1', state='odd')
                fleet.store.put_target('x5', '127.0.0.1:1', slots='many')
                fleet.store.put('op/config', make_document(2))
                await fleet.wait_for(lambda: fleet.state.document.version == 2)
                assert list_serving(fleet.state) == ['m1']

        asyncio.run(run())

    def test_targets_are_listed_again_after_history_is_gone(self):
        async def run():
            async with run_fleet(m1=stream(), m2=stream()) as fleet:
                fleet.store.remove('servers/m1')
                fleet.store.events.clear()
                fleet.store.compact_revision = fleet.store.revision
                await fleet.wait_for(
                    lambda: 'm1' not in fleet.state.directory.records
                )

        asyncio.run(run())


class TestDocuments:
    def test_newer_document_is_in_force(self):
        async def run():
            async with run_fleet(d1=reply(200)) as fleet:
                document = make_document(5)
                document['routes'].append(
                    make_route('new', 'idempotent', 'desk', 100)
                )
                fleet.store.put('op/config', document)
                await fleet.wait_for(lambda: fleet.state.document.version == 5)
                assert (await fleet.call('/new/1', 'GET')).status == 200

        asyncio.run(run())

    def test_older_document_is_ignored(self):
        async def run():
            async with run_fleet(d1=reply(200)) as fleet:
                fleet.store.put('op/config', make_document(5))
                await fleet.wait_for(lambda: fleet.state.document.version == 5)
                fleet.store.put('op/config', make_document(4))
                fleet.store.put('servers/x', b'')
                await fleet.wait_for(
                    lambda: (
                        fleet.state.directory.revision >= fleet.store.revision
                    )
                )
                assert fleet.state.document.version == 5

        asyncio.run(run())

    def test_invalid_document_is_ignored(self):
        async def run():
            async with run_fleet(d1=reply(200)) as fleet:
                fleet.store.put('op/config', {'version': 9})
                fleet.store.put('op/config', b'{')
                await fleet.wait_for(
                    lambda: (
                        fleet.state.directory.revision >= fleet.store.revision
                    )
                )
                assert fleet.state.document.version == 1

        asyncio.run(run())

    def test_revoked_key_is_refused(self):
        async def run():
            async with run_fleet(d1=reply(200)) as fleet:
                document = make_document(2)
                document['tenants'][0]['apiKeys'] = ['key-2']
                fleet.store.put('op/config', document)
                await fleet.wait_for(lambda: fleet.state.document.version == 2)
                assert (await fleet.call('/look/1', 'GET')).status == 401

        asyncio.run(run())


class TestStoreOutage:
    def test_calls_are_served_without_the_store(self):
        async def run():
            async with run_fleet(m1=stream()) as fleet:
                fleet.store.is_down = True
                await fleet.wait_for(
                    lambda: (
                        fleet.state.directory.outages.unreachable_since_s
                        is not None
                    )
                )
                assert (await fleet.call()).status == 200
                fleet.store.is_down = False
                await fleet.wait_for(
                    lambda: (
                        fleet.state.directory.outages.unreachable_since_s
                        is None
                    )
                )

        asyncio.run(run())

    def test_only_the_newest_document_is_read_after_an_outage(self):
        """Guards against old documents being read one by one after an outage.

        In an incident an instance received every document written during the
        outage, oldest first, and enforced an older one meanwhile.
        """

        async def run():
            async with run_fleet(m1=stream(), m2=stream()) as fleet:
                fleet.store.is_down = True
                for version in range(2, 7):
                    fleet.store.put('op/config', make_document(version))
                address = fleet.targets['m1'].address
                fleet.store.put_target('m1', address, state='draining')
                await asyncio.sleep(LONG_OUTAGE_S)
                fleet.store.sent_keys.clear()
                fleet.store.is_down = False
                await fleet.wait_for(lambda: fleet.state.document.version == 6)
                await fleet.wait_for(
                    lambda: list_serving(fleet.state) == ['m2']
                )
                assert fleet.store.sent_keys.count('op/config') == 1
                fleet.store.put('op/config', make_document(7))
                await fleet.wait_for(lambda: fleet.state.document.version == 7)

        asyncio.run(run())


class TestPeers:
    def test_instance_cut_off_from_the_store_learns_from_a_peer(self):
        async def run():
            async with run_fleet(m1=stream(), d1=reply(200)) as fleet:
                other_settings = make_settings(
                    1, [HOST], OTHER_HOST, fleet.settings.first_port
                )
                other = make_gateway(other_settings)
                task = asyncio.ensure_future(other.run())
                state = other._state
                await fleet.wait_for(lambda: state.document is not None)
                await fleet.wait_for(lambda: list_serving(state) == ['m1'])
                fleet.store.put('op/config', make_document(7))
                await fleet.wait_for(lambda: state.document.version == 7)
                target = fleet.targets['m1']
                fleet.store.put_target('m1', target.address, state='draining')
                await fleet.wait_for(lambda: not list_serving(state))
                task.cancel()
                other.close()

        asyncio.run(run())

    def test_instances_count_calls_of_each_other(self):
        async def run():
            async with run_fleet(m1=never_answer) as fleet:
                other_settings = make_settings(
                    fleet.store.port,
                    [HOST],
                    OTHER_HOST,
                    fleet.settings.first_port,
                )
                other = make_gateway(other_settings)
                task = asyncio.ensure_future(other.run())
                loads = other._state.loads
                await fleet.wait_for(lambda: fleet.state.peers.peers)
                _, writer = await asyncio.open_connection(*fleet.settings.entry)
                writer.write(make_call())
                await fleet.wait_for(lambda: loads.get('m1').running == 1)
                writer.close()
                await fleet.wait_for(lambda: loads.get('m1').running == 0)
                task.cancel()
                other.close()

        asyncio.run(run())

    def test_instance_that_starts_during_an_outage_learns_targets_from_a_peer(
        self,
    ):
        """Guards against a restart without targets during a store outage.

        In an incident the store answered no instance, and one that restarted
        knew no targets.
        """

        async def run():
            async with run_fleet(m1=stream(), d1=reply(200)) as fleet:
                fleet.store.is_down = True
                await fleet.wait_for(
                    lambda: (
                        fleet.state.directory.outages.unreachable_since_s
                        is not None
                    )
                )
                other = make_gateway(
                    make_settings(
                        1,
                        [HOST],
                        OTHER_HOST,
                        fleet.settings.first_port,
                    )
                )
                task = asyncio.ensure_future(other.run())
                state = other._state
                await fleet.wait_for(lambda: state.is_ready, limit_s=1)
                assert list_serving(state) == ['m1']
                task.cancel()
                other.close()

        asyncio.run(run())

    def test_instance_without_targets_is_not_ready(self):
        async def run():
            async with run_fleet(has_document=False) as fleet:
                fleet.state.accept_document(
                    json.dumps(make_document()).encode(), 'a peer'
                )
                assert not fleet.state.is_ready

        asyncio.run(run())


class TestStart:
    def test_store_is_retried_soon_at_startup(self):
        """Guards against a long timeout at startup.

        In an incident an instance waited 1.5 s for a store that had already
        returned.
        """

        async def run():
            async with run_fleet(has_document=False) as fleet:
                fleet.store.put('op/config', make_document())
                loop = asyncio.get_running_loop()
                began_s = loop.time()
                await fleet.wait_for(lambda: fleet.state.is_ready)
                assert loop.time() - began_s < 0.5

        asyncio.run(run())

    def test_large_document_is_read_over_a_slow_link(self):
        """Guards against a read that restarts before it can end.

        The limit on the whole read was shorter than the transfer of a large
        document, so that an instance never became ready.
        """

        async def run():
            async with run_fleet(has_document=False) as fleet:
                document = make_document(2)
                document['routes'].extend(
                    make_route(f'r{number}', 'idempotent', 'desk', 100)
                    for number in range(2000)
                )
                fleet.store.put('op/config', document)
                size = len(fleet.store.items['op/config']['value'])
                fleet.store.bytes_per_s = size / SLOW_TRANSFER_S
                await fleet.wait_for(lambda: fleet.state.is_ready)

        asyncio.run(run())

    def test_retry_after_exceeds_the_store_outage(self):
        """Guards against retries while the outage still lasts.

        In an incident callers were told to retry after 0.5 s, too early.
        """

        async def run():
            async with run_fleet(has_document=False) as fleet:
                fleet.store.is_down = True
                await fleet.wait_for(
                    lambda: (
                        fleet.state.directory.outages.unreachable_since_s
                        is not None
                    )
                )
                retry_afters_s = set()
                for number in range(4):
                    answer = await fleet.call(
                        X_Deadline='10000', X_Request_Id=f'r-{number}'
                    )
                    assert answer.status == 503
                    retry_afters_s.add(float(answer.headers['retry-after']))
                assert min(retry_afters_s) >= 1.5
                assert len(retry_afters_s) == 4
                answer = await fleet.call('/book/1', X_Deadline='1500')
                assert float(answer.headers['retry-after']) <= 0.5

        asyncio.run(run())


class TestWatchInterval:
    def test_interval_of_a_small_fleet(self):
        assert find_watch_interval_s(2, 8) == 0.6

    def test_large_fleet_halves_the_store_calls(self):
        """Guards against the cost of store reads in a large fleet.

        On the enlarged sites the reads cost 0.017 of the calls' total value.
        """
        assert find_watch_interval_s(3, 61) == 1.2

    def test_changes_are_in_force_in_time(self):
        for apply_s in (0.5, 1, 2, 3):
            for instances in (1, 8, 61, 410):
                assert find_watch_interval_s(apply_s, instances) <= apply_s / 2
