"""Relay a target's answer to the caller, complete or visibly truncated."""

from collections.abc import Callable

from attrs import define

from trefoilhinge.dispatch.calls import AnswerHead
from trefoilhinge.dispatch.events import EventSplitter, StreamEvent
from trefoilhinge.gateway.caller_connections import CallerConnection
from trefoilhinge.gateway.progress import CallProgress
from trefoilhinge.gateway.target_connections import (
    AnswerBroken,
    TargetConnection,
)

MAXIMUM_EVENT_BYTES = 1_048_576  # of one event of a stream

EventCallback = Callable[[], None]


@define
class AnswerRelay:
    """Relays one caller's answer, from one target or several in succession."""

    _caller: CallerConnection
    _progress: CallProgress

    async def send_complete(self, head: AnswerHead, content: bytes) -> None:
        """Send an answer whose content is complete."""
        self._progress.status = head.status
        self._progress.has_started = True
        await self._caller.send_complete(
            head.status, list(head.forwarded_headers), content
        )

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
            that ends before its first event has ended early.
        """
        splitter = EventSplitter()
        has_events = False
        async for chunk in connection.read_content():
            events = splitter.split(chunk)
            if events:
                has_events = True
                connection.record_progress()
            content = self._select_new_events(events)
            if content:
                self._start_answer(head)
                on_event()
                connection.waits_for_caller = True
                await self._caller.send(content)
                connection.waits_for_caller = False
                connection.record_progress()
            if len(splitter.remainder) > MAXIMUM_EVENT_BYTES:
                raise AnswerBroken(
                    f'event is longer than {MAXIMUM_EVENT_BYTES} bytes'
                )
        if splitter.remainder:
            raise AnswerBroken('stream ended within an event')
        if head.ends_with_connection and not has_events:
            raise AnswerBroken('connection ended before the first event')
        self._start_answer(head)
        await self._caller.finish()

    def _start_answer(self, head: AnswerHead) -> None:
        if not self._progress.has_started:
            self._progress.has_started = True
            self._progress.status = head.status
            self._caller.start_answer(head.status, list(head.forwarded_headers))

    def _select_new_events(self, events: list[StreamEvent]) -> bytes:
        new_events = []
        for event in events:
            last = self._progress.last_event
            if event.number is not None and last is not None:
                if event.number <= last:
                    continue
                if event.number > last + 1:
                    raise AnswerBroken('stream skipped an event number')
            if event.number is not None:
                self._progress.last_event = event.number
            new_events.append(event.content)
        return b''.join(new_events)
