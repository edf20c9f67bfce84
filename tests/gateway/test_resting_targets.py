"""Tests of targets that ask an instance for rest, or say that they leave."""

import asyncio
import time

import pytest

from tests.gateway.fleets import make_call, read_answer, run_fleet, run_peers
from tests.gateway.targets import SEAL_HEADER, make_event, reply, stream
from trefoilhinge.platform.standins.formats import NOT_RUN_HEADER

REST_S = 2.0
REACTION_S = 0.5  # after which requests count
MAXIMUM_REQUESTS = 2  # in the rest of the time
INTERVAL_S = 0.05


def ask_for_rest(arrivals_s, rest_s=REST_S, headers=(NOT_RUN_HEADER,)):
    """Return a handler that turns requests away and asks for rest.

    :param arrivals_s: receives the time of each arrival.
    """

    async def handle(exchange):
        arrivals_s.append(time.monotonic())
        retry_after = ('Retry-After', f'{rest_s:g}')
        await exchange.respond(503, b'', [*headers, retry_after])

    return handle


async def call_steadily(fleet, path, duration_s):
    """Make calls one after another; return their answers."""
    answers = []
    end_s = time.monotonic() + duration_s
    while time.monotonic() < end_s:
        number = len(answers)
        answers.append(await fleet.call(path, X_Request_Id=f'r-{number}'))
        await asyncio.sleep(INTERVAL_S)
    return answers


def count_in_rest(arrivals_s, rest_s=REST_S):
    """Return the most arrivals in a rest that an earlier one asked for."""
    return max(
        (
            sum(
                begin_s + REACTION_S < at_s < begin_s + rest_s
                for at_s in arrivals_s
            )
            for begin_s in arrivals_s
        ),
        default=0,
    )


class TestRests:
    @pytest.mark.parametrize('path', ['/look/1', '/book/1', '/stream/1'])
    def test_target_gets_nothing_while_it_rests(self, path):
        """Guards against a rest that is forgotten with the call that got it."""
        arrivals_s = []

        async def run():
            prefix = 'm' if path.startswith('/stream') else 'd'
            sound = stream() if prefix == 'm' else reply(200, b'done')
            async with run_fleet(
                **{
                    f'{prefix}1': ask_for_rest(arrivals_s),
                    f'{prefix}2': sound,
                    f'{prefix}3': sound,
                }
            ) as fleet:
                answers = await call_steadily(fleet, path, 2 * REST_S)
                assert {one.status for one in answers} == {200}

        asyncio.run(run())
        assert arrivals_s
        assert count_in_rest(arrivals_s) <= MAXIMUM_REQUESTS

    def test_rest_ends_with_the_incarnation(self):
        async def run():
            arrivals_s = []
            async with run_fleet(d1=ask_for_rest(arrivals_s, 60)) as fleet:
                target = fleet.targets['d1']
                assert (await fleet.call('/look/1')).status == 503
                assert (await fleet.call('/look/1')).status == 503
                assert len(arrivals_s) == 1
                target.handle = reply(200, b'done')
                fleet.store.put_target('d1', target.address, 'desk', born=2000)
                await fleet.wait_for(
                    lambda: (
                        fleet.state.directory.records['d1'].started_ms == 2000
                    )
                )
                assert (await fleet.call('/look/1')).status == 200

        asyncio.run(run())


