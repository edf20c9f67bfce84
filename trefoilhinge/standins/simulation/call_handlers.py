"""Handlers of the effects that a node emits on behalf of a caller."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from attrs import define

from trefoilhinge.core import effects as fx
from trefoilhinge.core import events as ev
from trefoilhinge.core.identifiers import (
    AttemptId,
    StreamId,
    TargetName,
)
from trefoilhinge.core.progress import EventDisposition
from trefoilhinge.core.reports import StreamState
from trefoilhinge.core.sse import StreamEvent
from trefoilhinge.standins.simulation.engine import FakeEngine
from trefoilhinge.standins.simulation.fault_points import FaultPoint
from trefoilhinge.standins.simulation.kv_chains import KvSegment
from trefoilhinge.standins.simulation.network import Connection
from trefoilhinge.standins.simulation.world import CallRecord, World

if TYPE_CHECKING:
    from trefoilhinge.standins.simulation.driver import NodeDriver

Listener = Callable[[StreamEvent], None]


@define
class CallHandlers:
    """Sends attempts to targets and relays their responses to callers."""

    _driver: 'NodeDriver'

    @property
    def _world(self) -> World:
        return self._driver.world

    def map_handlers(self) -> dict[type[Any], Callable[[Any], None]]:
        """Return the handler of each kind of effect."""
        return {
            fx.Dispatch: self._dispatch,
            fx.QueryStream: self._query,
            fx.ResumeStream: self._resume,
            fx.CancelAttempt: self._cancel,
            fx.FinishCall: self._finish,
            fx.RefuseCall: self._refuse,
        }

    def accept_event(self, attempt: AttemptId, event: StreamEvent) -> None:
        """Process one stream event, as the caller's thread does."""
        call = self._world.calls[attempt.request_id]
        if not self._driver.alive or call.ended_s is not None:
            return
        first = call.progress.next_offset == 0
        if self._follows_skipped_events(attempt, event):
            call.progress.next_offset = event.offset
        disposition = call.progress.accept(attempt, event)
        if disposition is EventDisposition.DUPLICATE:
            return
        call.last_event_s = self._world.simulation.now_s
        if disposition is EventDisposition.WRONG_STREAM:
            self._report_end(attempt, ev.AttemptOutcome.MISMATCHED)
        elif disposition is EventDisposition.GAP:
            self._report_end(attempt, ev.AttemptOutcome.BROKEN)
        elif disposition is EventDisposition.FINISHED:
            self._report_end(attempt, ev.AttemptOutcome.FINISHED)
        else:
            self._relay(call, attempt, event, first)

    def _follows_skipped_events(
        self, attempt: AttemptId, event: StreamEvent
    ) -> bool:
        """Return whether the engine skipped the events before this one."""
        table = self._driver.core.call_coordinator.table
        record = table.find_attempt(attempt)
        if record is None or record.target is None or not record.profile.model:
            return False
        engine = self._world.engines[record.target.name]
        return engine.skips_events and event.is_finish_marker

    def _dispatch(self, effect: fx.Dispatch) -> None:
        attempt = effect.attempt
        now = self._driver.read_clock()
        if effect.is_late(now):
            self._report_end(attempt, ev.AttemptOutcome.LEASE_LOST)
            return
        call = self._world.calls[attempt.request_id]
        call.progress.restart(attempt)
        call.last_event_s = self._world.simulation.now_s
        if effect.target in self._world.network.dead:
            self._report_end(attempt, ev.AttemptOutcome.NOT_SENT)
        elif call.profile.model:
            self._dispatch_model(effect, call)
        else:
            self._dispatch_plain(effect, call)

    def _dispatch_model(self, effect: fx.Dispatch, call: CallRecord) -> None:
        engine = self._world.engines[effect.target]
        attempt = effect.attempt

        def start() -> None:
            started = self._is_chain_complete(effect) and engine.start(
                StreamId(str(attempt)),
                call.profile,
                effect.priority,
                self._listen(attempt, effect.target),
                effect.reservation_tag,
            )
            if started:
                self._record_start(effect)
                self._watch_prefill(engine, attempt)
            else:
                self._world.network.send(
                    effect.target,
                    self._driver.name,
                    lambda: self._report_end(
                        attempt, ev.AttemptOutcome.REFUSED
                    ),
                )

        self._world.network.send(self._driver.name, effect.target, start)

    def _dispatch_plain(self, effect: fx.Dispatch, call: CallRecord) -> None:
        plain = self._world.plains[effect.target]

        def serve() -> ev.AttemptOutcome:
            if plain.call(str(effect.attempt.request_id)):
                self._record_start(effect)
                return ev.AttemptOutcome.FINISHED
            return ev.AttemptOutcome.REFUSED

        def on_response(outcome: ev.AttemptOutcome | None) -> None:
            self._report_end(
                effect.attempt, outcome or ev.AttemptOutcome.BROKEN
            )

        remaining_s = effect.deadline_s - self._driver.read_clock().monotonic_s
        self._world.network.request(
            self._driver.name,
            effect.target,
            serve,
            on_response,
            remaining_s,
            plain.serve_s,
        )

    def _is_chain_complete(self, effect: fx.Dispatch) -> bool:
        if effect.reservation_tag is None:
            return True
        segment = KvSegment(effect.target, effect.reservation_tag)
        chains = self._world.chains
        if not chains.is_complete(segment, self._world.engines):
            return False
        chains.streams[segment] = StreamId(str(effect.attempt))
        return True

    def _record_start(self, effect: fx.Dispatch) -> None:
        request = str(effect.attempt.request_id)
        self._world.record_start(effect.target, request, self._driver.name)
        self._world.reach(
            FaultPoint.ACCEPTED,
            effect.attempt,
            self._driver.name,
            effect.target,
        )

    def _watch_prefill(self, engine: FakeEngine, attempt: AttemptId) -> None:
        stream = engine.streams.get(StreamId(str(attempt)))
        if self._world.probe is None or stream is None:
            return
        half_s = (
            stream.prefill_tokens_left / engine.speeds.prefill_tokens_per_s / 2
        )

        def reach() -> None:
            if stream.prefill_tokens_left and not stream.cancelled:
                self._world.reach(
                    FaultPoint.PREFILLING,
                    attempt,
                    self._driver.name,
                    engine.name,
                )

        self._world.simulation.schedule(half_s, reach)

    def _listen(self, attempt: AttemptId, target: TargetName) -> Listener:
        network = self._world.network
        connection = network.open_connection(self._driver.name, target)
        connection.deliver = lambda event: self._receive(
            attempt,
            event,
            connection,
        )
        connection.on_break = lambda: self._on_break(attempt, connection)

        def listen(event: StreamEvent) -> None:
            receiver = connection.redirect or connection
            if not connection.silent and receiver.deliver is not None:
                deliver = receiver.deliver
                network.send(target, receiver.source, lambda: deliver(event))

        return listen

    def _on_break(self, attempt: AttemptId, connection: Connection) -> None:
        self._world.network.close_connection(connection)
        call = self._world.calls[attempt.request_id]
        if call.ended_s is None and call.progress.attempt == attempt:
            self._report_end(attempt, ev.AttemptOutcome.BROKEN)

    def _receive(
        self,
        attempt: AttemptId,
        event: StreamEvent,
        connection: Connection,
    ) -> None:
        if connection.silent or self._is_lost(attempt, event, connection):
            return
        if not connection.silent:
            if event.is_finish_marker:
                self._world.network.close_connection(connection)
            self.accept_event(attempt, event)

    def _is_lost(
        self,
        attempt: AttemptId,
        event: StreamEvent,
        connection: Connection,
    ) -> bool:
        """Report the fault point of an event; true if the event is lost."""
        if self._world.probe is None:
            return False
        call = self._world.calls[attempt.request_id]
        if event.is_finish_marker:
            point = FaultPoint.FINISH_LOST
        elif event.offset == 0:
            point = FaultPoint.FIRST_TOKEN
        elif event.offset == call.profile.output_tokens // 2:
            point = FaultPoint.MID_STREAM
        else:
            return False
        return self._world.reach(
            point,
            attempt,
            self._driver.name,
            connection.target,
        )

    def _relay(
        self,
        call: CallRecord,
        attempt: AttemptId,
        event: StreamEvent,
        first: bool,
    ) -> None:
        if first:
            call.first_s = self._world.simulation.now_s
            call.chunks.clear()
            stream_id = StreamId(event.stream_id)
            self._driver.handle_event(ev.AttemptAccepted(attempt, stream_id))
            self._driver.handle_event(ev.FirstTokenSeen(attempt))
        call.chunks.append(event.data)

    def _report_end(
        self, attempt: AttemptId, outcome: ev.AttemptOutcome
    ) -> None:
        call = self._world.calls[attempt.request_id]
        accepted = call.progress.next_offset
        self._driver.handle_event(
            ev.AttemptEnded(
                attempt,
                outcome,
                relayed=accepted,
                prompt_tokens=call.profile.prompt_tokens,
                output_tokens=accepted,
            ),
        )

    def _query(self, effect: fx.QueryStream) -> None:
        engine = self._world.engines[effect.target]

        def serve() -> ev.Event:
            state, offset = engine.find_state(effect.stream_id)
            return ev.StreamAnswered(effect.attempt, state, offset)

        lost = ev.StreamAnswered(effect.attempt, StreamState.UNREACHABLE, 0)
        self._world.network.request(
            self._driver.name,
            effect.target,
            serve,
            lambda answer: self._driver.handle_event(answer or lost),
        )

    def _resume(self, effect: fx.ResumeStream) -> None:
        engine = self._world.engines[effect.target]
        call = self._world.calls[effect.attempt.request_id]
        call.last_event_s = self._world.simulation.now_s
        listener = self._listen(effect.attempt, effect.target)
        self._world.network.send(
            self._driver.name,
            effect.target,
            lambda: engine.resume(effect.stream_id, effect.offset, listener),
        )

    def _cancel(self, effect: fx.CancelAttempt) -> None:
        engine = self._world.engines.get(effect.target)
        if engine is None:
            return
        stream_id = StreamId(str(effect.attempt))
        self._world.network.send(
            self._driver.name,
            effect.target,
            lambda: engine.cancel_stream(stream_id),
        )

    def _finish(self, effect: fx.FinishCall) -> None:
        call = self._world.calls[effect.request_id]
        if call.ended_s is None:
            call.refusal = call.owner_refusal
            call.finished = call.refusal is None
            call.end(self._world.simulation.now_s)

    def _refuse(self, effect: fx.RefuseCall) -> None:
        call = self._world.calls[effect.request_id]
        if call.ended_s is None:
            call.refusal = effect.refusal
            call.end(self._world.simulation.now_s)
