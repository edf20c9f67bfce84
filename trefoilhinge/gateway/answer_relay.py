"""Passes a target's answer on to the caller, whole or visibly torn."""

from collections.abc import Callable

from attrs import define

from trefoilhinge.dispatch.calls import AnswerHead
from trefoilhinge.dispatch.events import EventSplitter, StreamPiece
from trefoilhinge.gateway.caller_connections import CallerConnection
from trefoilhinge.gateway.target_connections import AnswerBroken, TargetExchange
from trefoilhinge.gateway.progress import CallProgress

NoteEvent = Callable[[], None]


@define
class AnswerRelay:
    """One caller's answer, from one target or from several in turn."""

    _caller: CallerConnection
    _progress: CallProgress

    async def send_whole(self, head: AnswerHead, content: bytes) -> None:
        """Send an answer that was read whole."""
        self._progress.status = head.status
        self._progress.has_begun = True
        await self._caller.send_whole(head.status, list(head.passed), content)

    async def relay_stream(
        self,
        exchange: TargetExchange,
        head: AnswerHead,
        note_event: NoteEvent,
    ) -> None:
        """Send a stream's whole events as they arrive, to its end.

        :raises AnswerBroken: it ended early or an event is missing.
        """
        splitter = EventSplitter()
        async for chunk in exchange.read_content():
            fresh = self._select(splitter.split(chunk))
            if fresh:
                self._begin(head)
                note_event()
                await self._caller.send(fresh)
        if splitter.rest:
            raise AnswerBroken('the last event is torn')
        self._begin(head)
        await self._caller.finish()

    def _begin(self, head: AnswerHead) -> None:
        if not self._progress.has_begun:
            self._progress.has_begun = True
            self._progress.status = head.status
            self._caller.begin(head.status, list(head.passed))

    def _select(self, pieces: list[StreamPiece]) -> bytes:
        fresh = []
        for piece in pieces:
            last = self._progress.last_event
            if piece.number is not None and last is not None:
                if piece.number <= last:
                    continue
                if piece.number > last + 1:
                    raise AnswerBroken('an event is missing')
            if piece.number is not None:
                self._progress.last_event = piece.number
            fresh.append(piece.content)
        return b''.join(fresh)
