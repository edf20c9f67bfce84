"""Tests that an answer that broke off never looks complete."""

import asyncio

import pytest

from tests.gateway.fleets import make_call, run_fleet
from tests.gateway.targets import (
    SEAL_HEADER,
    make_event,
    reply,
    stream,
    stream_truncated,
)
from trefoilhinge.gateway.tcp import reset_tcp_connection


async def read_to_the_end(fleet, call):
    """Send a call and return all bytes, and whether the end was clean."""
    reader, writer = await asyncio.open_connection(*fleet.settings.entry)
    writer.write(call)
    content = b''
    try:
        while data := await reader.read(65_536):
            content += data
    except ConnectionResetError:
        return content, False
    finally:
        writer.close()
    return content, True


def make_old_call(path='/stream/1'):
    """Return a call of HTTP/1.0, whose answer ends with its connection."""
    return make_call(path).replace(b'HTTP/1.1', b'HTTP/1.0')


class TestCallersWithoutChunks:
    """Guards against a truncated answer that ends like a complete one.

    An answer to HTTP/1.0 has no length; only its connection's end shows that
    it is complete.
    """

    def test_truncated_stream_ends_with_a_reset(self):
        async def run():
            async with run_fleet(m1=stream_truncated(2)) as fleet:
                content, is_clean = await read_to_the_end(
                    fleet, make_old_call()
                )
                assert content.startswith(b'HTTP/1.1 200')
                assert not is_clean

        asyncio.run(run())

    def test_complete_stream_ends_cleanly(self):
        async def run():
            async with run_fleet(m1=stream()) as fleet:
                content, is_clean = await read_to_the_end(
                    fleet, make_old_call()
                )
                assert content.count(b'id:') == 5
                assert is_clean

        asyncio.run(run())

    def test_whole_answer_has_a_length(self):
        async def run():
            async with run_fleet(d1=reply(200, b'yes')) as fleet:
                content, is_clean = await read_to_the_end(
                    fleet, make_old_call('/book/1')
                )
                assert b'content-length: 3' in content.lower()
                assert is_clean

        asyncio.run(run())


def send_without_length(*parts, resets=False):
    """Return a handler whose answers end with their connection.

    :param parts: bytes that are sent one after the other.
    :param resets: whether the connection is reset at the end.
    """

    async def handle(exchange):
        seal = b'HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\n\r\n'
        for part in (seal, *parts):
            exchange.writer.write(part)
            await exchange.writer.drain()
            await asyncio.sleep(0.02)
        if resets:
            reset_tcp_connection(exchange.writer.transport)
        else:
            exchange.writer.close()

    return handle


EVENTS = b''.join(map(make_event, range(1, 6)))
BROKEN_STREAMS = {
    'no event': send_without_length(),
    'within an event': send_without_length(EVENTS[:-5]),
    'reset between events': send_without_length(EVENTS, resets=True),
    'reset within an event': send_without_length(EVENTS[:-5], resets=True),
    'reset before events': send_without_length(resets=True),
}


