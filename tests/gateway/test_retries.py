"""Tests of calls that targets fail, reject or leave unfinished."""

import asyncio

from tests.gateway.documents import make_document
from tests.gateway.fleets import make_call, run_fleet
from tests.gateway.targets import (
    SEAL_HEADER,
    TargetStandIn,
    make_event,
    never_answer,
    reply,
    reset,
    stream,
    stream_truncated,
)

COMPLETE_STREAM = b''.join(make_event(number) for number in range(1, 6))
NOT_RUN = reply(503, b'', [('X-Not-Run', '1')])


class TestAtMostOnce:
    def test_lost_answer_is_never_retried(self):
        async def run():
            async with run_fleet(d1=reset, d2=reset) as fleet:
                answer = await fleet.call('/book/1')
                assert answer.status == 502
                request_count = sum(
                    len(one.requests) for one in fleet.targets.values()
                )
                assert request_count == 1

        asyncio.run(run())

    def test_call_that_did_not_run_is_retried(self):
        async def run():
            async with run_fleet(d1=NOT_RUN, d2=reply(200, b'booked')) as fleet:
                answer = await fleet.call('/book/1')
                assert (answer.status, answer.content) == (200, b'booked')

        asyncio.run(run())

    def test_refusal_states_not_run_if_no_target_ran_the_call(self):
        async def run():
            async with run_fleet(d1=NOT_RUN) as fleet:
                answer = await fleet.call('/book/1')
                assert answer.status == 503
                assert b'"not_run"' in answer.content
                assert 'x-server-seal' not in answer.headers

        asyncio.run(run())

    def test_success_without_signature_is_a_failure(self):
        async def run():
            async with run_fleet(d1=reply(200, b'who', [])) as fleet:
                assert (await fleet.call('/book/1')).status == 502

        asyncio.run(run())

    def test_answer_of_another_call_is_not_relayed(self):
        async def handle(exchange):
            exchange.request = exchange.request.__class__(
                method='POST',
                target='/',
                headers=[('Host', 'h'), ('X-Request-Id', 'other')],
            )
            await exchange.respond(200, b'secret', [SEAL_HEADER])

        async def run():
            async with run_fleet(d1=handle) as fleet:
                answer = await fleet.call('/book/1')
                assert answer.status == 502
                assert b'secret' not in answer.content

        asyncio.run(run())


class TestRetries:
    def test_idempotent_call_is_retried_at_another_target(self):
        async def run():
            async with run_fleet(d1=reset, d2=reply(200, b'found')) as fleet:
                answer = await fleet.call('/look/1', 'GET')
                assert answer.content == b'found'

        asyncio.run(run())

    def test_failure_is_relayed_if_all_targets_fail(self):
        async def run():
            failing = reply(500, b'broken')
            async with run_fleet(d1=failing, d2=failing) as fleet:
                answer = await fleet.call('/look/1', 'GET')
                assert (answer.status, answer.content) == (500, b'broken')

        asyncio.run(run())

    def test_no_more_targets_run_it_than_the_route_allows(self):
        async def run():
            handlers = {f'd{number}': reset for number in range(1, 6)}
            async with run_fleet(**handlers) as fleet:
                await fleet.call('/look/1', 'GET')
                request_count = sum(
                    len(one.requests) for one in fleet.targets.values()
                )
                assert request_count == 2

        asyncio.run(run())


