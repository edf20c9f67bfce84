"""Decisions as lines of key=value pairs on standard output.

Writing never waits: what the reader of the pipe does not take is held up to
a bound and then dropped, and the number of dropped lines is written.
"""

import os
import select
import time
from collections import deque

from attrs import define, field

MAXIMUM_HELD_LINES = 2_000  # about 400 kB while the reader stands still
WRITE_BYTES = 4_096  # a pipe that polls writable takes that many at once
QUOTED = frozenset(' "=\n')


@define
class DecisionLog:
    """Lines of one process."""

    instance: str
    descriptor: int = 1
    _held: deque[bytes] = field(factory=deque)
    _dropped: int = 0
    _poll: select.poll = field(factory=select.poll)

    def __attrs_post_init__(self) -> None:
        """Prepare to ask whether the reader takes more."""
        self._poll.register(self.descriptor, select.POLLOUT)

    def write(self, event: str, **fields: object) -> None:
        """Write one event; never waits."""
        words = [f'at={time.time():.3f}', f'instance={self.instance}']
        words.append(f'event={event}')
        words.extend(
            f'{name}={_format(value)}'
            for name, value in fields.items()
            if value is not None
        )
        if len(self._held) >= MAXIMUM_HELD_LINES:
            self._dropped += 1
            return
        line = f'{" ".join(words)}\n'
        self._held.append(line.encode('utf-8', 'replace'))
        self.flush()

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self._held and self._poll.poll(0):
            line = self._held.popleft()
            try:
                os.write(self.descriptor, line[:WRITE_BYTES])
            except OSError:
                self._dropped += 1
                return
        if self._dropped and not self._held:
            dropped = self._dropped
            self._dropped = 0
            self.write('lines_dropped', count=dropped)


def _format(value: object) -> str:
    if isinstance(value, float):
        return f'{value:.4g}'
    text = str(value)
    if text and QUOTED.isdisjoint(text):
        return text
    words = ' '.join(text.replace('"', "'").split())
    return f'"{words}"'