class TestServicesThatRest:
    def test_call_is_refused_at_once_with_the_shortest_wait(self):
        async def run():
            handlers = {
                'd1': ask_for_rest([], 20),
                'd2': ask_for_rest([], 5),
                'd3': ask_for_rest([], 60),
            }
            async with run_fleet(**handlers) as fleet:
                for _ in range(4):
                    begin_s = time.monotonic()
                    answer = await fleet.call('/look/1')
                    assert answer.status == 503
                    assert time.monotonic() - begin_s < 0.5
                assert b'"targets_resting"' in answer.content
                assert 4 < float(answer.headers['retry-after']) < 5.2

        asyncio.run(run())

    def test_calls_return_in_order_and_not_all_at_once(self):
        """Guards against all waiting calls at the end of a rest."""
        arrivals_s = []

        async def rest_once(exchange):
            arrivals_s.append(time.monotonic())
            if len(arrivals_s) == 1:
                headers = [NOT_RUN_HEADER, ('Retry-After', '0.6')]
                await exchange.respond(503, b'', headers)
            else:
                await reply(200, b'done')(exchange)

        async def run():
            async with run_fleet(d1=rest_once) as fleet:
                first = asyncio.ensure_future(fleet.call('/look/1'))
                await fleet.wait_for(lambda: arrivals_s)
                calls = [
                    fleet.call('/look/1', X_Request_Id=f'r-{number}')
                    for number in range(8)
                ]
                answers = await asyncio.gather(first, *calls)
                assert {answer.status for answer in answers} == {200}

        asyncio.run(run())
        returns_s = sorted(at_s - arrivals_s[0] for at_s in arrivals_s[1:])
        assert returns_s[0] >= 0.6
        assert returns_s[-1] - returns_s[0] > 0.1


class TestOrders:
    def test_order_may_ask_for_rest(self):
        """Guards against a rest that is noticed in answers to calls only."""

        async def refuse(exchange):
            headers = [NOT_RUN_HEADER, ('Retry-After', '30')]
            await exchange.respond(503, b'', headers)

        async def run():
            async with run_fleet(m1=stream(), m2=stream()) as fleet:
                for target in fleet.targets.values():
                    target.handle_order = refuse
                # Longer than the memory of one target.
                answer = await fleet.call(X_Token_Count='300000,1300')
                assert answer.status == 503
                orders = sum(len(one.orders) for one in fleet.targets.values())
                assert orders <= 2
                assert not fleet.state.rests.is_empty

        asyncio.run(run())


LEAVING_HEADER = ('Server-Leaving', '1')


class TestLeaving:
    @pytest.mark.parametrize(
        'handler',
        [
            reply(200, b'done', [SEAL_HEADER, LEAVING_HEADER]),
            reply(503, b'', [NOT_RUN_HEADER, LEAVING_HEADER]),
            reply(421, b'', [LEAVING_HEADER]),
        ],
        ids=('answer', 'rejection', 'misdirected'),
    )
    def test_target_that_says_it_leaves_gets_no_more_calls(self, handler):
        """Guards against calls at a target that the store still lists."""

        async def run():
            handlers = {'d1': handler, 'd2': reply(200, b'done')}
            async with (
                run_fleet(**handlers) as fleet,
                run_peers(fleet, 1) as peers,
            ):
                answers = await call_steadily(fleet, '/look/1', 1)
                answers.extend(await call_steadily(peers[0], '/look/1', 0.5))
                assert {one.status for one in answers} == {200}
                target = fleet.targets['d1']
                assert len(target.requests) == 1
                # The store's word is older, a new incarnation is newer.
                fleet.store.put_target('d1', target.address, 'desk', seq=2)
                await asyncio.sleep(1)
                await call_steadily(fleet, '/look/1', 0.5)
                assert len(target.requests) == 1
                target.handle = reply(200, b'done')
                fleet.store.put_target('d1', target.address, 'desk', born=2000)
                await fleet.wait_for(
                    lambda: (
                        fleet.state.directory.records['d1'].started_ms == 2000
                    )
                )
                await call_steadily(fleet, '/look/1', 0.5)
                assert len(target.requests) > 1

        asyncio.run(run())

    def test_stream_of_a_target_that_leaves_goes_on(self):
        async def leave(exchange):
            headers = [SEAL_HEADER, LEAVING_HEADER]
            await exchange.send_headers(200, headers)
            for number in range(1, 9):
                await exchange.send_body(make_event(number))
                await asyncio.sleep(0.05)
            await exchange.end_response()

        async def run():
            async with run_fleet(m1=leave) as fleet:
                reader, writer = await asyncio.open_connection(
                    *fleet.settings.entry
                )
                writer.write(make_call())
                answer = await read_answer(reader)
                writer.close()
                assert answer.is_complete
                assert answer.content.count(b'id:') == 8
                assert (await fleet.call()).status == 503
                assert len(fleet.targets['m1'].requests) == 1

        asyncio.run(run())
