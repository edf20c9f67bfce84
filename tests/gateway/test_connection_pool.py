"""Tests of the connections to targets that are kept for later calls."""

import asyncio
import contextlib
import functools

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
CLOSE_LIMIT_S = 4


def run_async(test):
    """Run a test that is a coroutine."""

    @functools.wraps(test)
    def run(*arguments, **named):
        asyncio.run(test(*arguments, **named))

    return run


class RecordingTarget:
    """Answers by handlers and records the connection of each request.

    :ivar handle_reuse: answers on a connection that carried a call before.
    """

    def __init__(self, handle, handle_reuse=None):
        self.connections = []
        self.headers = []
        self._handle = handle
        self._handle_reuse = handle_reuse or handle

    async def handle(self, exchange):
        is_reused = exchange.writer in self.connections
        self.connections.append(exchange.writer)
        self.headers.append(exchange.headers)
        await (self._handle_reuse if is_reused else self._handle)(exchange)

    @property
    def opened(self):
        return len(set(map(id, self.connections)))


@contextlib.asynccontextmanager
async def run_distant(*handlers, service='d', targets=1):
    """Run a fleet whose domains are distant, with recording targets."""
    target = RecordingTarget(*handlers)
    named = {f'{service}{number}': target.handle for number in range(targets)}
    async with run_fleet(make_distant_document(), **named) as fleet:
        yield fleet, target


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
    headers = [SEAL_HEADER, ('Keep-Alive', f'timeout={seconds}')]
    return reply(200, b'yes', headers)


SERVED = {'/look/1': reply(200, b'yes'), '/stream/1': stream()}
SERVICES = {'/look/1': 'd', '/book/1': 'd', '/stream/1': 'm'}
SEALED = b'HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\n'
IDENTIFIED = b'X-Request-Id: %s\r\n'
BODY = b'Content-Length: 3\r\n\r\nyes'
UNFIT_ANSWERS = {
    'no length': SEALED + IDENTIFIED + b'\r\nyes',
    'no identifier': SEALED + BODY,
    'close': SEALED + IDENTIFIED + b'Connection: close\r\n' + BODY,
    'interim': b'HTTP/1.1 100 Continue\r\n\r\n' + SEALED + IDENTIFIED + BODY,
    'failure': b'HTTP/1.1 500 Odd\r\n' + IDENTIFIED + BODY,
}


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
    @run_async
    async def test_calls_that_may_run_again_share_a_connection(
        self, path, handle, opened
    ):
        async with run_distant(handle, service=SERVICES[path]) as (
            fleet,
            target,
        ):
            answers = await make_calls(fleet, path, 5)
            assert all(answer.is_complete for answer in answers)
            assert target.opened == opened
            assert count(fleet, 'connections_opened') == opened
            assert count(fleet, 'connections_reused') == 5 - opened
        for headers in target.headers:
            is_closed = headers.get('connection') == 'close'
            assert is_closed == (path == '/book/1')

    @pytest.mark.parametrize('path', ['/look/1', '/book/1'])
    @run_async
    async def test_near_domains_keep_no_connection(self, path):
        """Guards the deployments that the switch leaves as they were."""
        target = RecordingTarget(reply(200, b'yes'))
        async with run_fleet(make_document(), d1=target.handle) as fleet:
            await make_calls(fleet, path, 3)
            assert not count(fleet, 'connections_opened')
            assert 'connections_idle' not in fleet.state.metrics.gauges
        assert target.opened == 3
        assert all(one['connection'] == 'close' for one in target.headers)

    @run_async
    async def test_calls_with_one_identifier_do_not_share_a_connection(self):
        """Guards against a late answer to the first call."""
        async with run_distant(reply(200, b'yes')) as (fleet, target):
            for _ in range(3):
                await fleet.call('/look/1')
            assert target.opened == 3

    @pytest.mark.parametrize('name', UNFIT_ANSWERS)
    @run_async
    async def test_unfit_connection_is_not_reused(self, name):
        async def write(exchange):
            request_id = exchange.headers['x-request-id'].encode()
            exchange.writer.write(
                UNFIT_ANSWERS[name].replace(b'%s', request_id)
            )
            await exchange.writer.drain()
            if name == 'no length':
                exchange.writer.close()
            await asyncio.sleep(1)

        async with run_distant(write) as (fleet, _):
            for answer in await make_calls(fleet, '/look/1', 3):
                assert answer.content == b'yes'
            assert not count(fleet, 'connections_reused')


def close(transport):
    transport.close()


