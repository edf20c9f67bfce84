"""Tests of targets that ask an instance for rest."""

import asyncio
import time

import pytest

from tests.gateway.fleets import run_fleet
from tests.gateway.targets import reply, stream
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
