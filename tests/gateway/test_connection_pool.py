"""Tests of the connections to targets that are kept for later calls."""

import asyncio

import pytest
from attrs import evolve

from tests.gateway.documents import make_document
from tests.gateway.fleets import make_call, run_fleet
from tests.gateway.targets import (
    SEAL_HEADER,
    make_event,
    never_answer,
    reply,
    stream,
)
from tests.gateway.test_replayed_refusals import make_distant_document
from trefoilhinge.gateway.tcp import reset_tcp_connection
from trefoilhinge.platform.store import TARGET_PREFIX

GONE_LIMIT_S = 0.5


class RecordingTarget:
    """Answers by a handler and records the connection of each request."""

    def __init__(self, handle):
        self.connections = []
        self.headers = []
        self._handle = handle

    async def handle(self, exchange):
        self.connections.append(exchange.writer)
        self.headers.append(exchange.headers)
        await self._handle(exchange)

    @property
    def opened(self):
        return len(set(map(id, self.connections)))


async def make_calls(fleet, path, count, begin=0):
    """Make calls one after the other, each with its own identifier."""
    answers = []
    for number in range(begin, begin + count):
        answers.append(await fleet.call(path, X_Request_Id=f'r-{number}'))
        await asyncio.sleep(0.01)
    return answers


def count(fleet, name, **labels):
    metrics = fleet.state.metrics
    return metrics.counts[name, tuple(sorted(labels.items()))]


def allow(*, seconds):
    """Return a handler that names its idle timeout."""
    return reply(
        200, b'yes', [SEAL_HEADER, ('Keep-Alive', f'timeout={seconds}')]
    )


class TestReuse:
    @pytest.mark.parametrize(
        ('path', 'handle', 'opened'),
        [
            ('/look/1', reply(200, b'yes'), 1),
            ('/look/1', reply(404, b'no'), 1),
            ('/stream/1', stream(), 1),
            ('/book/1', reply(200, b'yes'), 5),
            ('/look/1', allow(seconds=5), 1),
            ('/look/1', allow(seconds=1), 5),
        ],
    )
    def test_calls_that_may_run_again_share_a_connection(
        self, path, handle, opened
    ):
        async def run():
            target = RecordingTarget(handle)
            name = 'm1' if path == '/stream/1' else 'd1'
            async with run_fleet(
                make_distant_document(), **{name: target.handle}
            ) as fleet:
                answers = await make_calls(fleet, path, 5)
                assert all(answer.is_complete for answer in answers)
                assert target.opened == opened
                assert count(fleet, 'connections_opened') == opened
                assert count(fleet, 'connections_reused') == 5 - opened
            is_closed = path == '/book/1'
            assert all(
                (headers.get('connection') == 'close') == is_closed
                for headers in target.headers
            )

        asyncio.run(run())

    @pytest.mark.parametrize('path', ['/look/1', '/book/1'])
    def test_near_domains_keep_no_connection(self, path):
        """Guards the deployments that the switch leaves as they were."""

        async def run():
            target = RecordingTarget(reply(200, b'yes'))
            async with run_fleet(make_document(), d1=target.handle) as fleet:
                await make_calls(fleet, path, 3)
                assert not count(fleet, 'connections_opened')
                assert 'connections_idle' not in fleet.state.metrics.gauges
            assert target.opened == 3
            assert [one['connection'] for one in target.headers] == [
                'close'
            ] * 3

        asyncio.run(run())

    def test_calls_with_one_identifier_do_not_share_a_connection(self):
        """Guards against a late answer to the first call."""

        async def run():
            target = RecordingTarget(reply(200, b'yes'))
            async with run_fleet(
                make_distant_document(), d1=target.handle
            ) as fleet:
                for _ in range(3):
                    await fleet.call('/look/1')
            assert target.opened == 3

        asyncio.run(run())

    @pytest.mark.parametrize(
        'answer',
        [
            b'HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\n\r\nyes',
            b'HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nContent-Length: 3\r\n'
            b'\r\nyes',
            b'HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nContent-Length: 3\r\n'
            b'X-Request-Id: %s\r\nConnection: close\r\n\r\nyes',
            b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n'
            b'X-Server-Seal: s\r\nContent-Length: 3\r\n'
            b'X-Request-Id: %s\r\n\r\nyes',
            b'HTTP/1.1 500 Odd\r\nContent-Length: 3\r\n'
            b'X-Request-Id: %s\r\n\r\nyes',
        ],
    )
    def test_unfit_connection_is_not_reused(self, answer):
        async def write(exchange):
            request_id = exchange.headers['x-request-id'].encode()
            exchange.writer.write(answer.replace(b'%s', request_id))
            await exchange.writer.drain()
            if b'Content-Length' not in answer:
                exchange.writer.close()
            await asyncio.sleep(1)

        async def run():
            target = RecordingTarget(write)
            async with run_fleet(
                make_distant_document(), d1=target.handle
            ) as fleet:
                for one in await make_calls(fleet, '/look/1', 3):
                    assert one.content == b'yes'
                assert not count(fleet, 'connections_reused')

        asyncio.run(run())