class TestStreams:
    def test_truncated_stream_resumes_at_another_target(self):
        async def run():
            async with run_fleet(m1=stream_truncated(2), m2=stream()) as fleet:
                answer = await fleet.call()
                assert answer.is_complete
                assert answer.content == COMPLETE_STREAM
                resumed = fleet.targets['m2'].requests[0]
                assert resumed.headers['last-event-id'] == '2'

        asyncio.run(run())

    def test_repeated_events_are_dropped(self):
        async def replay(exchange):
            await exchange.send_headers(200, [SEAL_HEADER])
            await exchange.send_body(COMPLETE_STREAM)
            await exchange.end_response()

        async def run():
            async with run_fleet(m1=stream_truncated(3), m2=replay) as fleet:
                assert (await fleet.call()).content == COMPLETE_STREAM

        asyncio.run(run())

    def test_missing_event_never_reaches_the_caller(self):
        async def skip(exchange):
            await exchange.send_headers(200, [SEAL_HEADER])
            await exchange.send_body(make_event(5))
            await exchange.end_response()

        async def run():
            async with run_fleet(m1=stream_truncated(2), m2=skip) as fleet:
                answer = await fleet.call()
                assert not answer.is_complete
                assert make_event(5) not in answer.content

        asyncio.run(run())

    def test_stream_that_cannot_be_resumed_ends_truncated(self):
        async def run():
            truncated = stream_truncated(2)
            async with run_fleet(m1=truncated, m2=reset) as fleet:
                answer = await fleet.call()
                assert not answer.is_complete

        asyncio.run(run())

    def test_stream_of_a_route_without_resumption_is_not_resumed(self):
        async def run():
            document = make_document()
            document['routes'][0]['resumable'] = False
            async with run_fleet(
                document, m1=stream_truncated(2), m2=stream()
            ) as fleet:
                answer = await fleet.call()
                assert not answer.is_complete
                assert not fleet.targets['m2'].requests

        asyncio.run(run())

    def test_resumption_by_the_caller_is_relayed(self):
        async def run():
            async with run_fleet(m1=stream()) as fleet:
                answer = await fleet.call(Last_Event_Id='3')
                assert answer.content == make_event(4) + make_event(5)

        asyncio.run(run())


class TestCallEnds:
    def test_call_ends_at_the_timeout_of_its_route(self):
        async def run():
            document = make_document()
            document['routes'][1]['timeoutMs'] = 300
            async with run_fleet(document, d1=never_answer) as fleet:
                loop = asyncio.get_running_loop()
                began_s = loop.time()
                answer = await fleet.call('/book/1')
                assert answer.status == 504
                assert 0.25 < loop.time() - began_s < 0.8

        asyncio.run(run())

    def test_connection_to_target_is_closed_when_the_caller_leaves(self):
        left = asyncio.Event()

        async def handle(exchange):
            assert await exchange.reader.read(10) == b''
            left.set()

        async def run():
            async with run_fleet(m1=handle) as fleet:
                reader, writer = await asyncio.open_connection(
                    *fleet.settings.entry
                )
                writer.write(make_call())
                await fleet.wait_for(lambda: fleet.targets['m1'].requests)
                writer.close()
                async with asyncio.timeout(1):
                    await left.wait()
                await fleet.wait_for(
                    lambda: not fleet.state.loads.get('m1').running
                )

        asyncio.run(run())


class TestHelpers:
    def test_unavailable_helpers_are_avoided_during_a_store_outage(self):
        """Guards against failing calls whose helpers left during a store outage.

        In an incident the store did not answer while seven targets left, so
        that placements still used them as helpers.
        """

        async def run():
            async with run_fleet() as fleet:
                gone = set()

                def refuse_gone(name):
                    async def handle(exchange):
                        used = exchange.headers.get('x-helpers', '').split(',')
                        blamed = [one for one in used if one in gone]
                        if blamed:
                            await exchange.respond(
                                503,
                                b'',
                                [('X-Not-Run', '1'), ('At-Server', blamed[0])],
                            )
                            return
                        await stream()(exchange)

                    return handle

                for number in range(1, 21):
                    target = TargetStandIn(f'm{number:02}')
                    target.handle = refuse_gone(target.name)
                    await target.start()
                    fleet.targets[target.name] = target
                    fleet.store.put_target(target.name, target.address)
                gone.update(
                    fleet.targets[f'm{number:02}'].address
                    for number in range(13, 21)
                )
                await fleet.wait_for(
                    lambda: len(fleet.state.directory.records) == 20
                )
                answer = await fleet.call(X_Token_Count='200000,700')
                assert answer.status == 200
                assert answer.is_complete

        asyncio.run(run())


class TestUnreachable:
    def test_call_fails_if_no_target_is_reachable(self):
        """Guards against endless attempts, as refused connections cost no time."""

        async def run():
            async with run_fleet(d1=reply(200), d2=reply(200)) as fleet:
                for target in fleet.targets.values():
                    await target.stop()
                answer = await fleet.call('/book/1')
                assert answer.status == 503
                assert b'"not_run"' in answer.content
                assert 'retry-after' in answer.headers

        asyncio.run(run())

    def test_reachable_target_is_found(self):
        async def run():
            async with run_fleet(d1=reply(200), d2=reply(200)) as fleet:
                await fleet.targets['d1'].stop()
                for _ in range(3):
                    assert (await fleet.call('/book/1')).status == 200

        asyncio.run(run())
