"""Relay a target's answer to the caller, complete or visibly truncated."""

from collections.abc import Callable

from attrs import define

from trefoilhinge.dispatch.calls import AnswerHead
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
    ) -> None:
        """Relay the complete events of a stream as they arrive, to its end.

        Events that the caller already has are dropped.

        :param on_event: called before new events are sent.
        :raises AnswerBroken: the stream ended early, an event is missing, or
            one is longer than ``MAXIMUM_EVENT_BYTES``. Without a length, one
            that ends before its first event has ended early. An answer that
            does not go on with a stream that has begun is broken as well.
        """
        is_resumed = self._progress.has_started
        if is_resumed and head.status != self._progress.status:
            raise AnswerBroken(f'status {head.status} of a resumed stream')
        splitter = EventSplitter()
        try:
            has_events = await self._relay_events(
                connection, head, on_event, splitter
            )
        finally:
            self.hold(-len(splitter.remainder))
        if splitter.remainder:
            raise AnswerBroken('stream ended within an event')
        if head.ends_with_connection and not has_events:
            raise AnswerBroken('connection ended before the first event')
        self._start_answer(head)
        await self._caller.finish()

    async def _relay_events(
        self,
        connection: TargetConnection,
        head: AnswerHead,
        on_event: EventCallback,
        splitter: EventSplitter,
    ) -> bool:
        """Relay events; return whether there were any.

        What is held of an event that is not complete is counted.
        """
        is_resumed = self._progress.has_started
        has_events = False
        async for chunk in connection.read_content():
            held_bytes = len(splitter.remainder)
            events = splitter.split(chunk)
            self.hold(len(splitter.remainder) - held_bytes)
            if events:
                has_events = True
                connection.record_progress()
            new_events = self._select_new_events(events, is_resumed=is_resumed)
            if new_events:
                self._start_answer(head)
                on_event()
                self._write(new_events)
                connection.waits_for_caller = True
                await self._caller.drain()
                connection.waits_for_caller = False
                connection.record_progress()
            if len(splitter.remainder) > MAXIMUM_EVENT_BYTES:
                raise AnswerBroken(
                    f'event is longer than {MAXIMUM_EVENT_BYTES} bytes'
                )
        return has_events

    def _start_answer(self, head: AnswerHead) -> None:
        if not self._progress.has_started:
            self._progress.has_started = True
            self._progress.status = head.status
            self._caller.start_answer(head.status, list(head.forwarded_headers))

    def _write(self, events: list[StreamEvent]) -> None:
        """Write events to the caller, who has them from here on."""
        self._caller.write(b''.join(event.content for event in events))
        for event in events:
            if event.number is not None:
                self._progress.last_event = event.number

    def _select_new_events(
        self, events: list[StreamEvent], *, is_resumed: bool
    ) -> list[StreamEvent]:
        """Return the events of a read that the caller does not have yet.

        :raises StreamMisnumbered: one of them does not follow the one before
            it. None of the read is used then, and none counts as sent.
        """
        new_events: list[StreamEvent] = []
        last = self._progress.last_event
        for event in events:
            try:
                is_new = _is_new(event.number, last, is_resumed=is_resumed)
            except StreamMisnumbered as problem:
                raise StreamMisnumbered(
                    f'{problem}; {len(events)} events of the read are not used'
                ) from problem
            if is_new:
                new_events.append(event)
                last = last if event.number is None else event.number
        return new_events


def _is_new(number: int | None, last: int | None, *, is_resumed: bool) -> bool:
    """Return whether the caller does not have an event yet.

    :param number: number of the event, if it has one.
    :param last: number of the last event before it, if there is one.
    :raises StreamMisnumbered: it does not follow that one.
    """
    if is_resumed and (number is None or last is None):
        raise StreamMisnumbered('resumed stream has no event numbers')
    if number is None or last is None:
        return True
    if number > last + 1:
        raise StreamMisnumbered(f'event {number} after event {last}')
    return number > last
