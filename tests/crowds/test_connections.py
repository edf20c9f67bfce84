"""Tests of a process while crowds hold connections open."""

import asyncio
import signal

import pytest

from tests.crowds.clients import make_chunked, make_head, make_whole, run_crowd
from tests.crowds.processes import GRACE_S, run_process
from tests.gateway.fleets import make_call, read_answer

DESCRIPTORS = 300
CROWD = 400
KEPT = 100
EXIT_LIMIT_S = 60  # on a starved machine
CROWDS = {
    'nothing': lambda number: [],
    'a part of a head': lambda number: [make_head(number)[:-2]],
    'a part of a body': make_whole(1_000),
    'a body without its last chunk': make_chunked(b'.', 10),
}
LISTENERS = ('readiness', 'control', 'metrics', 'peers', 'relay')
CHUNKS = 400_000


class TestDescriptors:
    """Guards against callers who take all descriptors of a process."""

    @pytest.mark.parametrize('name', CROWDS)
    def test_crowd_that_stays_open(self, tmp_path, name):
        async def run():
            async with run_process(
                tmp_path, descriptors=DESCRIPTORS
            ) as process:
                entry = process.listeners['entry']
                for _ in range(2):
                    async with run_crowd(entry, CROWD, CROWDS[name], limit_s=2):
                        await process.check()
                        assert process.count_descriptors() < DESCRIPTORS
                        ready = await process.get('readiness', '/ready')
                        assert ready.status == 200
                    await process.check()

        asyncio.run(run())

    def test_connections_kept_idle_within_the_limits_are_served(self, tmp_path):
        async def run():
            async with run_process(tmp_path) as process:
                kept = [
                    await asyncio.open_connection(*process.listeners['entry'])
                    for _ in range(KEPT)
                ]
                for _ in range(2):
                    for reader, writer in kept:
                        writer.write(make_call('/book/1', body=b'a body'))
                        assert (await read_answer(reader)).status == 200
                    await asyncio.sleep(1)
                for _reader, writer in kept:
                    writer.close()
                await process.check()

        asyncio.run(run())


class TestOtherListeners:
    """Guards against crowds at listeners that are not for callers."""

    @pytest.mark.parametrize('name', ['nothing', 'a part of a head'])
    @pytest.mark.parametrize('listener', LISTENERS)
    def test_crowd_that_stays_open(self, tmp_path, listener, name):
        async def run():
            async with run_process(
                tmp_path, descriptors=DESCRIPTORS
            ) as process:
                address = process.listeners[listener]
                async with run_crowd(address, CROWD, CROWDS[name], limit_s=2):
                    await process.check()
                    ready = await process.get('readiness', '/ready')
                    assert ready.status == 200
                await process.check()

        asyncio.run(run())

    @pytest.mark.parametrize('listener', LISTENERS)
    def test_crowd_that_sends_small_chunks(self, tmp_path, listener):
        make_pieces = make_chunked(b'.', CHUNKS)

        async def run():
            async with run_process(tmp_path) as process:
                address = process.listeners[listener]
                async with run_crowd(address, 20, make_pieces, limit_s=2):
                    await process.check()
                    ready = await process.get('readiness', '/ready')
                    assert ready.status == 200
                await process.check()

        asyncio.run(run())

    @pytest.mark.parametrize('listener', LISTENERS)
    def test_crowd_that_sends_long_bodies(self, tmp_path, listener):
        async def run():
            async with run_process(tmp_path) as process:
                address = process.listeners[listener]
                crowd = run_crowd(address, CROWD, make_whole(3_900_000))
                async with crowd:
                    await process.check()
                await process.check()

        asyncio.run(run())


class TestStop:
    """Guards against an exit that waits for what never arrives."""

    @pytest.mark.parametrize('name', CROWDS)
    def test_crowd_does_not_delay_the_exit(self, tmp_path, name):
        async def run():
            async with run_process(tmp_path) as process:
                entry = process.listeners['entry']
                async with run_crowd(entry, CROWD, CROWDS[name], limit_s=2):
                    process.process.send_signal(signal.SIGTERM)
                    answer = await process.call()
                    assert answer.status in {200, 503}
                    async with asyncio.timeout(GRACE_S + EXIT_LIMIT_S):
                        status = await process.process.wait()
                assert status == 0
                assert 'Traceback' not in process.read_log()

        asyncio.run(run())