class TestStaleConnections:
    """Guards against a call that is lost because its connection had ended.

    Nor do calls to a target that ends all its connections use up the retries
    of others.
    """

    @pytest.mark.parametrize('path', ['/look/1', '/stream/1'])
    def test_reset_costs_no_call_its_service(self, path):
        served = reply(200, b'yes') if path == '/look/1' else stream()

        async def handle(exchange):
            if target.connections.count(exchange.writer) > 1:
                reset_tcp_connection(exchange.writer.transport)
                return
            await served(exchange)

        async def run():
            name = 'm1' if path == '/stream/1' else 'd1'
            async with run_fleet(
                make_distant_document(), **{name: target.handle}
            ) as fleet:
                for answer in await make_calls(fleet, path, 6):
                    assert (answer.status, answer.is_complete) == (200, True)
                assert count(fleet, 'connections_stale') == 1
                assert count(fleet, 'connections_reused') == 1
                service = 'model' if path == '/stream/1' else 'desk'
                budget = fleet.state.find_retry_budget(service)
                now_s = fleet.state.get_now_s()
                assert budget.count_attempts(now_s) == (6, 1)
                assert not count(fleet, 'targets_avoided')
                assert not count(fleet, 'targets_crashed')

        target = RecordingTarget(handle)
        asyncio.run(run())

    def test_without_retry_budget_none_is_reused(self):
        async def run():
            target = RecordingTarget(reply(200, b'yes'))
            async with run_fleet(
                make_distant_document(), d1=target.handle
            ) as fleet:
                budget = fleet.state.find_retry_budget('desk')
                budget.ratio = budget.slack = 0
                await make_calls(fleet, '/look/1', 3)
            assert target.opened == 3

        asyncio.run(run())

    def test_closed_connection_is_not_used(self):
        async def handle(exchange):
            await reply(200, b'yes')(exchange)
            exchange.writer.close()

        async def run():
            target = RecordingTarget(handle)
            async with run_fleet(
                make_distant_document(), d1=target.handle
            ) as fleet:
                await make_calls(fleet, '/look/1', 4)
                assert not count(fleet, 'connections_stale')
                assert target.opened == 4

        asyncio.run(run())

    def test_silent_connection_is_noticed(self):
        """Guards against a target that forgot a connection and says nothing."""

        async def handle(exchange):
            if target.connections.count(exchange.writer) > 1:
                await never_answer(exchange)
            await reply(200, b'yes')(exchange)

        async def run():
            async with run_fleet(
                make_distant_document(), d1=target.handle, d2=target.handle
            ) as fleet:
                for answer in await make_calls(fleet, '/look/1', 4):
                    assert answer.content == b'yes'

        target = RecordingTarget(handle)
        asyncio.run(run())

    def test_reuse_counts_as_reached_once_it_is_answered(self):
        reached = []

        async def handle(exchange):
            reached.append(
                fleets[0].state.reach.compute_reached_age_s('desk', now())
            )
            await asyncio.sleep(0.05)
            await reply(200, b'yes')(exchange)

        def now():
            return asyncio.get_running_loop().time()

        fleets = []

        async def run():
            async with run_fleet(make_distant_document(), d1=handle) as fleet:
                fleets.append(fleet)
                await make_calls(fleet, '/look/1', 1)
                await asyncio.sleep(0.2)
                await make_calls(fleet, '/look/1', 1, begin=1)
                assert count(fleet, 'connections_reused') == 1
                assert reached[1] > 0.2
                assert (
                    fleet.state.reach.compute_reached_age_s('desk', now()) < 0.1
                )

        asyncio.run(run())