class TestAnswersWithoutLength:
    """Guards against the end of a target that looks like that of an answer.

    An answer with neither length nor chunks ends with its connection.
    """

    @pytest.mark.parametrize('make', [make_call, make_old_call])
    def test_stream_that_ends_after_an_event_is_complete(self, make):
        async def run():
            handle = send_without_length(EVENTS[:40], EVENTS[40:])
            async with run_fleet(m1=handle) as fleet:
                content, is_clean = await read_to_the_end(
                    fleet,
                    make('/stream/1').replace(
                        b'Host', b'Connection: close\r\nHost'
                    ),
                )
                assert content.count(b'id:') == 5
                assert is_clean
                if make is make_call:
                    assert content.endswith(b'0\r\n\r\n')
                assert len(fleet.targets['m1'].requests) == 1

        asyncio.run(run())

    @pytest.mark.parametrize('version', [b'HTTP/1.1', b'HTTP/1.0'])
    @pytest.mark.parametrize('name', BROKEN_STREAMS)
    def test_broken_stream_is_no_success(self, name, version):
        async def run():
            async with run_fleet(m1=BROKEN_STREAMS[name]) as fleet:
                content, is_clean = await read_to_the_end(
                    fleet, make_call().replace(b'HTTP/1.1', version)
                )
                status = int(content.split()[1]) if content else 0
                if status == 200 and version == b'HTTP/1.0':
                    assert not is_clean
                elif status == 200:
                    assert not content.endswith(b'0\r\n\r\n')
                else:
                    assert status in {0, 502}

        asyncio.run(run())

    @pytest.mark.parametrize('name', BROKEN_STREAMS)
    def test_broken_stream_is_resumed_at_another_target(self, name):
        async def run():
            async with run_fleet(m1=BROKEN_STREAMS[name], m2=stream()) as fleet:
                for _ in range(4):
                    answer = await fleet.call()
                    assert answer.status == 200
                    assert answer.is_complete
                    assert answer.content == EVENTS

        asyncio.run(run())

    @pytest.mark.parametrize('make', [make_call, make_old_call])
    def test_plain_answer_gets_a_length(self, make):
        async def run():
            handle = send_without_length(b'ye', b's')
            async with run_fleet(d1=handle) as fleet:
                content, is_clean = await read_to_the_end(
                    fleet,
                    make('/book/1').replace(
                        b'Host', b'Connection: close\r\nHost'
                    ),
                )
                assert b'content-length: 3' in content.lower()
                assert content.endswith(b'\r\n\r\nyes')
                assert is_clean

        asyncio.run(run())


TRUNCATED_BODIES = {
    'length': b'Content-Length: 500\r\n\r\n' + b'x' * 100,
    'chunked': b'Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n',
    'chunk': b'Transfer-Encoding: chunked\r\n\r\n50\r\nhello',
    'head': b'Content-Len',
}


class TestTargets:
    @pytest.mark.parametrize('body', TRUNCATED_BODIES.values())
    def test_truncated_plain_answer_is_no_success(self, body):
        async def end_early(exchange):
            seal = b'HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\n'
            exchange.writer.write(seal + body)
            await exchange.writer.drain()
            exchange.writer.close()

        async def run():
            async with run_fleet(d1=end_early) as fleet:
                answer = await fleet.call('/book/1')
                assert answer.status == 502
                assert b'hello' not in answer.content

        asyncio.run(run())

    def test_reset_of_an_answer_without_a_length_is_no_success(self):
        async def reset_late(exchange):
            exchange.writer.write(
                b'HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\n\r\nhello'
            )
            await exchange.writer.drain()
            await asyncio.sleep(0.05)
            reset_tcp_connection(exchange.writer.transport)

        async def run():
            async with run_fleet(d1=reset_late) as fleet:
                assert (await fleet.call('/book/1')).status == 502

        asyncio.run(run())

    def test_bytes_after_the_answer_belong_to_no_call(self):
        """Guards against a second copy of an answer on its connection."""

        async def answer_twice(exchange):
            await exchange.respond(200, b'yes', [SEAL_HEADER])
            exchange.writer.write(
                b'HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\n'
                b'X-Request-Id: r-1\r\nContent-Length: 4\r\n\r\nlate'
            )
            await exchange.writer.drain()

        async def run():
            async with run_fleet(d1=answer_twice) as fleet:
                for _ in range(5):
                    assert (await fleet.call('/book/1')).content == b'yes'
                assert len(fleet.targets['d1'].requests) == 5

        asyncio.run(run())

    def test_late_event_of_another_stream_is_not_relayed(self):
        async def other(exchange):
            exchange.writer.write(
                b'HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\n'
                b'X-Request-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n'
            )
            event = make_event(1)
            exchange.writer.write(
                b'%x\r\n%s\r\n0\r\n\r\n' % (len(event), event)
            )
            await exchange.writer.drain()

        async def run():
            async with run_fleet(m1=other) as fleet:
                answer = await fleet.call()
                assert answer.status == 502
                assert b'id:' not in answer.content

        asyncio.run(run())
