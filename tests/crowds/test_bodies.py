"""Tests of the memory of a process while crowds send bodies."""

import asyncio

import pytest

from tests.crowds.clients import (
    make_chunked,
    make_whole,
    repeat_forever,
    run_crowd,
    wait_for_ends,
)
from tests.crowds.processes import BODY_BYTES, run_process
from tests.gateway.targets import reply

CROWD = 600
WAVES = 3
LONG_BYTES = 3_900_000
CHUNK = b'.' * 65_536
PIECES = 60
PIECE = b'.' * 1_000
OVER_BYTES = 8 * BODY_BYTES
ANNOUNCED_BYTES = 1_000_000_000


async def answer_ordinary(exchange):
    """Answer ordinary calls only, and those of the crowd never."""
    if exchange.headers['x-request-id'].startswith('crowd'):
        await asyncio.sleep(60)
    await reply(200, b'served')(exchange)


CROWDS = {
    'whole': make_whole(LONG_BYTES),
    'large chunks': make_chunked(CHUNK, PIECES),
    'small chunks': make_chunked(PIECE, LONG_BYTES // len(PIECE)),
    'complete': make_whole(LONG_BYTES, LONG_BYTES),
    'complete with an unknown key': make_whole(
        LONG_BYTES, LONG_BYTES, Api_Key='key-9'
    ),
    'over the limit': make_chunked(
        CHUNK, OVER_BYTES // len(CHUNK), b'0\r\n\r\n'
    ),
}


class TestMemory:
    """Guards against a process that takes more than its memory."""

    @pytest.mark.parametrize('name', CROWDS)
    def test_crowd_in_waves(self, tmp_path, name):
        async def run():
            async with run_process(
                tmp_path, handlers={'d1': answer_ordinary}
            ) as process:
                entry = process.listeners['entry']
                for _ in range(WAVES):
                    async with run_crowd(entry, CROWD, CROWDS[name]):
                        await process.check()
                    await process.check()

        asyncio.run(run())

    def test_crowd_that_sends_without_end(self, tmp_path):
        async def run():
            def make_pieces(number):
                (head, chunks) = make_chunked(CHUNK, 1)(number)
                yield head
                yield from repeat_forever(chunks)

            async with run_process(tmp_path) as process:
                entry = process.listeners['entry']
                async with run_crowd(entry, CROWD, make_pieces):
                    await process.check()
                await process.check()

        asyncio.run(run())

    def test_limits_change_while_bodies_arrive(self, tmp_path):
        """Smaller limits, and larger ones, apply without a larger peak."""

        async def run():
            async with run_process(tmp_path) as process:
                entry = process.listeners['entry']
                crowd = run_crowd(entry, CROWD, CROWDS['whole'], limit_s=2)
                async with crowd:
                    process.put_limits(2, maxBodyBytes=1_000_000)
                    await asyncio.sleep(1)
                    process.put_limits(3, maxBodyBytes=2 * BODY_BYTES)
                    await asyncio.sleep(1)
                    await process.check()
                await process.check()

        asyncio.run(run())


class TestRefusals:
    """Guards against refusals that do not reach their callers."""

    CROWD = 60

    def check_refusals(self, tmp_path, make_pieces, statuses):
        """Check that all of a crowd get a whole refusal."""

        async def run():
            async with run_process(tmp_path) as process:
                entry = process.listeners['entry']
                async with run_crowd(entry, self.CROWD, make_pieces) as clients:
                    await wait_for_ends(clients)
                    assert not [one for one in clients if one.is_reset]
                    assert {one.status for one in clients} <= statuses
                await process.check()

        asyncio.run(run())

    def test_crowd_that_stops_before_the_end(self, tmp_path):
        self.check_refusals(tmp_path, CROWDS['whole'], {408, 503})

    def test_crowd_in_chunks_without_the_last(self, tmp_path):
        self.check_refusals(tmp_path, CROWDS['large chunks'], {408, 503})

    def test_announced_body_over_the_limit(self, tmp_path):
        """It is refused for its length, before any of it is read."""
        announce = make_whole(ANNOUNCED_BYTES, 0)
        self.check_refusals(tmp_path, announce, {413})

    def test_announced_body_of_which_a_part_is_sent(self, tmp_path):
        announce = make_whole(ANNOUNCED_BYTES, LONG_BYTES)
        self.check_refusals(tmp_path, announce, {413})

    def test_body_over_the_limit_that_waits_to_be_asked_for(self, tmp_path):
        """The caller is not asked to send what can only be refused."""
        announce = make_whole(ANNOUNCED_BYTES, 0, Expect='100-continue')
        self.check_refusals(tmp_path, announce, {413})

    def test_body_of_an_unknown_key_is_refused_before_it_is_read(
        self, tmp_path
    ):
        announce = make_whole(LONG_BYTES, 0, Api_Key='key-9')
        self.check_refusals(tmp_path, announce, {401})

    def test_body_without_a_route_is_refused_before_it_is_read(self, tmp_path):
        announce = make_whole(LONG_BYTES, 0, path='/nowhere/1')
        self.check_refusals(tmp_path, announce, {404})
