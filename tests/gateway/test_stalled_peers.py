"""Tests of callers and targets that send a byte now and then."""

import asyncio

import pytest

from tests.gateway.fleets import make_call, read_answer, run_fleet
from tests.gateway.targets import reply
from trefoilhinge.gateway import http_server
from trefoilhinge.gateway.http_server import HttpResponse, serve_http

TRICKLE_S = 0.2  # between two bytes; far below each limit on silence


async def trickle(writer, data, interval_s=TRICKLE_S):
    """Write bytes one at a time, until the reader closes."""
    for number in range(len(data)):
        writer.write(data[number : number + 1])
        await writer.drain()
        await asyncio.sleep(interval_s)


class TestCallers:
    """Guards against connections that are held for as long as bytes come."""

    @pytest.mark.parametrize('sent_at_once', [10, 150])
    def test_request_that_trickles_in_is_refused(self, sent_at_once):
        async def run():
            async with run_fleet(d1=reply(200, b'yes')) as fleet:
                reader, writer = await asyncio.open_connection(
                    *fleet.settings.entry
                )
                call = make_call('/book/1', body=b'x' * 500)
                writer.write(call[:sent_at_once])
                sending = asyncio.ensure_future(
                    trickle(writer, call[sent_at_once:])
                )
                async with asyncio.timeout(4):
                    answer = await read_answer(reader)
                sending.cancel()
                writer.close()
                assert answer.status == 408
                assert not fleet.targets['d1'].requests

        asyncio.run(run())

    def test_long_body_that_arrives_steadily_is_taken(self):
        """Guards against a slow but sound request that is cut off."""

        async def run():
            async with run_fleet(d1=reply(200, b'yes')) as fleet:
                reader, writer = await asyncio.open_connection(
                    *fleet.settings.entry
                )
                call = make_call('/book/1', body=b'x' * 60_000)
                for begin in range(0, len(call), 4_000):
                    writer.write(call[begin : begin + 4_000])
                    await asyncio.sleep(0.15)
                answer = await read_answer(reader)
                writer.close()
                assert answer.status in {200, 503}
                assert answer.status != 408

        asyncio.run(run())


class TestOwnListeners:
    def test_request_that_trickles_in_is_dropped(self, monkeypatch):
        monkeypatch.setattr(http_server, 'REQUEST_TIMEOUT_S', 0.5)

        async def run():
            server = await serve_http(
                ('127.0.0.1', 0), lambda path: HttpResponse(200)
            )
            address = server.sockets[0].getsockname()
            reader, writer = await asyncio.open_connection(*address)
            sending = asyncio.ensure_future(
                trickle(writer, b'GET / HTTP/1.1\r\n' + b'x' * 500, 0.05)
            )
            async with asyncio.timeout(3):
                content = await reader.read()
            sending.cancel()
            writer.close()
            server.close()
            return content

        assert not asyncio.run(run()).startswith(b'HTTP/1.1 200')
