"""Tests of a process while crowds send very small chunks."""

import asyncio

import pytest

from tests.crowds.clients import make_chunked, make_head, run_crowd
from tests.crowds.processes import BODY_BYTES, run_process

CHUNKS = 400_000
CHUNK = b'.'
# Sizes that differ from chunk to chunk.
MIXED = b'1\r\n.\r\n2\r\n..\r\n3\r\n...\r\n'


def make_mixed(number):
    """Return a request in small chunks of different sizes."""
    head = make_head(number, Transfer_Encoding='chunked')
    return [head, MIXED * (CHUNKS // 3)]


def make_extended(number):
    """Return a request whose chunks have long extensions."""
    head = make_head(number, Transfer_Encoding='chunked')
    return [head, (b'1;' + b'e' * 200 + b'\r\n.\r\n') * 20_000]


def make_trailers(number):
    """Return a request with trailers that never end."""
    head = make_head(number, Transfer_Encoding='chunked')
    return [
        head,
        b'0\r\n',
        b't: ' + b't' * 60 + b'\r\n' + b'u: v\r\n' * 200_000,
    ]


CROWDS = {
    'one byte each': make_chunked(CHUNK, CHUNKS),
    'up to three bytes': make_mixed,
    'extensions': make_extended,
    'trailers': make_trailers,
}


class TestSmallChunks:
    """Guards against a process that answers nobody while it reads chunks."""

    @pytest.mark.parametrize('count', [20, 100])
    @pytest.mark.parametrize('name', CROWDS)
    def test_crowd(self, tmp_path, name, count):
        async def run():
            async with run_process(tmp_path) as process:
                entry = process.listeners['entry']
                async with run_crowd(entry, count, CROWDS[name], limit_s=2):
                    await process.check()
                    ready = await process.get('readiness', '/ready')
                    assert ready.status == 200
                await process.check()

        asyncio.run(run())

    def test_pipelined_requests(self, tmp_path):
        """Small chunks also arrive behind the end of a request."""
        head = make_head(0, Transfer_Encoding='chunked', X_Request_Id='crowd')
        call = head + b'1\r\n.\r\n' * 10_000 + b'0\r\n\r\n'

        async def run():
            async with run_process(tmp_path) as process:
                entry = process.listeners['entry']
                async with run_crowd(
                    entry, 100, lambda number: [call] * 40, limit_s=2
                ):
                    await process.check()
                await process.check()

        asyncio.run(run())


class TestLegalBodies:
    """Guards against refusals of single requests inside the limits."""

    def check_served(self, tmp_path, make_pieces, gap_s=0):
        async def run():
            async with run_process(tmp_path) as process:
                reader, writer = await asyncio.open_connection(
                    *process.listeners['entry']
                )
                for piece in make_pieces(0):
                    writer.write(piece)
                    await writer.drain()
                    await asyncio.sleep(gap_s)
                assert b'200' in await reader.readline()
                writer.close()
                await process.check()

        asyncio.run(run())

    def test_largest_body_in_chunks_of_a_byte(self, tmp_path):
        """Guards against counting what frames a body as the body."""
        make_pieces = make_chunked(CHUNK, BODY_BYTES, b'0\r\n\r\n')
        self.check_served(tmp_path, make_pieces)

    def test_largest_body_whose_sender_is_slow(self, tmp_path):
        chunks = make_chunked(b'.' * (BODY_BYTES // 16), 1)(0)[1]

        def make_pieces(number):
            yield make_head(number, Transfer_Encoding='chunked')
            yield from [chunks] * 16
            yield b'0\r\n\r\n'

        self.check_served(tmp_path, make_pieces, gap_s=0.4)
