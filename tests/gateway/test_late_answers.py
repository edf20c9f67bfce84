"""Tests of plain calls that take long at targets that are alive."""

import asyncio

import pytest

from tests.gateway.documents import make_document, make_route
from tests.gateway.fleets import run_fleet
from tests.gateway.targets import never_answer, reply, reset

LONG_S = 1.1  # longer than a silent target is awaited before the next attempt


def answer_late(content, delay_s=LONG_S, status=200):
    """Return a handler that answers after a delay."""

    async def handle(exchange):
        await asyncio.sleep(delay_s)
        await reply(status, content)(exchange)

    return handle


def take_turns(*handlers):
    """Return a handler whose requests go to one handler after the other."""
    turns = list(handlers)

    async def handle(exchange):
        await turns.pop(0)(exchange)

    return handle


def count_requests(fleet):
    return sum(len(one.requests) for one in fleet.targets.values())


class TestLateAnswers:
    """Guards against an answer that is thrown away before another one comes."""

    @pytest.mark.parametrize(
        'second', [never_answer, reset, answer_late(b'second', 1)]
    )
    def test_first_target_answers_first(self, second):
        async def run():
            handle = take_turns(answer_late(b'first'), second)
            async with run_fleet(d1=handle, d2=handle) as fleet:
                answer = await fleet.call('/look/1', 'GET')
                assert (answer.status, answer.content) == (200, b'first')
                assert count_requests(fleet) == 2

        asyncio.run(run())

    def test_failure_of_the_second_target_does_not_end_the_call(self):
        async def run():
            handle = take_turns(answer_late(b'first'), reply(500))
            async with run_fleet(d1=handle, d2=handle) as fleet:
                answer = await fleet.call('/look/1', 'GET')
                assert (answer.status, answer.content) == (200, b'first')

        asyncio.run(run())

    def test_late_failure_does_not_end_the_call(self):
        async def run():
            handle = take_turns(
                answer_late(b'first', status=500), answer_late(b'second', 0.8)
            )
            async with run_fleet(d1=handle, d2=handle) as fleet:
                answer = await fleet.call('/look/1', 'GET')
                assert (answer.status, answer.content) == (200, b'second')

        asyncio.run(run())

    def test_two_failures_are_answered_with_one(self):
        """Guards against two failures that wait for each other."""

        async def run():
            handle = take_turns(answer_late(b'1', status=500), reply(500, b'2'))
            async with run_fleet(d1=handle, d2=handle) as fleet:
                async with asyncio.timeout(2):
                    answer = await fleet.call('/look/1', 'GET')
                assert (answer.status, answer.content) == (500, b'2')

        asyncio.run(run())

    def test_nothing_is_left_of_an_answered_call(self):
        async def run():
            closed = asyncio.Event()

            async def wait_for_end(exchange):
                await exchange.reader.read()
                closed.set()

            handle = take_turns(wait_for_end, reply(200, b'second'))
            async with run_fleet(d1=handle, d2=handle) as fleet:
                answer = await fleet.call('/look/1', 'GET')
                assert answer.content == b'second'
                async with asyncio.timeout(1):
                    await closed.wait()

        asyncio.run(run())

    def test_objective_tells_how_long_a_target_is_awaited(self):
        """Guards against a second run of each call that takes long."""
        route = make_route('look', 'idempotent', 'desk', 700)
        document = make_document(routes=[route])

        async def run():
            handle = answer_late(b'first')
            async with run_fleet(document, d1=handle, d2=handle) as fleet:
                answer = await fleet.call('/look/1', 'GET', X_Deadline='4000')
                assert answer.content == b'first'
                assert count_requests(fleet) == 1

        asyncio.run(run())
