"""Tests of the requests that reach a target that named a limit."""

import asyncio

from tests.gateway.fleets import run_fleet
from tests.gateway.targets import SEAL_HEADER, reply


def reply_limited(*values, headers=(SEAL_HEADER,)):
    """Return a handler whose answers name limits, the last one repeatedly."""
    remaining = list(values)

    async def handle(exchange):
        value = remaining.pop(0) if len(remaining) > 1 else remaining[0]
        named = [] if value is None else [('Server-Limit', value)]
        await exchange.respond(200, b'done', [*headers, *named])

    return handle


class TestNamedLimits:
    def test_limit_is_learned_from_an_answer_and_ends_with_another(self):
        async def run():
            handle = reply_limited('1.5', None)
            async with run_fleet(d1=handle) as fleet:
                await fleet.call('/look/1', 'GET')
                limits = fleet.state.rate_limits
                assert limits.get('d1', 1000) == 1.5
                await fleet.call('/look/1', 'GET')
                assert limits.get('d1', 1000) is None

        asyncio.run(run())

    def test_malformed_limit_changes_nothing_and_is_logged_once(self, capfd):
        async def run():
            handle = reply_limited('many', '2', 'many', 'many')
            async with run_fleet(d1=handle) as fleet:
                for _ in range(4):
                    await fleet.call('/look/1', 'GET')
                assert fleet.state.rate_limits.get('d1', 1000) == 2

        asyncio.run(run())
        assert capfd.readouterr().out.count('event=limit_malformed') == 1

    def test_limit_is_passed_on_to_the_caller(self):
        async def run():
            async with run_fleet(d1=reply_limited('1.20')) as fleet:
                answer = await fleet.call('/look/1', 'GET')
                assert answer.headers['server-limit'] == '1.20'

        asyncio.run(run())
