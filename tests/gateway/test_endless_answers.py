"""Tests of targets that send bytes until the caller closes."""

import asyncio
import time

import pytest

from tests.gateway.documents import HOST, find_port
from tests.gateway.fleets import run_fleet
from tests.gateway.targets import reply, send_without_end, stream
from trefoilhinge.gateway import http_client
from trefoilhinge.gateway.http_client import FetchFailed, fetch
from trefoilhinge.standins.http_listener import serve_http

FILLER = b'x' * 65_536
HEAD = b'HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\n'
INFORMATION = b'HTTP/1.1 102 Processing\r\n\r\n'
# Begin of the answer and what follows without end.
ENDLESS_ANSWERS = {
    'no answer': (b'', FILLER),
    'head': (HEAD + b'X-Long: ', FILLER),
    'headers': (HEAD, b'X-Many: 1\r\n' * 5000),
    'information': (b'', INFORMATION * 2000),
    'body': (HEAD + b'\r\n', FILLER),
    'body of a stated length': (
        HEAD + b'Content-Length: 99999999999\r\n\r\n',
        FILLER,
    ),
    'chunk': (
        HEAD + b'Transfer-Encoding: chunked\r\n\r\nFFFFFFFFFF\r\n',
        FILLER,
    ),
    'size of a chunk': (
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n',
        b'0' * 65_536,
    ),
    'chunks with long extensions': (
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n',
        b'1;x=' + b'y' * 4_000 + b'\r\nz\r\n',
    ),
    'trailers': (
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n0\r\n',
        b'X-Many: 1\r\n' * 5000,
    ),
}
# Far more than any answer here, and far less than an instance's memory.
MAXIMUM_SENT_BYTES = 40_000_000
MAXIMUM_DURATION_S = 1.5  # the deadline of the calls is 2.5 s


def parametrize_answers():
    return pytest.mark.parametrize(
        ('begin', 'filler'),
        ENDLESS_ANSWERS.values(),
        ids=ENDLESS_ANSWERS.keys(),
    )


class TestEndlessAnswers:
    """Guards against an instance that reads until its memory is used up."""

    @parametrize_answers()
    def test_idempotent_call_is_served_by_another_target(self, begin, filler):
        sent = []

        async def run():
            endless = send_without_end(begin, filler, sent)
            async with run_fleet(d1=endless, d2=reply(200, b'found')) as fleet:
                begin_s = time.monotonic()
                answers = [await fleet.call('/look/1', 'GET') for _ in range(2)]
                assert [one.content for one in answers] == [b'found'] * 2
                assert time.monotonic() - begin_s < MAXIMUM_DURATION_S

        asyncio.run(run())
        assert sum(sent) < MAXIMUM_SENT_BYTES

    @parametrize_answers()
    def test_call_that_may_have_run_fails_soon(self, begin, filler):
        sent = []

        async def run():
            endless = send_without_end(begin, filler, sent)
            async with run_fleet(d1=endless) as fleet:
                begin_s = time.monotonic()
                answer = await fleet.call('/book/1')
                assert answer.status == 502
                assert b'"may_have_run"' in answer.content
                assert time.monotonic() - begin_s < MAXIMUM_DURATION_S

        asyncio.run(run())
        assert sum(sent) < MAXIMUM_SENT_BYTES

    @parametrize_answers()
    def test_stream_goes_on_at_another_target(self, begin, filler):
        sent = []

        async def run():
            endless = send_without_end(begin, filler, sent)
            async with run_fleet(m1=endless, m2=stream()) as fleet:
                begin_s = time.monotonic()
                for _ in range(2):
                    answer = await fleet.call()
                    assert answer.is_complete
                    assert answer.content.count(b'id:') == 5
                assert time.monotonic() - begin_s < MAXIMUM_DURATION_S

        asyncio.run(run())
        assert sum(sent) < MAXIMUM_SENT_BYTES

    def test_order_that_is_answered_without_end_counts_as_unanswered(self):
        sent = []

        async def run():
            endless = send_without_end(HEAD + b'\r\n', FILLER, sent)
            handlers = {f'm{number}': stream() for number in range(1, 5)}
            async with run_fleet(**handlers) as fleet:
                for target in fleet.targets.values():
                    target.handle_order = endless
                answer = await fleet.call(**{'X-Token-Count': '300000,1300'})
                assert answer.status == 503

        asyncio.run(run())
        assert sum(sent) < MAXIMUM_SENT_BYTES

    @parametrize_answers()
    def test_response_to_an_own_read_is_given_up(
        self, monkeypatch, begin, filler
    ):
        sent = []
        monkeypatch.setattr(http_client, 'MAXIMUM_RESPONSE_BYTES', 1_000_000)

        async def run():
            port = find_port()
            server = await serve_http(
                HOST, port, send_without_end(begin, filler, sent)
            )
            try:
                await fetch((HOST, port), '/', 3)
            finally:
                server.close()

        begin_s = time.monotonic()
        with pytest.raises(FetchFailed):
            asyncio.run(run())
        assert time.monotonic() - begin_s < MAXIMUM_DURATION_S
        assert sum(sent) < MAXIMUM_SENT_BYTES
