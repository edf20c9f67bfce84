"""Tests of callers and targets that send a byte now and then."""

import asyncio
import contextlib
import time

import pytest

from tests.gateway.documents import HOST, make_document, make_route
from tests.gateway.fleets import make_call, read_answer, run_fleet
from tests.gateway.partitions import CutKind, partition
from tests.gateway.targets import SEAL_HEADER, make_event, reply, stream
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
            content = b''
            # The kernel resets a connection that is closed with bytes to read.
            with contextlib.suppress(ConnectionResetError):
                async with asyncio.timeout(3):
                    content = await reader.read()
            sending.cancel()
            writer.close()
            server.close()
            return content

        assert not asyncio.run(run()).startswith(b'HTTP/1.1 200')


def trickle_answer(begin, rest):
    """Return a handler that sends bytes at once, and others one at a time."""

    async def handle(exchange):
        exchange.writer.write(begin)
        await trickle(exchange.writer, rest)

    return handle


HEAD = b'HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\n'
BODY = HEAD + b'Content-Length: 500\r\n\r\n'


class TestTargets:
    """Guards against an answer that stalls and counts as alive."""

    @pytest.mark.parametrize('begin', [b'', HEAD, BODY])
    def test_call_that_may_be_repeated_moves_on(self, begin):
        async def run():
            stalled = trickle_answer(begin, HEAD + b'x' * 500)
            document = make_document(
                routes=[
                    make_route(
                        'look', 'idempotent', 'desk', 100, timeoutMs=9000
                    )
                ]
            )
            handlers = {'d1': stalled, 'd2': reply(200, b'found')}
            async with run_fleet(document, **handlers) as fleet:
                begin_s = time.monotonic()
                for _ in range(2):
                    answer = await fleet.call(
                        '/look/1', 'GET', X_Deadline='8000'
                    )
                    assert answer.content == b'found'
                assert time.monotonic() - begin_s < 4

        asyncio.run(run())

    def test_stream_that_stalls_within_an_event_moves_on(self):
        async def stall(exchange):
            await exchange.send_headers(200, [SEAL_HEADER])
            await exchange.send_body(make_event(1))
            for byte in b'id: 2\ndata: ' + b'x' * 500:
                await exchange.send_body(bytes((byte,)))
                await asyncio.sleep(TRICKLE_S)

        async def run():
            route = make_route(
                'stream', 'stream', 'model', 300, resumable=True, timeoutMs=9000
            )
            document = make_document(routes=[route])
            async with run_fleet(document, m1=stall, m2=stream()) as fleet:
                begin_s = time.monotonic()
                answer = await fleet.call(X_Deadline='8000')
                assert answer.is_complete
                assert answer.content.count(b'id:') == 5
                assert time.monotonic() - begin_s < 4

        asyncio.run(run())

    def test_stream_of_a_target_that_falls_silent_for_a_second_goes_on(self):
        """Guards against a second run because of a short silence.

        While it is silent the target accepts no connection either.
        """
        silence_s = 1.2

        async def run():
            handlers = {f'm{n}': stream(last=8, gap_s=0.1) for n in range(3)}
            async with run_fleet(**handlers) as fleet:
                with partition(fleet) as cut:
                    reader, writer = await asyncio.open_connection(
                        *fleet.settings.entry
                    )
                    writer.write(make_call())
                    targets = fleet.targets.values()
                    await fleet.wait_for(
                        lambda: any(one.requests for one in targets)
                    )
                    await asyncio.sleep(0.3)
                    cut.spared = {
                        (HOST, one.port) for one in targets if not one.requests
                    }
                    cut.cut(CutKind.hang, fleet.settings.ip)
                    await asyncio.sleep(silence_s)
                    cut.heal(fleet.settings.ip)
                    answer = await read_answer(reader)
                    writer.close()
                assert answer.is_complete
                assert sum(len(one.requests) for one in targets) == 1

        asyncio.run(run())

    def test_slow_but_sound_stream_is_not_cut(self):
        """Guards against a stream that is given up because it is slow."""

        async def run():
            route = make_route(
                'stream', 'stream', 'model', 300, resumable=True, timeoutMs=9000
            )
            document = make_document(routes=[route])
            slow = stream(last=4, gap_s=1.0)
            async with run_fleet(document, m1=slow, m2=slow) as fleet:
                answer = await fleet.call(X_Deadline='8000')
                assert answer.is_complete
                assert answer.content.count(b'id:') == 4
                requests = [
                    len(target.requests) for target in fleet.targets.values()
                ]
                assert sorted(requests) == [0, 1]

        asyncio.run(run())

    def test_stream_to_a_caller_that_reads_slowly_is_not_cut(self):
        """Guards against a sound target that is blamed for a slow caller.

        The deadline is long, so that only a limit on silence could cut the
        20 MB off, on a busy machine as well.
        """
        event = b'id: %d\ndata: ' + b'x' * 500_000 + b'\n\n'

        async def send(exchange):
            await exchange.send_headers(200, [SEAL_HEADER])
            for number in range(1, 41):
                await exchange.send_body(event % number)
            await exchange.end_response()

        async def run():
            route = make_route(
                'stream',
                'stream',
                'model',
                300,
                resumable=True,
                timeoutMs=60_000,
            )
            document = make_document(routes=[route])
            async with run_fleet(document, m1=send, m2=send) as fleet:
                reader, writer = await asyncio.open_connection(
                    *fleet.settings.entry
                )
                writer.write(make_call(X_Deadline='60000'))
                await asyncio.sleep(3.5)
                answer = await read_answer(reader)
                writer.close()
                assert answer.is_complete
                assert len(answer.content) == sum(
                    len(event % number) for number in range(1, 41)
                )
                requests = [
                    len(target.requests) for target in fleet.targets.values()
                ]
                assert sorted(requests) == [0, 1]

        asyncio.run(run())
