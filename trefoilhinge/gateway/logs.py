"""Log of events as lines of key=value pairs on standard output.

Writing never blocks: lines that the reader of the pipe does not take are
buffered up to a bound and then dropped. Routine lines of successful calls are
limited in rate; refusals, failures and changes of state are not. The number of
dropped lines is logged.
"""

import asyncio
import os
import select
import time
from collections import deque

import logbook
from attrs import define, field

from trefoilhinge.core.logfmt import format_pairs

MAXIMUM_BUFFERED_LINES = 2_000  # about 400 kB while the reader is stalled
WRITE_BYTES = 4_096  # a pipe that polls writable takes PIPE_BUF bytes
# Three lines for each call at the load expected in two years.
MAXIMUM_ROUTINE_LINES_PER_S = 400
MS_PER_S = 1_000
ANSWERED = 'answered'
ROUTINE_EVENTS = frozenset(
    (
        'call_accepted',
        'call_offered',
        'call_waits',
        'caller_shed',
        'permit_granted',
        'permit_refused',
    )
)


class PipeHandler(logbook.Handler):
    """Writes each record's message to a pipe without blocking.

    :ivar dropped: lines dropped since that was last logged.
    :ivar buffered: encoded lines that wait for the reader.
    """

    def __init__(self, descriptor: int) -> None:
        """Register the pipe for polls.

        :param descriptor: file descriptor of the pipe.
        """
        super().__init__()
        self.dropped = 0
        self.buffered: deque[bytes] = deque()
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)

    def emit(self, record: logbook.LogRecord) -> None:
        """Buffer a record and write what the pipe takes."""
        if len(self.buffered) >= MAXIMUM_BUFFERED_LINES:
            self.dropped += 1
            return
        self.buffered.append(f'{record.message}\n'.encode('utf-8', 'replace'))
        self.flush()

    def flush(self, limit_s: float = 0) -> None:
        """Write what the pipe takes now, or until a time has passed."""
        end_s = time.monotonic() + limit_s
        while self.buffered:
            left_s = max(0, end_s - time.monotonic())
            if not self._poll.poll(left_s * MS_PER_S):
                return
            line = self.buffered.popleft()
            try:
                os.write(self._descriptor, line[:WRITE_BYTES])
            except OSError:
                # The reader is gone, so there is nowhere to report it.
                self.dropped += 1
                return


@define
class EventLog:
    """Event log of one process."""

    instance: str
    descriptor: int = 1
    _handler: PipeHandler = field(init=False)
    _logger: logbook.Logger = field(init=False)
    _window_start_s: int = 0
    _routine_lines: int = 0

    def __attrs_post_init__(self) -> None:
        """Create the logger."""
        self._handler = PipeHandler(self.descriptor)
        self._logger = logbook.Logger('trefoilhinge.gateway')
        self._logger.handlers.append(self._handler)

    @property
    def buffered_lines(self) -> int:
        """Return the number of lines that wait for the reader."""
        return len(self._handler.buffered)

    def write(self, event: str, **fields: object) -> None:
        """Write one event without blocking.

        :param fields: values to log; those that are ``None`` are left out.
        """
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

    def write_task_end(self, task: asyncio.Task[None]) -> None:
        """Write why a background task failed."""
        problem = None if task.cancelled() else task.exception()
        if problem is not None:
            self.write(
                'task_failed',
                message=task.get_name(),
                problem=f'{type(problem).__name__}: {problem}',
            )

    def flush(self, limit_s: float = 0) -> None:
        """Write what the pipe takes, and the number of dropped lines.

        :param limit_s: seconds to wait for a reader that is slow.
        """
        self._handler.flush(limit_s)
        dropped = self._handler.dropped
        if dropped and not self._handler.buffered:
            self._handler.dropped = 0
            self.write('lines_dropped', count=dropped)

    def _exceeds_rate(
        self, event: str, fields: dict[str, object], second: int
    ) -> bool:
        """Return whether a routine line is over the limit of its second."""
        if event not in ROUTINE_EVENTS and fields.get('outcome') != ANSWERED:
            return False
        if second != self._window_start_s:
            self._window_start_s = second
            self._routine_lines = 0
        self._routine_lines += 1
        return self._routine_lines > MAXIMUM_ROUTINE_LINES_PER_S
