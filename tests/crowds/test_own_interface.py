"""Tests of a process of the own interface under crowds."""

import asyncio
import json
import os
import pathlib
import sys

import attrs
import pytest

from tests.crowds.clients import READ_LIMIT_S, run_crowd, wait_for_ends
from tests.crowds.processes import (
    POLL_S,
    START_LIMIT_S,
    LimitedProcess,
    read_peak_mb,
)
from tests.gateway.fleets import read_answer
from trefoilhinge.conf.generated.settings import Settings
from trefoilhinge.demo.deployment import add_key, find_free_port

EXAMPLE = pathlib.Path(__file__).parents[2] / 'examples' / 'kandy.json'
MEMORY_MB = 300
CONNECTIONS = 128
BODY_BYTES = 4_000_000
LONG_BYTES = 3_900_000
CHUNKS = 200_000
CROWD = 200
# A client gives up a connection after that.
PATIENCE_S = 15


class EntryProcess(LimitedProcess):
    """A process of the own interface that serves a document."""

    async def start(self):
        """Start the process; wait until it is ready."""
        document = json.loads(EXAMPLE.read_text())
        self.key = add_key(document['organisations'][0])
        self.edit_document(document)
        document_file = self.folder / 'document.json'
        document_file.write_text(json.dumps(document))
        self.port = find_free_port()
        self.peer_port = find_free_port()
        flags = {
            'instance': 'entry-1',
            'failure_domain': 'kandy',
            'listen': f'127.0.0.1:{self.port}',
            'peer_listen': f'127.0.0.1:{self.peer_port}',
            'configuration_url': f'http://127.0.0.1:{find_free_port()}/none',
            'instances_url': f'http://127.0.0.1:{find_free_port()}/none',
            'document_file': document_file,
            'peer_secret': 'f' * 32,
            'start_wait_s': 0.2,
            'stop_wait_s': 0.2,
            'maximum_connections': CONNECTIONS,
            'maximum_body_bytes': BODY_BYTES,
        }
        # Releases without this setting have no bound at all.
        if 'memory_mb' in attrs.fields_dict(Settings):
            flags['memory_mb'] = MEMORY_MB
        with (self.folder / 'log').open('wb') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *('-m', 'trefoilhinge', 'entry'),
                *(f'--{name}={value}' for name, value in flags.items()),
                env=os.environ,
                stdout=log,
                stderr=log,
            )
        async with asyncio.timeout(START_LIMIT_S):
            while True:
                assert self.process.returncode is None, self.read_log()
                try:
                    if (await self.call()).status == 200:
                        return
                except OSError:
                    await asyncio.sleep(POLL_S)

    def edit_document(self, document):
        """Change the document before it is served."""

    @property
    def listeners(self):
        return {
            'callers': ('127.0.0.1', self.port),
            'peers': ('127.0.0.1', self.peer_port),
        }

    async def call(self, **headers):
        """Ask for the models; return the answer."""
        reader, writer = await asyncio.open_connection(
            *self.listeners['callers']
        )
        writer.write(self.make_head('GET', '/v1/models') + b'\r\n')
        try:
            async with asyncio.timeout(PATIENCE_S):
                return await read_answer(reader)
        finally:
            writer.close()

    def make_head(self, method, path):
        return (
            f'{method} {path} HTTP/1.1\r\nHost: h\r\n'
            f'Authorization: Bearer {self.key}\r\n'
        ).encode()

    async def check(self):
        """Check that the process lives within its limits and serves."""
        answer = await self.call()
        assert read_peak_mb(self.process) <= MEMORY_MB
        assert answer.status == 200
        assert b'writer' in answer.content


def run(tmp_path, check):
    """Run a check with a process."""

    async def run_check():
        process = EntryProcess(tmp_path)
        try:
            await process.start()
            await check(process)
        finally:
            await process.end()

    asyncio.run(run_check())


def make_factory(process, kind):
    """Return a factory of the pieces that a client sends."""
    head = process.make_head('POST', '/v1/completions')
    chunked = head + b'Transfer-Encoding: chunked\r\n\r\n'
    whole = head + b'Content-Length: %d\r\n\r\n' % LONG_BYTES
    chunk = b'%x\r\n%b\r\n' % (65_536, b'.' * 65_536)
    pieces = {
        'small chunks': [chunked, b'1\r\n.\r\n' * CHUNKS],
        'large chunks': [chunked, *[chunk] * 59],
        'whole': [whole, b'.' * (LONG_BYTES - 1)],
        'a part of a head': [head],
        'a part of a body': [whole, b'.'],
        'nothing': [],
    }[kind]
    return lambda number: pieces


@pytest.mark.parametrize('listener', ['callers', 'peers'])
class TestCrowds:
    """Guards against a process that hangs or takes too much memory."""

    @pytest.mark.parametrize(
        'kind',
        [
            'small chunks',
            'large chunks',
            'whole',
            'a part of a head',
            'a part of a body',
            'nothing',
        ],
    )
    def test_crowd(self, tmp_path, listener, kind):
        async def check(process):
            address = process.listeners[listener]
            factory = make_factory(process, kind)
            for _ in range(2):
                async with run_crowd(address, CROWD, factory, limit_s=3):
                    await process.check()
                await process.check()

        run(tmp_path, check)


class TestRefusals:
    """Guards against refusals that do not reach their callers."""

    def test_announced_body_over_the_limit(self, tmp_path):
        async def check(process):
            head = process.make_head('POST', '/v1/completions')
            head += b'Content-Length: %d\r\n\r\n' % (10 * BODY_BYTES)
            async with run_crowd(
                process.listeners['callers'],
                40,
                lambda number: [head, b'.' * 500_000],
            ) as clients:
                await wait_for_ends(clients, READ_LIMIT_S)
                assert not [one for one in clients if one.is_reset]
                assert {one.status for one in clients} <= {413}
            await process.check()

        run(tmp_path, check)


class TestLegalBodies:
    """Guards against refusals of single requests inside the limits."""

    def test_largest_body_in_chunks_of_a_byte(self, tmp_path):
        async def check(process):
            head = process.make_head('POST', '/v1/nothing')
            reader, writer = await asyncio.open_connection(
                *process.listeners['callers']
            )
            writer.write(head + b'Transfer-Encoding: chunked\r\n\r\n')
            for _ in range(BODY_BYTES // 1_000):
                writer.write(b'1\r\n.\r\n' * 1_000)
                await writer.drain()
            writer.write(b'0\r\n\r\n')
            answer = await read_answer(reader)
            # It is read whole; what it asks for does not exist.
            assert answer.status == 404
            await process.check()

        run(tmp_path, check)
