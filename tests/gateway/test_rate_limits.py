"""Tests of the requests that reach a target that named a limit."""

import asyncio
import json
import time

from tests.gateway.documents import HOST, make_document
from tests.gateway.fleets import run_fleet, run_peers
from tests.gateway.rate_windows import (
    STABLE_S,
    WINDOW_S,
    compute_allowed,
    count_most,
)
from tests.gateway.targets import SEAL_HEADER, make_event, stream
from trefoilhinge.gateway.http_client import fetch

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


async def learn_limits(fleet, path='/look/1', method='GET'):
    """Make calls until the limits of all targets are known."""
    async with asyncio.timeout(5):
        while len(fleet.state.rate_limits.list_limits()) < len(fleet.targets):
            await fleet.call(path, method)


def settle(fleet):
    """Let the instance act as if it had started long ago."""
    fleet.state.started_s = float('-inf')


class TestStatus:
    def test_status_and_metrics_tell_limits_and_permits(self):
        async def run():
            async with run_fleet(d1=reply_limited('0.2')) as fleet:
                settle(fleet)
                await learn_limits(fleet)
                for _ in range(2):
                    await fleet.call('/look/1', 'GET')
                status = await fetch(fleet.settings.control, '/status', 1)
                (target,) = json.loads(status.content)['targets']
                assert target['limit_per_s'] == 0.2
                assert target['limit_owner'] == HOST
                assert target['limit_level'] < 0
                metrics = await fetch(fleet.settings.metrics, '/metrics', 1)
                text = metrics.content.decode()
                assert 'targets_limited 1.0' in text
                assert 'permits_total{outcome="granted"} 1.0' in text
                assert 'permits_total{outcome="refused"}' in text
                assert 'calls_limited_total 1.0' in text

        asyncio.run(run())


class TestPlacement:
    def test_group_leaves_out_a_target_that_named_a_limit(self):
        """Guards against a prompt split over targets that refuse its parts."""

        async def run():
            handlers = {'m1': stream_limited(1, []), 'm2': stream()}
            handlers['m3'] = stream()
            async with run_fleet(**handlers) as fleet:
                settle(fleet)
                async with asyncio.timeout(5):
                    while not fleet.targets['m1'].requests:
                        await fleet.call()
                await fleet.call(**{'X-Token-Count': '100000,1300'})
                limited = fleet.targets['m1'].address
                sent = [
                    exchange.headers.get('x-helpers', '')
                    for target in fleet.targets.values()
                    for exchange in target.requests
                ]
                assert any(sent)
                assert not any(limited in helpers for helpers in sent)

        asyncio.run(run())

    def test_call_at_its_limit_goes_to_another_target(self):
        async def run():
            handlers = {
                'd1': reply_limited('0.1'),
                'd2': reply_limited(None),
            }
            async with run_fleet(**handlers) as fleet:
                settle(fleet)
                statuses = [
                    (await fleet.call('/look/1', 'GET')).status
                    for _ in range(10)
                ]
                assert statuses == [200 for _ in range(10)]
                assert len(fleet.targets['d1'].requests) <= 2

        asyncio.run(run())

    def test_limited_target_is_not_ejected(self):
        async def run():
            async with run_fleet(d1=reply_limited('5')) as fleet:
                settle(fleet)
                for _ in range(3):
                    await fleet.call('/look/1', 'GET')
                now_s = fleet.state.get_now_s()
                assert fleet.state.health.list_usable(['d1'], now_s) == ['d1']

        asyncio.run(run())


