"""Tests of the own interface's memory while a target answers without end."""

import asyncio
import contextlib
import json

import pytest

from tests.crowds.processes import read_peak_mb
from tests.crowds.test_own_interface import MEMORY_MB, EntryProcess
from tests.gateway.documents import HOST, find_port
from tests.gateway.fleets import read_answer
from tests.gateway.targets import send_without_end
from trefoilhinge.standins.http_listener import serve_http

CROWD = 60
TIME_LIMIT_S = 6
ANSWER_LIMIT_S = 20
FILLER = b'x' * 65_536
TYPE = b'Content-Type: application/json\r\n'
HEAD = b'HTTP/1.1 200 OK\r\n' + TYPE
# Begin of the answer and what follows without end.
ENDLESS = {
    'body': (HEAD + b'\r\n', FILLER),
    'body of a stated length': (
        HEAD + b'Content-Length: 99999999999\r\n\r\n',
        FILLER,
    ),
    'chunks': (
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n',
        b'10000\r\n' + FILLER + b'\r\n',
    ),
    'event': (HEAD + b'\r\ndata: ', FILLER),
    'headers': (HEAD, b'X-Many: 1\r\n' * 5_000),
}
CALLS = {
    'lookup': ('/services/desk/lookup', {'reference': 'r-1'}),
    'completion': (
        '/v1/completions',
        {'model': 'writer', 'prompt': 'tea', 'max_tokens': 8},
    ),
}


class EndlessTargetProcess(EntryProcess):
    """A process of the own interface with one target for each service."""

    ports = ()

    def edit_document(self, document):
        for service, port in zip(document['services'], self.ports, strict=True):
            service['minimum_ready'] = 1
            service['targets'] = service['targets'][:1]
            service['targets'][0]['address'] = f'{HOST}:{port}'


async def call_in_crowd(process, kind):
    """Make a call; return its answer."""
    path, fields = CALLS[kind]
    body = json.dumps(fields).encode()
    reader, writer = await asyncio.open_connection(
        *process.listeners['callers']
    )
    head = process.make_head('POST', path)
    head += b'X-Time-Limit-S: %d\r\n' % TIME_LIMIT_S
    head += b'Content-Length: %d\r\n\r\n' % len(body)
    writer.write(head + body)
    try:
        return await read_answer(reader)
    finally:
        writer.close()


@contextlib.asynccontextmanager
async def run_process(folder, name):
    """Run endless targets, and a process that knows no others."""
    process = EndlessTargetProcess(folder)
    process.ports = [find_port(), find_port()]
    endless = send_without_end(*ENDLESS[name])
    servers = [await serve_http(HOST, port, endless) for port in process.ports]
    try:
        await process.start()
        yield process
    finally:
        await process.end()
        for server in servers:
            server.close()


@pytest.mark.parametrize('name', ENDLESS)
@pytest.mark.parametrize('kind', CALLS)
class TestMemory:
    """Guards against a process that ends for lack of memory."""

    def test_crowd_of_calls_to_a_target_that_sends_without_end(
        self, tmp_path, kind, name
    ):
        async def run():
            async with run_process(tmp_path, name) as process:
                async with asyncio.timeout(ANSWER_LIMIT_S):
                    answers = await asyncio.gather(
                        *(call_in_crowd(process, kind) for _ in range(CROWD))
                    )
                assert read_peak_mb(process.process) <= MEMORY_MB
                assert not [one for one in answers if one.status == 200]
                await process.check()

        asyncio.run(run())
