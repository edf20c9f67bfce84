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

from trefoilhinge.core.logfmt import format_pairs

MAXIMUM_HELD_LINES = 2_000  # about 400 kB while the reader stands still
WRITE_BYTES = 4_096  # a pipe that polls writable takes that many at once
UNEVENTFUL_A_SECOND = 400  # three for each call at the size of two years
ANSWERED = 'answered'
UNEVENTFUL = frozenset(('call_accepted', 'call_offered', 'call_waits'))


class PipeHandler(logbook.Handler):
    """Writes each record's message to a pipe, as far as its reader takes it."""

    def __init__(self, descriptor: int) -> None:
        """Prepare to ask whether the reader takes more."""
        super().__init__()
        self.dropped = 0
        self.held: deque[bytes] = deque()
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)

    def emit(self, record: logbook.LogRecord) -> None:
        """Take a record."""
        if len(self.held) >= MAXIMUM_HELD_LINES:
            self.dropped += 1
            return
        self.held.append(f'{record.message}\n'.encode('utf-8', 'replace'))
        self.flush()

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self.held and self._poll.poll(0):
            line = self.held.popleft()
            try:
                os.write(self._descriptor, line[:WRITE_BYTES])
            except OSError:
                # The reader is gone; nobody is left to be told why.
                self.dropped += 1
                return


@define
class DecisionLog:
    """Lines of one process."""

    instance: str
    descriptor: int = 1
    _handler: PipeHandler = field(init=False)
    _logger: logbook.Logger = field(init=False)
    _second: int = 0
    _uneventful: int = 0

    def __attrs_post_init__(self) -> None:
        """Make the logger of this process."""
        self._handler = PipeHandler(self.descriptor)
        self._logger = logbook.Logger('trefoilhinge.gateway')
        self._logger.handlers.append(self._handler)

    @property
    def held_lines(self) -> int:
        """Return the lines that the reader did not take yet."""
        return len(self._handler.held)

    def write(self, event: str, **fields: object) -> None:
        """Write one event; never waits."""
        now_s = time.time()
        if self._is_over(event, fields, int(now_s)):
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
        if dropped and not self._handler.held:
            self._handler.dropped = 0
            self.write('lines_dropped', count=dropped)

    def _is_over(
        self, event: str, fields: dict[str, object], second: int
    ) -> bool:
        """Return whether a line is one of too many that tell little."""
        if event not in UNEVENTFUL and fields.get('outcome') != ANSWERED:
            return False
        if second != self._second:
            self._second = second
            self._uneventful = 0
        self._uneventful += 1
        return self._uneventful > UNEVENTFUL_A_SECOND
