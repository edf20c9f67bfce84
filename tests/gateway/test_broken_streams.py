"""Tests of streams that break off and are answered with an error after that."""

import asyncio

import pytest

from tests.gateway.documents import make_document, make_route
from tests.gateway.fleets import run_fleet
from tests.gateway.targets import (
    SEAL_HEADER,
    make_event,
    reply,
    send_without_end,
    stream,
    stream_truncated,
)
from tests.gateway.test_relayed_calls import run_cut_fleet

SENT_EVENTS = make_event(1) + make_event(2)
ERROR = b'{"error": "no such stream"}'
NOT_RUN = ('X-Not-Run', '1')
ENDLESS_ERROR = send_without_end(
    b'HTTP/1.1 500 Odd\r\nX-Server-Seal: s\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n',
    b'400\r\n' + b'x' * 1024 + b'\r\n',
)
ERRORS = {
    'bad request': reply(400, ERROR),
    'not found': reply(404, ERROR),
    'conflict, not run': reply(409, ERROR, [NOT_RUN]),
    'misdirected': reply(421, ERROR, []),
    'misdirected, not run': reply(421, ERROR, [NOT_RUN]),
    'failure': reply(500, ERROR),
    'failure without a seal': reply(500, ERROR, []),
    'unavailable': reply(503, ERROR),
    'full': reply(503, ERROR, [NOT_RUN]),
    'without a seal': reply(200, ERROR, []),
    'no stream': reply(200, ERROR),
    'no event number': reply(200, b'data: words\n\n'),
    'no content': reply(204, b''),
    'endless': ENDLESS_ERROR,
}


def break_off(then):
    """Return a handler that truncates the first stream, for all targets."""
    handlers = [stream_truncated(2)]

    async def handle(exchange):
        await (handlers.pop() if handlers else then)(exchange)

    return handle


def check(answer):
    """Check that an answer is what was sent, and that it shows its end."""
    assert answer.status == 200
    assert answer.content == SENT_EVENTS
    assert not answer.is_complete


def make_documents(is_resumable):
    """Return a document whose streams may be resumed, or not."""
    document = make_document()
    document['routes'][0] = make_route(
        'stream', 'stream', 'model', 300, resumable=is_resumable
    )
    return document


class TestErrorsAfterABreak:
    """Guards against ORDER and MIXED.

    A stream had begun; the error of the target that it was resumed at must not
    reach the caller, and the stream must not look complete.
    """

    @pytest.mark.parametrize('is_resumable', [True, False])
    @pytest.mark.parametrize('name', ERRORS)
    def test_stream_ends_truncated(self, name, is_resumable):
        async def run():
            handle = break_off(ERRORS[name])
            document = make_documents(is_resumable)
            async with run_fleet(document, m1=handle, m2=handle) as fleet:
                check(await fleet.call())

        asyncio.run(run())

    @pytest.mark.parametrize('name', ERRORS)
    def test_stream_through_a_peer_ends_truncated(self, name):
        async def run():
            handle = break_off(ERRORS[name])
            async with run_cut_fleet(m1=handle, m2=handle) as cut_fleet:
                check(await cut_fleet[0].call())

        asyncio.run(run())

    def test_stream_without_event_numbers_is_not_resumed(self):
        """Guards against events that reach the caller twice."""

        async def break_off_unnumbered(exchange):
            await exchange.send_headers(200, [SEAL_HEADER])
            await exchange.send_body(b'data: words\n\n')
            exchange.writer.transport.abort()

        handlers = [break_off_unnumbered]

        async def handle(exchange):
            await (handlers.pop() if handlers else stream())(exchange)

        async def run():
            async with run_fleet(m1=handle, m2=handle) as fleet:
                answer = await fleet.call()
                assert answer.content == b'data: words\n\n'
                assert not answer.is_complete

        asyncio.run(run())
