"""Tests of the requests that reach a target that named a limit."""

import asyncio
import time

from tests.gateway.documents import make_document
from tests.gateway.fleets import run_fleet, run_peers
from tests.gateway.targets import SEAL_HEADER, make_event, reply, stream

STABLE_S = 3.0  # from the first naming until the limit has to hold
WINDOW_S = 4.0
PEERS = 7
SHORT_INTERVAL_S = 0.03  # between two calls of one caller


def reply_limited(*values, headers=(SEAL_HEADER,)):
    """Return a handler whose answers name limits, the last one repeatedly."""
    remaining = list(values)

    async def handle(exchange):
        value = remaining.pop(0) if len(remaining) > 1 else remaining[0]
        named = [] if value is None else [('Server-Limit', value)]
        await exchange.respond(200, b'done', [*headers, *named])

    return handle


def stream_limited(rate, arrivals):
    """Return a handler of streams that names a limit and notes arrivals."""

    async def handle(exchange):
        arrivals.append(time.monotonic())
        await exchange.send_headers(
            200, [SEAL_HEADER, ('Server-Limit', str(rate))]
        )
        for number in range(1, 4):
            await exchange.send_body(make_event(number))
        await exchange.end_response()

    return handle


def count_most(arrivals, begin_s):
    """Return the most arrivals within a window that begins after a time."""
    counted = [at_s for at_s in arrivals if at_s >= begin_s]
    return max(
        (
            sum(at_s <= other_s < at_s + WINDOW_S for other_s in counted)
            for at_s in counted
        ),
        default=0,
    )


def compute_allowed(rate):
    """Return the most requests that a limited target may get in a window."""
    return 1.5 * rate * WINDOW_S + 5


async def call_repeatedly(fleet, path, until_s):
    """Make calls until a time; return the statuses."""
    statuses = []
    while time.monotonic() < until_s:
        method = 'GET' if path.startswith('/look') else 'POST'
        answer = await fleet.call(path, method)
        statuses.append(answer.status)
        await asyncio.sleep(SHORT_INTERVAL_S)
    return statuses


class TestFleetRate:
    def test_all_instances_together_keep_the_rate_of_a_target(self):
        """Guards against a target that gets more than it named.

        Each instance placed calls at it as if it were alone, while documents
        changed and an instance stopped.
        """
        arrivals = []

        async def run():
            handlers = {
                'm1': stream_limited(1.2, arrivals),
                'm2': stream(),
                'm3': stream(),
            }
            async with run_fleet(**handlers) as fleet:
                async with run_peers(fleet, PEERS) as peers:
                    begin_s = time.monotonic()
                    until_s = begin_s + STABLE_S + WINDOW_S + 1
                    stopping, *others = peers
                    calls = asyncio.gather(
                        # The platform sends it no calls any more by then.
                        call_repeatedly(stopping, '/stream/1', until_s - 2),
                        *(
                            call_repeatedly(one, '/stream/1', until_s)
                            for one in (fleet, *others)
                        ),
                    )
                    await asyncio.sleep(STABLE_S)
                    fleet.store.put('op/config', make_document(2))
                    await asyncio.sleep(1)
                    stopping.gateway._begin_stop()
                    statuses = await calls
                    return begin_s, sum(statuses, [])

        begin_s, statuses = asyncio.run(run())
        assert set(statuses) == {200}
        assert arrivals
        most = count_most(arrivals, begin_s + STABLE_S)
        assert most <= compute_allowed(1.2)


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