class TestCancelledCalls:
    def test_target_drops_the_call_of_a_caller_that_left(self):
        """Guards against a run that goes on, and its answer to the next call."""
        gone = asyncio.Event()

        async def handle(exchange):
            if exchange.headers['x-request-id'] != 'r-gone':
                await stream()(exchange)
                return
            await exchange.send_headers(200, [SEAL_HEADER])
            await exchange.send_body(make_event(1))
            await exchange.reader.read(1)
            gone.set()

        async def run():
            async with run_fleet(make_distant_document(), m1=handle) as fleet:
                await make_calls(fleet, '/stream/1', 2)
                _, writer = await asyncio.open_connection(*fleet.settings.entry)
                writer.write(make_call(X_Request_Id='r-gone'))
                await asyncio.sleep(0.1)
                assert count(fleet, 'connections_reused') == 2
                writer.transport.abort()
                await asyncio.wait_for(gone.wait(), GONE_LIMIT_S)
                answers = await make_calls(fleet, '/stream/1', 1, begin=2)
                assert answers[0].content.count(b'id:') == 5
                assert count(fleet, 'connections_opened') == 2

        asyncio.run(run())


class TestIdleConnections:
    async def _wait_until_closed(self, fleet, reason):
        await fleet.wait_for(
            lambda: count(fleet, 'connections_closed', reason=reason), 4
        )
        assert not fleet.gateway._service.connections._kept

    @pytest.mark.parametrize('change', ['leaves', 'removed', 'restarted'])
    def test_connections_of_a_departed_target_are_closed(self, change):
        async def run():
            async with run_fleet(
                make_distant_document(), d1=reply(200, b'yes')
            ) as fleet:
                await make_calls(fleet, '/look/1', 2)
                target = fleet.targets['d1']
                if change == 'removed':
                    fleet.store.remove(f'{TARGET_PREFIX}d1')
                else:
                    fields = (
                        {'is_leaving': True}
                        if change == 'leaves'
                        else {'born': 2000}
                    )
                    fleet.store.put_target(
                        'd1', target.address, 'desk', **fields
                    )
                await self._wait_until_closed(fleet, 'departed')

        asyncio.run(run())

    def test_connection_is_closed_before_its_target_does(self):
        async def run():
            async with run_fleet(
                make_distant_document(), d1=allow(seconds=2)
            ) as fleet:
                await make_calls(fleet, '/look/1', 2)
                await self._wait_until_closed(fleet, 'expired')

        asyncio.run(run())

    def test_planned_stop_closes_all(self):
        async def run():
            async with run_fleet(
                make_distant_document(), d1=reply(200, b'yes')
            ) as fleet:
                await make_calls(fleet, '/look/1', 2)
                fleet.gateway._begin_stop()
                await self._wait_until_closed(fleet, 'stopping')

        asyncio.run(run())

    def test_descriptors_bound_what_is_kept(self):
        async def run():
            async with run_fleet(
                make_distant_document(), d1=reply(200, b'yes')
            ) as fleet:
                fleet.state.settings = evolve(
                    fleet.state.settings, descriptors=200
                )
                await make_calls(fleet, '/look/1', 2)
                assert count(fleet, 'connections_closed', reason='full') == 2

        asyncio.run(run())
