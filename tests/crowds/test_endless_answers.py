"""Tests of the memory of a process whose target answers without end."""

import asyncio
import contextlib

import pytest

from tests.crowds.processes import DEADLINE_MS, run_process
from tests.gateway.fleets import make_call, read_answer
from tests.gateway.targets import reply, send_without_end, stream

CROWD = 150
FILLER = b'x' * 65_536
HEAD = b'HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
LONG_CHUNK = b'10000\r\n' + FILLER + b'\r\n'
EXTENDED_CHUNK = b'1;x=' + b'y' * 4_000 + b'\r\nz\r\n'
# Begin of the answer and what follows without end.
ENDLESS = {
    'body': (HEAD + b'\r\n', FILLER),
    'body of a stated length': (
        HEAD + b'Content-Length: 99999999999\r\n\r\n',
        FILLER,
    ),
    'chunks': (CHUNKED, LONG_CHUNK),
    'chunks with long extensions': (CHUNKED, EXTENDED_CHUNK * 16),
    'event': (HEAD + b'\r\ndata: ', FILLER),
    'headers': (HEAD, b'X-Many: 1\r\n' * 5_000),
}
# Of calls whose target sends without end; the deadline is 8 s.
ANSWER_LIMIT_S = 6


async def call_in_crowd(process, path, number):
    """Make a call; return its answer."""
    reader, writer = await asyncio.open_connection(*process.listeners['entry'])
    method = 'GET' if path.startswith('/look') else 'POST'
    writer.write(
        make_call(
            path, method, X_Request_Id=f'crowd-{number}', X_Deadline=DEADLINE_MS
        )
    )
    try:
        return await read_answer(reader)
    finally:
        writer.close()


async def call_at_once(process, path):
    """Make the calls of a crowd at once; return their answers."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(ANSWER_LIMIT_S):
            return await asyncio.gather(
                *(call_in_crowd(process, path, one) for one in range(CROWD))
            )
    raise AssertionError(f'calls are held for over {ANSWER_LIMIT_S} s')


@pytest.mark.parametrize('name', ENDLESS)
class TestMemory:
    """Guards against a process that ends for lack of memory.

    Each answer has a limit, but the sum over all calls had none.
    """

    @pytest.mark.parametrize('path', ['/book/1', '/look/1', '/stream/1'])
    def test_crowd_of_calls_to_a_target_that_sends_without_end(
        self, tmp_path, name, path
    ):
        async def run():
            endless = send_without_end(*ENDLESS[name])
            prefix = 'm' if path == '/stream/1' else 'd'
            whole = stream() if prefix == 'm' else reply(200, b'served')
            handlers = {f'{prefix}1': endless, f'{prefix}2': whole}
            async with run_process(tmp_path, handlers=handlers) as process:
                answers = await call_at_once(process, path)
                assert process.read_peak_mb() <= process.memory_mb
                statuses = {answer.status for answer in answers}
                assert statuses <= {200, 502, 503}
                assert not [
                    answer
                    for answer in answers
                    if answer.status == 200
                    and answer.is_complete
                    and b'xxx' in answer.content
                ]

        asyncio.run(run())
