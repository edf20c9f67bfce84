"""Relay a target's answer to the caller, complete or visibly truncated."""

from collections.abc import Callable

from attrs import define

from trefoilhinge.dispatch.calls import AnswerHead
from trefoilhinge.dispatch.event_order import EventRun, EventsMisnumbered
from trefoilhinge.dispatch.events import EventSplitter, StreamEvent
from trefoilhinge.gateway.caller_connections import CallerConnection
from trefoilhinge.gateway.progress import CallProgress
from trefoilhinge.gateway.refusals import (
    NOT_RUN_STATUSES,
    CallFailed,
    Refusal,
    make_unmarked_refusal,
)
from trefoilhinge.gateway.target_connections import (
    AnswerBroken,
    TargetConnection,
)

MAXIMUM_EVENT_BYTES = 1_048_576  # of one event of a stream

EventCallback = Callable[[], None]


class StreamMisnumbered(AnswerBroken):
    """The numbers of a stream's events are wrong."""


@define
class AnswerRelay:
    """Relays one caller's answer, from one target or several in succession."""

    _caller: CallerConnection
    _progress: CallProgress
    _held_bytes: int = 0  # of events that are not written yet

    async def send_complete(
        self, head: AnswerHead, content: bytes, *, is_repeatable: bool
    ) -> None:
        """Send an answer whose content is complete.

        :param is_repeatable: whether the call may run more than once.
        :raises CallFailed: another answer was already started, or the status
            would tell the caller that a call has not run which may have.
        """
        if self._progress.has_started:
            raise CallFailed(
                Refusal(502, 'stream_lost', 'may_have_run', 'no answer')
            )
        if head.status in NOT_RUN_STATUSES and not is_repeatable:
            raise CallFailed(make_unmarked_refusal(head.status))
        self._progress.status = head.status
        self._progress.has_started = True
        await self._caller.send_complete(
            head.status, list(head.forwarded_headers), content
        )

    def hold(self, count: int) -> None:
        """Count bytes of an answer that are held for the caller."""
        self._caller.hold(count)

    async def relay_stream(
        self,
        connection: TargetConnection,
        head: AnswerHead,
        on_event: EventCallback,
        *,
        is_resumable: bool,
    ) -> None:
        """Relay the complete events of a stream as they arrive, to its end.

        Events that the caller already has are dropped.

        :param on_event: called before new events are sent.
        :param is_resumable: whether another run may go on with the stream.
        :raises AnswerBroken: the stream ended early, its event numbers are
            wrong, or an event is longer than ``MAXIMUM_EVENT_BYTES``. Without a
            length, one that ends before its first event has ended early. An
            answer that does not go on with a stream that has begun is broken
            as well.
        """
        is_resumed = self._progress.has_started
        if is_resumed and head.status != self._progress.status:
            raise AnswerBroken(f'status {head.status} of a resumed stream')
        splitter = EventSplitter()
        run = EventRun(
            self._progress.position,
            is_continued=is_resumed,
            is_resumable=is_resumable,
        )
        try:
            await self._relay_events(connection, head, on_event, splitter, run)
        finally:
            self._count_held(0)
        if splitter.remainder:
            raise AnswerBroken('stream ended within an event')
        if head.ends_with_connection and not run.has_events:
            raise AnswerBroken('connection ended before the first event')
        _check_end(run)
        self._start_answer(head)
        await self._caller.finish()

    async def _relay_events(
        self,
        connection: TargetConnection,
        head: AnswerHead,
        on_event: EventCallback,
        splitter: EventSplitter,
        run: EventRun,
    ) -> None:
        """Relay the events of a run."""
        async for chunk in connection.read_content():
            events = splitter.split(chunk)
            if events:
                connection.record_progress()
            new_events = _select(run, events)
            self._count_held(len(splitter.remainder) + run.held_bytes)
            if new_events:
                self._start_answer(head)
                on_event()
                self._write(run, new_events)
                connection.waits_for_caller = True
                await self._caller.drain()
                connection.waits_for_caller = False
                connection.record_progress()
            if len(splitter.remainder) > MAXIMUM_EVENT_BYTES:
                raise AnswerBroken(
                    f'event is longer than {MAXIMUM_EVENT_BYTES} bytes'
                )

    def _count_held(self, count: int) -> None:
        """Count the bytes that are held of events, complete or not."""
        self.hold(count - self._held_bytes)
        self._held_bytes = count

    def _start_answer(self, head: AnswerHead) -> None:
        if not self._progress.has_started:
            self._progress.has_started = True
            self._progress.status = head.status
            self._caller.start_answer(head.status, list(head.forwarded_headers))

    def _write(self, run: EventRun, events: list[StreamEvent]) -> None:
        """Write events to the caller, who has them from here on."""
        self._caller.write(b''.join(event.content for event in events))
        run.record_written(events)


def _select(run: EventRun, events: list[StreamEvent]) -> list[StreamEvent]:
    """Return the events of a read that are to be written to the caller.

    :raises StreamMisnumbered: a number is wrong. None of the read is used then,
        and none counts as sent.
    """
    try:
        return run.select(events)
    except EventsMisnumbered as problem:
        raise StreamMisnumbered(
            f'{problem}; {len(events)} events of the read are not used'
        ) from problem


def _check_end(run: EventRun) -> None:
    """Check that a run may end.

    :raises StreamMisnumbered: it may lack events.
    """
    try:
        run.check_end()
    except EventsMisnumbered as problem:
        raise StreamMisnumbered(str(problem)) from problem
