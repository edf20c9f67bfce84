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
        :raises AnswerBroken: the stream ended early or an event is missing.
        """
        splitter = EventSplitter()
        async for chunk in connection.read_content():
            fresh = self._select_new_events(splitter.split(chunk))
            if fresh:
                self._start_answer(head)
                on_event()
                await self._caller.send(fresh)
        if splitter.remainder:
            raise AnswerBroken('stream ended within an event')
        self._start_answer(head)
        await self._caller.finish()

    def _start_answer(self, head: AnswerHead) -> None:
        if not self._progress.has_started:
            self._progress.has_started = True
            self._progress.status = head.status
            self._caller.start_answer(head.status, list(head.forwarded_headers))

    def _select_new_events(self, pieces: list[StreamEvent]) -> bytes:
        fresh = []
        for piece in pieces:
            last = self._progress.last_event
            if piece.number is not None and last is not None:
                if piece.number <= last:
                    continue
                if piece.number > last + 1:
                    raise AnswerBroken('stream skipped an event number')
            if piece.number is not None:
                self._progress.last_event = piece.number
            fresh.append(piece.content)
        return b''.join(fresh)
