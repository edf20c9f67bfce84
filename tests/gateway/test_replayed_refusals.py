"""Tests of targets that write an earlier refusal on a kept connection again."""

import asyncio

import pytest

from tests.gateway.documents import make_document
from tests.gateway.fleets import run_fleet
from tests.gateway.targets import SEAL_HEADER, reply
from tests.gateway.test_odd_refusals import (
    NOT_RUN,
    PROMISES,
    SEAL,
    interim,
    respond,
)

PAUSE_S = 0.05  # lets what a target writes late arrive


def make_distant_document(**fields):
    """Return a document whose failure domains are distant."""
    document = make_document(**fields)
    delay = {'from': 'a', 'target': 'b', 'delay_ms': 3.9}
    document['services'][0]['engine']['delays'] = [delay]
    return document


def identify(number):
    return b'X-Request-Id: r-%d\r\n' % number


def refuse(number, *headers):
    return respond(503, identify(number), NOT_RUN, *headers)


class ReplayingTarget:
    """Serves calls and writes an earlier refusal where it does not belong.

    :ivar runs: identifiers of the calls that ran, in order.
    :ivar connections: connection of each call that ran.
    """

    def __init__(self, replay, when):
        self.replay = replay
        self.when = when
        self.runs = []
        self.connections = []

    async def handle(self, exchange):
        self.runs.append(exchange.headers['x-request-id'])
        self.connections.append(exchange.writer)
        is_kept = self.connections.count(exchange.writer) > 1
        if self.when == 'before the answer' and is_kept:
            exchange.writer.write(self.replay)
        await reply(200, b'booked')(exchange)
        if self.when == 'at once':
            exchange.writer.write(self.replay)
        if self.when == 'while idle':
            asyncio.get_running_loop().call_later(
                PAUSE_S / 2, exchange.writer.write, self.replay
            )


REPLAYS = {
    'of an earlier call': refuse(0),
    'without an identifier': respond(503, NOT_RUN),
    'misdirected': respond(421),
    'too many': respond(429, NOT_RUN),
    'twice': refuse(0) + refuse(0),
    'with two identifiers': respond(503, identify(0), identify(2), NOT_RUN),
    'after an interim response': interim() + refuse(0),
    'interim response': interim(),
    'success': respond(200, SEAL, content=b'late'),
}


class TestReplayedRefusals:
    """Guards against REFUSED and TWICE by a connection of an earlier call.

    The caller of a call that runs is told that it has not run, or a call that
    may run once is sent again.
    """

    @pytest.mark.parametrize('path', ['/book/1', '/look/1'])
    @pytest.mark.parametrize('when', ['at once', 'while idle'])
    @pytest.mark.parametrize('name', REPLAYS)
    def test_replay_between_calls_is_never_read(self, name, when, path):
        async def run():
            target = ReplayingTarget(REPLAYS[name], when)
            async with run_fleet(
                make_distant_document(), d1=target.handle
            ) as fleet:
                for number in range(1, 5):
                    answer = await fleet.call(path, X_Request_Id=f'r-{number}')
                    assert (answer.status, answer.content) == (200, b'booked')
                    await asyncio.sleep(PAUSE_S)
            assert target.runs == ['r-1', 'r-2', 'r-3', 'r-4']
            assert len(set(map(id, target.connections))) == 4

        asyncio.run(run())

    @pytest.mark.parametrize('name', REPLAYS)
    def test_replay_in_place_of_the_answer_is_not_believed(self, name):
        async def run():
            target = ReplayingTarget(REPLAYS[name], 'before the answer')
            async with run_fleet(
                make_distant_document(),
                d1=target.handle,
                d2=reply(200, b'booked'),
            ) as fleet:
                for number in range(1, 7):
                    answer = await fleet.call(
                        '/look/1', X_Request_Id=f'r-{number}'
                    )
                    assert answer.status not in PROMISES
                    assert answer.content == b'booked'

        asyncio.run(run())

    def test_call_that_may_run_once_never_meets_a_replay(self):
        async def run():
            target = ReplayingTarget(refuse(0), 'before the answer')
            async with run_fleet(
                make_distant_document(), d1=target.handle, d2=target.handle
            ) as fleet:
                for number in range(6):
                    for path in ('/look/1', '/book/1'):
                        request_id = f'r-{path}-{number}'
                        answer = await fleet.call(path, X_Request_Id=request_id)
                        assert answer.content == b'booked'
            booked = [name for name in target.runs if 'book' in name]
            assert len(booked) == len(set(booked)) == 6

        asyncio.run(run())

    def test_refusal_of_an_equal_identifier_is_not_taken_for_a_new_one(self):
        """Guards against a caller that repeats its call with its identifier.

        The replay of its first refusal would look like that of the second.
        """
        connections = []

        async def handle(exchange):
            connections.append(exchange.writer)
            if len(connections) % 2:
                headers = [SEAL_HEADER, ('X-Not-Run', '1')]
                await exchange.respond(503, b'', headers)
            else:
                await reply(200, b'seen')(exchange)

        async def run():
            async with run_fleet(make_distant_document(), d1=handle) as fleet:
                for _ in range(3):
                    answer = await fleet.call('/look/1')
                    assert answer.content == b'seen'
            assert len(set(map(id, connections))) == len(connections)

        asyncio.run(run())
