"""Tests of refusals that targets write where they say nothing of the call."""

import asyncio

import pytest

from tests.gateway.fleets import run_fleet
from tests.gateway.targets import reply
from tests.gateway.test_relayed_calls import run_cut_fleet

OWN = b'X-Request-Id: r-1\r\n'
OTHER = b'X-Request-Id: r-0\r\n'
NOT_RUN = b'X-Not-Run: 1\r\n'
SEAL = b'X-Server-Seal: s\r\n'
PROMISES = {408, 421, 429, 503}  # the call has not run and never will


def respond(status, *headers, content=b''):
    """Return the bytes of a response."""
    head = b'HTTP/1.1 %d Odd\r\n%sContent-Length: %d\r\n\r\n'
    return head % (status, b''.join(headers), len(content)) + content


def interim():
    """Return the bytes of an interim response."""
    return b'HTTP/1.1 100 Continue\r\n\r\n'


ODD_REFUSALS = {
    'of an earlier call': respond(503, OTHER, NOT_RUN),
    'of an earlier call, misdirected': respond(421, OTHER),
    'with two identifiers': respond(503, OTHER, OWN, NOT_RUN),
    'with two identifiers, own first': respond(503, OWN, OTHER, NOT_RUN),
    'after an interim response': interim() + respond(503, OTHER, NOT_RUN),
    'before the answer': respond(503, OTHER, NOT_RUN) + respond(200, OWN, SEAL),
    'beside a failure': respond(500, OWN, NOT_RUN),
    'beside a timeout': respond(504, OWN, NOT_RUN),
    'beside a success': respond(200, OWN, NOT_RUN, SEAL, content=b'booked'),
}
REFUSALS = {
    'full': respond(503, OWN, NOT_RUN),
    'too many': respond(429, OWN, NOT_RUN),
    'misdirected': respond(421, OWN),
    'without an identifier': respond(503, NOT_RUN),
    'with more bytes': respond(503, OWN, NOT_RUN) + respond(200, OWN, SEAL),
}


def write_first(first):
    """Return a handler whose first answer is scripted, for all targets."""
    answers = [first]

    async def handle(exchange):
        if answers:
            exchange.writer.write(answers.pop())
            exchange.writer.close()
        else:
            await reply(200, b'booked')(exchange)

    return handle


def count_requests(fleet):
    return sum(len(one.requests) for one in fleet.targets.values())


class TestOddRefusals:
    """Guards against TWICE and REFUSED.

    A call that may have run is sent to another target, or its caller is told
    that it has not run.
    """

    @pytest.mark.parametrize('name', ODD_REFUSALS)
    def test_call_may_have_run(self, name):
        async def run():
            handle = write_first(ODD_REFUSALS[name])
            async with run_fleet(d1=handle, d2=handle) as fleet:
                answer = await fleet.call('/book/1')
                assert answer.status not in PROMISES
                assert count_requests(fleet) == 1
                is_success = name == 'beside a success'
                assert (answer.status == 200) == is_success
                assert (answer.content == b'booked') == is_success

        asyncio.run(run())

    @pytest.mark.parametrize('name', ODD_REFUSALS)
    def test_call_through_a_peer_may_have_run(self, name):
        async def run():
            handle = write_first(ODD_REFUSALS[name])
            async with run_cut_fleet(d1=handle, d2=handle) as cut_fleet:
                fleet = cut_fleet[0]
                answer = await fleet.call('/book/1')
                assert answer.status not in PROMISES
                assert count_requests(fleet) == 1

        asyncio.run(run())


class TestUnmarkedRefusals:
    """Guards against a promise that a call has not run, made by its run."""

    @pytest.mark.parametrize('status', sorted(PROMISES - {421}))
    @pytest.mark.parametrize('run_any', [run_fleet, run_cut_fleet])
    def test_promise_of_a_run_is_replaced(self, status, run_any):
        async def run():
            handle = reply(status, b'of the run')
            async with run_any(d1=handle) as running:
                is_cut = isinstance(running, tuple)
                fleet = running[0] if is_cut else running
                answer = await fleet.call('/book/1')
                assert answer.status == 502
                assert b'"may_have_run"' in answer.content
                assert b'of the run' not in answer.content
                assert 'x-server-seal' not in answer.headers
                assert count_requests(fleet) == 1

        asyncio.run(run())

    def test_caller_of_a_repeatable_call_gets_it(self):
        async def run():
            async with run_fleet(d1=reply(503, b'of the run')) as fleet:
                answer = await fleet.call('/look/1', 'GET')
                assert (answer.status, answer.content) == (503, b'of the run')

        asyncio.run(run())


class TestRefusals:
    @pytest.mark.parametrize('name', REFUSALS)
    def test_call_is_sent_to_another_target(self, name):
        async def run():
            handle = write_first(REFUSALS[name])
            async with run_fleet(d1=handle, d2=handle) as fleet:
                answer = await fleet.call('/book/1')
                assert (answer.status, answer.content) == (200, b'booked')
                assert count_requests(fleet) == 2

        asyncio.run(run())

    def test_each_attempt_has_a_connection_of_its_own(self):
        """Guards against a late refusal that meets the next call.

        What a target writes after a response is never read.
        """
        connections = []

        async def handle(exchange):
            connections.append(exchange.writer)
            await reply(200, b'booked')(exchange)
            exchange.writer.write(respond(503, OTHER, NOT_RUN))

        async def run():
            async with run_fleet(d1=handle) as fleet:
                for number in range(5):
                    answer = await fleet.call(
                        '/book/1', X_Request_Id=f'r-{number}'
                    )
                    assert (answer.status, answer.content) == (200, b'booked')

        asyncio.run(run())
        assert len(set(map(id, connections))) == len(connections) == 5