class TestAllTargetsLimited:
    def test_call_that_cannot_wait_is_refused_at_once(self):
        async def run():
            async with run_fleet(d1=reply_limited('0.2')) as fleet:
                settle(fleet)
                await learn_limits(fleet)
                await fleet.call('/look/1', 'GET')
                begin_s = time.monotonic()
                answer = await fleet.call('/look/1', 'GET')
                assert time.monotonic() - begin_s < 0.5
                assert answer.status == 503
                assert b'"targets_limited"' in answer.content
                assert b'"not_run"' in answer.content
                assert 3 < float(answer.headers['retry-after']) <= 11

        asyncio.run(run())

    def test_call_that_can_wait_is_served(self):
        async def run():
            async with run_fleet(d1=reply_limited('2')) as fleet:
                settle(fleet)
                await learn_limits(fleet)
                answers = await asyncio.gather(
                    *(fleet.call('/look/1', 'GET') for _ in range(3))
                )
                assert [one.status for one in answers] == [200, 200, 200]

        asyncio.run(run())

    def test_returns_of_refused_callers_are_spread(self):
        async def run():
            async with run_fleet(d1=reply_limited('0.2')) as fleet:
                settle(fleet)
                await learn_limits(fleet)
                await fleet.call('/look/1', 'GET')
                answers = [
                    await fleet.call(
                        '/look/1', 'GET', **{'X-Request-Id': f'r-{number}'}
                    )
                    for number in range(8)
                ]
                waits = {one.headers['retry-after'] for one in answers}
                assert len(waits) > 4

        asyncio.run(run())

    def test_call_that_may_have_run_is_not_refused_as_not_run(self):
        """Guards against a false refusal after a lost answer."""
        answered = []

        async def handle(exchange):
            if answered:
                exchange.writer.transport.abort()
                return
            answered.append(exchange)
            await exchange.respond(
                200, b'done', [SEAL_HEADER, ('Server-Limit', '0.5')]
            )

        async def run():
            async with run_fleet(d1=handle) as fleet:
                settle(fleet)
                await learn_limits(fleet)
                answer = await fleet.call('/look/1', 'GET')
                assert answer.status == 502
                assert b'"may_have_run"' in answer.content

        asyncio.run(run())

    def test_end_of_a_limit_releases_what_waits(self):
        async def run():
            handle = reply_limited('0.6', None)
            async with run_fleet(d1=handle) as fleet:
                settle(fleet)
                await learn_limits(fleet)
                begin_s = time.monotonic()
                answers = await asyncio.gather(
                    *(fleet.call('/look/1', 'GET') for _ in range(2))
                )
                assert {one.status for one in answers} == {200}
                # Without the end, the second call would wait for 1.7 s.
                assert time.monotonic() - begin_s < 1.2

        asyncio.run(run())


class TestPeers:
    def test_instance_that_starts_knows_a_limit_before_its_first_call(self):
        async def run():
            async with run_fleet(d1=reply_limited('3')) as fleet:
                await learn_limits(fleet)
                async with run_peers(fleet, 1) as (other,):
                    limits = other.state.rate_limits
                    await fleet.wait_for(lambda: limits.get('d1', 1000) == 3)
                    assert len(fleet.targets['d1'].requests) == 1

        asyncio.run(run())

    def test_change_and_end_reach_the_peers(self):
        async def run():
            handle = reply_limited('3', '2', None)
            async with run_fleet(d1=handle) as fleet:
                async with run_peers(fleet, 2) as others:
                    for rate in (3, 2, None):
                        # Longer than an announcement may be on its way.
                        await asyncio.sleep(0.3)
                        await fleet.call('/look/1', 'GET')
                        for other in others:
                            limits = other.state.rate_limits
                            await fleet.wait_for(
                                lambda: limits.get('d1', 1000) == rate
                            )

        asyncio.run(run())


class TestDepartedTargets:
    def test_limit_of_a_departed_target_is_forgotten(self):
        async def run():
            async with run_fleet(d1=reply_limited('3')) as fleet:
                await learn_limits(fleet)
                target = fleet.targets['d1']
                fleet.store.put_target(
                    'd1', target.address, 'desk', is_leaving=True
                )
                limits = fleet.state.rate_limits
                await fleet.wait_for(lambda: not limits.list_limits())

        asyncio.run(run())
