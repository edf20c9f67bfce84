"""Decisions as lines of key=value pairs on standard output.

Writing never waits: what the reader of the pipe does not take is held up to
a bound and then dropped. Of lines that tell of calls which go well only so many
are written a second; refusals, failures and changes of belief always are. The
number of lines that were left out is written.
"""

import os
import select
import time
from collections import deque

import logbook
from attrs import define, field

from trefoilhinge.core.pairs import format_pairs

MAXIMUM_BUFFERED_LINES = 2_000  # about 400 kB while the reader stands still
WRITE_BYTES = 4_096  # a pipe that polls writable takes that many at once
MAXIMUM_ROUTINE_LINES_PER_S = (
    400  # three for each call at the size of two years
)
ANSWERED = 'answered'
ROUTINE_EVENTS = frozenset(('call_accepted', 'call_offered', 'call_waits'))


class PipeHandler(logbook.Handler):
    """Writes each record's message to a pipe, as far as its reader takes it."""

    def __init__(self, descriptor: int) -> None:
        """Prepare to ask whether the reader takes more."""
        super().__init__()
        self.dropped = 0
        self.buffered: deque[bytes] = deque()
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)

    def emit(self, record: logbook.LogRecord) -> None:
        """Take a record."""
        if len(self.buffered) >= MAXIMUM_BUFFERED_LINES:
            self.dropped += 1
            return
        self.buffered.append(f'{record.message}\n'.encode('utf-8', 'replace'))
        self.flush()

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self.buffered and self._poll.poll(0):
            line = self.buffered.popleft()
            try:
                os.write(self._descriptor, line[:WRITE_BYTES])
            except OSError:
                # The reader is gone; nobody is left to be told why.
                self.dropped += 1
                return


@define
class EventLog:
    """Lines of one process."""

    instance: str
    descriptor: int = 1
    _handler: PipeHandler = field(init=False)
    _logger: logbook.Logger = field(init=False)
    _window_s: int = 0
    _routine_lines: int = 0

    def __attrs_post_init__(self) -> None:
        """Make the logger of this process."""
        self._handler = PipeHandler(self.descriptor)
        self._logger = logbook.Logger('trefoilhinge.gateway')
        self._logger.handlers.append(self._handler)

    @property
    def buffered_lines(self) -> int:
        """Return the lines that the reader did not take yet."""
        return len(self._handler.buffered)

    def write(self, event: str, **fields: object) -> None:
        """Write one event; never waits."""
        now_s = time.time()
        if self._exceeds_rate(event, fields, int(now_s)):
            self._handler.dropped += 1
            return
        pairs = (
            ('at', f'{now_s:.3f}'),
            ('instance', self.instance),
            ('event', event),
            *fields.items(),
        )
        self._logger.info(format_pairs(pairs))

    def flush(self) -> None:
        """Write what the reader takes now, and how much was left out."""
        self._handler.flush()
        dropped = self._handler.dropped
        if dropped and not self._handler.buffered:
            self._handler.dropped = 0
            self.write('lines_dropped', count=dropped)

    def _exceeds_rate(
        self, event: str, fields: dict[str, object], second: int
    ) -> bool:
        """Return whether a line is one of too many that tell little."""
        if event not in ROUTINE_EVENTS and fields.get('outcome') != ANSWERED:
            return False
        if second != self._window_s:
            self._window_s = second
            self._routine_lines = 0
        self._routine_lines += 1
        return self._routine_lines > MAXIMUM_ROUTINE_LINES_PER_S
