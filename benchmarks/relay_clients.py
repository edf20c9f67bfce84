"""Callers of the relay benchmark and the usage of the measured process."""

import json
import os
import pathlib
import threading
import time

import urllib3
from attrs import define, field

OUTPUT_TOKENS = 100_000
READ_BUFFER_BYTES = 65536
CLOCK_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
BYTES_PER_KIB = 1024
EVENT_PREFIX = b'data: '


@define
class ProcessUsage:
    """CPU time and memory of a process."""

    _pid: int

    def read_cpu_s(self) -> float:
        """Return the user and system CPU time used so far, in seconds."""
        text = pathlib.Path(f'/proc/{self._pid}/stat').read_text()
        fields = text.rpartition(')')[2].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S

    def read_rss_kib(self) -> int:
        """Return the resident memory in KiB."""
        text = pathlib.Path(f'/proc/{self._pid}/statm').read_text()
        pages = int(text.split()[1])
        return pages * os.sysconf('SC_PAGE_SIZE') // BYTES_PER_KIB


@define
class Caller:
    """Caller that reads one stream until it is told to stop.

    :ivar tokens: number of events received.
    :ivar gaps_s: seconds between two reads.
    :ivar started: set once the first data arrived.
    :ivar stopping: set to stop the caller.
    """

    _url: str
    _key: str
    tokens: int = 0
    gaps_s: list[float] = field(factory=list)
    started: threading.Event = field(factory=threading.Event)
    stopping: threading.Event = field(factory=threading.Event)

    def run(self) -> None:
        """Open a stream and count its events until told to stop."""
        body = {
            'model': 'relay',
            'prompt': 'x',
            'stream': True,
            'max_tokens': OUTPUT_TOKENS,
        }
        response = urllib3.PoolManager(retries=False).request(
            'POST',
            f'{self._url}/v1/completions',
            body=json.dumps(body).encode(),
            headers={'Authorization': f'Bearer {self._key}'},
            preload_content=False,
        )
        last_s = time.monotonic()
        while not self.stopping.is_set():
            chunk = response.read1(READ_BUFFER_BYTES)
            now_s = time.monotonic()
            self.gaps_s.append(now_s - last_s)
            last_s = now_s
            self.tokens += chunk.count(EVENT_PREFIX)
            self.started.set()
        response.close()
