"""Tests of calls through one instance, against a fake platform."""

import asyncio

from tests.gateway.documents import make_document, make_route
from tests.gateway.fleets import make_call, read_answer, run_fleet
from tests.gateway.targets import SEAL_HEADER, make_event, reply, stream

COMPLETE_STREAM = b''.join(make_event(number) for number in range(1, 6))


class TestRelaying:
    def test_stream_is_relayed_completely(self):
        async def run():
            async with run_fleet(m1=stream()) as fleet:
                answer = await fleet.call()
                assert (answer.status, answer.is_complete) == (200, True)
                assert answer.content == COMPLETE_STREAM
                assert answer.headers['x-server-seal'] == SEAL_HEADER[1]

        asyncio.run(run())

    def test_target_receives_the_callers_headers_and_added_ones(self):
        async def run():
            async with run_fleet(m1=stream()) as fleet:
                await fleet.call(
                    X_Tenant='forged', X_Prompt_Prefix='5c:40,91:4960'
                )
                exchange = fleet.targets['m1'].requests[0]
                headers = exchange.headers
                assert exchange.request.method == b'POST'
                assert exchange.path == '/stream/1'
                assert exchange.body == b'prompt'
                assert headers['x-tenant'] == 'mill'
                assert headers['x-expect-replica'] == 'm1'
                assert headers['x-token-count'] == '5000,1300'
                assert headers['x-prompt-prefix'] == '5c:40,91:4960'
                assert headers['x-request-id'] == 'r-1'
                assert 0 < int(headers['x-deadline']) <= 2500
                assert 'api-key' not in headers

        asyncio.run(run())

    def test_failure_of_a_target_is_relayed_unchanged(self):
        async def run():
            async with run_fleet(d1=reply(422, b'bad')) as fleet:
                answer = await fleet.call('/book/1')
                assert (answer.status, answer.content) == (422, b'bad')
                assert answer.headers['x-server-seal'] == SEAL_HEADER[1]

        asyncio.run(run())

    def test_connection_serves_consecutive_calls(self):
        async def run():
            async with run_fleet(d1=reply(200, b'yes')) as fleet:
                reader, writer = await asyncio.open_connection(
                    *fleet.settings.entry
                )
                for number in range(3):
                    writer.write(
                        make_call('/look/1', 'GET', X_Request_Id=f'r-{number}')
                    )
                    answer = await read_answer(reader)
                    assert answer.content == b'yes'
                    assert answer.headers['x-request-id'] == f'r-{number}'
                writer.close()

        asyncio.run(run())

    def test_pipelined_calls_are_answered_in_order(self):
        async def run():
            async with run_fleet(d1=reply(200, b'yes')) as fleet:
                reader, writer = await asyncio.open_connection(
                    *fleet.settings.entry
                )
                writer.write(
                    make_call('/look/1', 'GET', X_Request_Id='r-1')
                    + make_call('/look/1', 'GET', X_Request_Id='r-2')
                )
                text = b''
                while text.count(b'yes') < 2:
                    text += await reader.read(1000)
                assert text.index(b'r-1') < text.index(b'r-2')
                writer.close()

        asyncio.run(run())


class TestRefusals:
    def test_unknown_key(self):
        async def run():
            async with run_fleet(d1=reply(200)) as fleet:
                answer = await fleet.call('/look/1', 'GET', Api_Key='no')
                assert answer.status == 401
                assert not fleet.targets['d1'].requests

        asyncio.run(run())

    def test_public_route_needs_no_key(self):
        async def run():
            document = make_document()
            document['routes'].append(
                make_route('open', 'idempotent', 'desk', 100, public=True)
            )
            async with run_fleet(document, d1=reply(200)) as fleet:
                answer = await fleet.call('/open/1', 'GET', Api_Key='')
                assert answer.status == 200

        asyncio.run(run())

    def test_unknown_route(self):
        async def run():
            async with run_fleet(d1=reply(200)) as fleet:
                assert (await fleet.call('/none/1')).status == 404

        asyncio.run(run())

    def test_instance_without_a_document_refuses_calls(self):
        """An instance that has just started answers 503, never 401, 403 or 404."""

        async def run():
            async with run_fleet(has_document=False) as fleet:
                answer = await fleet.call('/none/1')
                assert answer.status == 503
                assert float(answer.headers['retry-after']) > 0

        asyncio.run(run())

    def test_conflicting_lengths_are_refused(self):
        async def run():
            async with run_fleet(d1=reply(200)) as fleet:
                smuggled = (
                    b'POST /book/1 HTTP/1.1\r\nHost: desk.example\r\n'
                    b'Api-Key: key-1\r\nX-Request-Id: r-1\r\n'
                    b'Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n'
                    b'0\r\n\r\nGET /look/1 HTTP/1.1\r\n\r\n'
                )
                assert (await fleet.send_raw(smuggled)).status == 400
                assert not fleet.targets['d1'].requests

        asyncio.run(run())

    def test_body_beyond_the_limit(self):
        async def run():
            async with run_fleet(d1=reply(200)) as fleet:
                data = make_call('/book/1', body=b'x' * 200_000)
                assert (await fleet.send_raw(data)).status == 413

        asyncio.run(run())

    def test_head_beyond_the_limit(self):
        async def run():
            async with run_fleet(d1=reply(200)) as fleet:
                answer = await fleet.call('/book/1', X_Long='x' * 40_000)
                assert answer.status == 431

        asyncio.run(run())

    def test_incomplete_request_times_out(self):
        async def run():
            async with run_fleet(d1=reply(200)) as fleet:
                data = make_call('/book/1', body=b'whole body')
                assert (await fleet.send_raw(data[:-3])).status == 408
                assert not fleet.targets['d1'].requests

        asyncio.run(run())
