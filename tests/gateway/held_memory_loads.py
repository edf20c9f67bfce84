"""Peak memory of a gateway process whose callers send much or read nothing.

``python -m tests.gateway.held_memory_loads 200 send 60``: memory in MB (0: unknown),
``send`` (all but the last byte of a request), ``read`` (nothing of an answer)
or ``idle`` (20 bytes of a request), and the number of callers.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import subprocess
import sys
import tempfile

from tests.gateway.documents import HOST, find_port, make_document
from tests.gateway.fleets import make_call
from tests.gateway.stores import StoreStandIn
from tests.gateway.targets import TargetStandIn, reply
from tests.gateway.test_slow_readers import open_slow_connection
from trefoilhinge.platform.settings import SETTINGS_PATH_VARIABLE
from trefoilhinge.platform.standins import formats

BODY = b'.' * 3_900_000
START_S = 2
LOAD_S = 8
UNREAD_S = 6
PORTS = 24  # of an instance
LIMITS = {'maxBodyBytes': 4_194_304, 'headerTimeoutMs': 5_000}


async def send_part(entry, length):
    """Send the first bytes of a request and await a refusal."""
    reader, _writer = await asyncio.open_connection(*entry)
    _writer.write(make_call('/book/1', body=BODY)[:length])
    await reader.read()


async def read_nothing(entry):
    """Make a call and leave its answer unread."""
    async with open_slow_connection(entry) as (_reader, writer):
        writer.write(make_call('/look/1', 'GET', X_Deadline='9000'))
        await asyncio.sleep(UNREAD_S)


async def call(mode, entry):
    """Act as one caller."""
    with contextlib.suppress(OSError):
        if mode == 'read':
            await read_nothing(entry)
        else:
            await send_part(entry, -1 if mode == 'send' else 20)


def read_peak_mb(process):
    """Return the peak of the resident memory of a process."""
    status = pathlib.Path(f'/proc/{process.pid}/status').read_text()
    (line,) = [one for one in status.splitlines() if one.startswith('VmHWM')]
    return int(line.split()[1]) // 1024


async def measure(memory_mb, mode, callers):
    """Print the peak with a number of callers at once."""
    store = StoreStandIn()
    await store.start()
    target = TargetStandIn('d1', reply(200, BODY))
    await target.start()
    store.put_target('d1', target.address, 'desk')
    limits = {**make_document()['limits'], **LIMITS}
    store.put('op/config', make_document(limits=limits))
    first_port = find_port()
    for _ in range(PORTS):
        find_port()
    text = formats.encode_settings(
        'entry', HOST, f'{HOST}:{store.port}', [], first_port
    )
    fields = {**json.loads(text), 'limits': {'memoryMb': memory_mb}}
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / 'settings.json'
        path.write_text(json.dumps(fields))
        log_path = pathlib.Path(folder) / 'log'
        with log_path.open('wb') as log:
            process = subprocess.Popen(
                [sys.executable, '-m', 'trefoilhinge.gateway'],
                env={**os.environ, SETTINGS_PATH_VARIABLE: str(path)},
                stdout=log,
            )
        try:
            await asyncio.sleep(START_S)
            before_mb = read_peak_mb(process)
            tasks = [
                asyncio.ensure_future(call(mode, (HOST, first_port)))
                for _ in range(callers)
            ]
            await asyncio.sleep(LOAD_S)
            shed = log_path.read_text().count('event=caller_shed')
            print(
                f'{callers} callers, {mode}, memory {memory_mb} MB:'
                f' {before_mb} MB before, {read_peak_mb(process)} MB at the'
                f' peak, {shed} shed'
            )
        finally:
            process.kill()
            for task in tasks:
                task.cancel()


if __name__ == '__main__':
    asyncio.run(measure(int(sys.argv[1]), sys.argv[2], int(sys.argv[3])))