class TestStaleConnections:
    """Guards against a call that is lost because its connection had ended.

    Nor do calls to a target that ends all its connections use up the retries
    of others.
    """

    @pytest.mark.parametrize('end', [reset_tcp_connection, close])
    @pytest.mark.parametrize('path', SERVED)
    @run_async
    async def test_end_costs_no_call_its_service(self, path, end):
        async def handle_reuse(exchange):
            end(exchange.writer.transport)

        async with run_distant(
            SERVED[path], handle_reuse, service=SERVICES[path]
        ) as (fleet, _):
            for answer in await make_calls(fleet, path, 6):
                assert (answer.status, answer.is_complete) == (200, True)
            assert count(fleet, 'connections_stale') == 1
            assert count(fleet, 'connections_reused') == 1
            service = 'model' if path == '/stream/1' else 'desk'
            budget = fleet.state.find_retry_budget(service)
            assert budget.count_attempts(fleet.state.get_now_s()) == (6, 1)
            assert not count(fleet, 'targets_avoided')
            assert not count(fleet, 'targets_crashed')

    @run_async
    async def test_request_without_acknowledgement_is_sent_again(self):
        """Guards against a machine that is gone, which nothing resets."""

        async def time_out(exchange):
            pooled = senders[-1]
            pooled.connection._reader.set_exception(TimeoutError('timed out'))
            await never_answer(exchange)

        senders = []
        async with run_distant(SERVED['/look/1'], time_out, targets=2) as (
            fleet,
            _,
        ):
            pool = fleet.gateway._service.connections
            take = type(pool).take

            def record_take(*arguments):
                senders.append(take(*arguments))
                return senders[-1]

            with pytest.MonkeyPatch.context() as patch:
                patch.setattr(type(pool), 'take', record_take)
                for answer in await make_calls(fleet, '/look/1', 4):
                    assert answer.content == b'yes'
            assert count(fleet, 'connections_stale') >= 1

    @run_async
    async def test_without_retry_budget_none_is_reused(self):
        async with run_distant(reply(200, b'yes')) as (fleet, target):
            budget = fleet.state.find_retry_budget('desk')
            budget.ratio = budget.slack = 0
            await make_calls(fleet, '/look/1', 3)
            assert target.opened == 3

    @run_async
    async def test_closed_connection_is_not_used(self):
        async def handle(exchange):
            await reply(200, b'yes')(exchange)
            exchange.writer.close()

        async with run_distant(handle) as (fleet, target):
            await make_calls(fleet, '/look/1', 4)
            assert not count(fleet, 'connections_stale')
            assert target.opened == 4

    @run_async
    async def test_silent_connection_is_noticed(self):
        """Guards against a target that forgot a connection and says nothing."""
        async with run_distant(SERVED['/look/1'], never_answer, targets=2) as (
            fleet,
            _,
        ):
            for answer in await make_calls(fleet, '/look/1', 4):
                assert answer.content == b'yes'
            assert count(fleet, 'connections_reused')

    @run_async
    async def test_reuse_counts_as_reached_once_it_is_answered(self):
        async def handle(exchange):
            ages_s.append(get_age_s())
            await asyncio.sleep(0.05)
            await reply(200, b'yes')(exchange)

        def get_age_s():
            state = fleet.state
            return state.reach.compute_reached_age_s('desk', state.get_now_s())

        ages_s = []
        async with run_distant(handle) as (fleet, _):
            await make_calls(fleet, '/look/1', 1)
            await asyncio.sleep(0.2)
            await make_calls(fleet, '/look/1', 1, begin=1)
            assert count(fleet, 'connections_reused') == 1
            assert ages_s[1] > 0.2 > get_age_s()


class TestCancelledCalls:
    @run_async
    async def test_target_drops_the_call_of_a_caller_that_left(self):
        """Guards against a run that goes on, and its answer to the next call."""

        async def handle(exchange):
            if exchange.headers['x-request-id'] != 'r-gone':
                await stream()(exchange)
                return
            await exchange.send_headers(200, [SEAL_HEADER])
            await exchange.send_body(make_event(1))
            await exchange.reader.read(1)
            gone.set()

        gone = asyncio.Event()
        async with run_distant(handle, service='m') as (fleet, _):
            await make_calls(fleet, '/stream/1', 2)
            _, writer = await asyncio.open_connection(*fleet.settings.entry)
            writer.write(make_call(X_Request_Id='r-gone'))
            await fleet.wait_for(
                lambda: count(fleet, 'connections_reused') == 2
            )
            await asyncio.sleep(0.1)
            writer.transport.abort()
            await asyncio.wait_for(gone.wait(), GONE_LIMIT_S)
            answers = await make_calls(fleet, '/stream/1', 1, begin=2)
            assert answers[0].content.count(b'id:') == 5
            assert count(fleet, 'connections_opened') == 2


def leave(fleet):
    address = fleet.targets['d0'].address
    fleet.store.put_target('d0', address, 'desk', is_leaving=True)


def restart(fleet):
    address = fleet.targets['d0'].address
    fleet.store.put_target('d0', address, 'desk', born=2000)


def remove(fleet):
    fleet.store.remove(f'{TARGET_PREFIX}d0')


def wait(fleet):
    """Let the idle time pass."""


def stop(fleet):
    fleet.gateway._begin_stop()


class TestIdleConnections:
    @pytest.mark.parametrize(
        ('change', 'reason'),
        [
            (leave, 'departed'),
            (restart, 'departed'),
            (remove, 'departed'),
            (wait, 'expired'),
            (stop, 'stopping'),
        ],
    )
    @run_async
    async def test_unusable_connections_are_closed(self, change, reason):
        async with run_distant(allow(seconds=3)) as (fleet, _):
            await make_calls(fleet, '/look/1', 2)
            assert fleet.gateway._service.connections._kept
            change(fleet)
            await fleet.wait_for(
                lambda: count(fleet, 'connections_closed', reason=reason),
                CLOSE_LIMIT_S,
            )
            assert not fleet.gateway._service.connections._kept

    @run_async
    async def test_descriptors_bound_what_is_kept(self):
        async with run_distant(reply(200, b'yes')) as (fleet, _):
            settings = fleet.state.settings
            fleet.state.settings = evolve(settings, descriptors=200)
            await make_calls(fleet, '/look/1', 2)
            assert count(fleet, 'connections_closed', reason='full') == 2
