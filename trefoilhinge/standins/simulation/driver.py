"""Carries out a node's effects against fakes, on simulated time."""

from collections.abc import Callable, Iterable
from typing import Any

from attrs import define, evolve, field

from trefoilhinge.core import effects as fx
from trefoilhinge.core import events as ev
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.identifiers import (
    AttemptId,
    InstanceName,
    RequestId,
    StreamId,
    TargetName,
)
from trefoilhinge.core.lines import StreamEvent
from trefoilhinge.core.profiles import CallProfile
from trefoilhinge.core.progress import AnswerProgress, ProgressStep
from trefoilhinge.core.reports import (
    CacheEvent,
    Holding,
    LoadReport,
    StreamState,
)
from trefoilhinge.core.verdicts import Refusal
from trefoilhinge.node.core import NodeCore
from trefoilhinge.node.parts import TargetView
from trefoilhinge.node.schedule import TICK_S
from trefoilhinge.standins.simulation.engine import FakeEngine
from trefoilhinge.standins.simulation.heap import Simulation
from trefoilhinge.standins.simulation.network import Network
from trefoilhinge.standins.simulation.services import FakePlain, FakePlatform

PLATFORM_END = 'platform'


@define
class CallRecord:
    """One call as its caller sees it.

    :ivar first_s: time of the first event, none before.
    :ivar ended_s: time of the final answer, none before.
    :ivar pieces: data that the caller got, in order.
    """

    profile: CallProfile
    instance: InstanceName
    progress: AnswerProgress = field(factory=AnswerProgress)
    pieces: list[str] = field(factory=list)
    first_s: float | None = None
    ended_s: float | None = None
    refusal: Refusal | None = None
    finished: bool = False
    last_event_s: float = 0
    gone: bool = False


@define
class World:
    """Everything that simulated instances share.

    :ivar calls: every call, by request.
    :ivar cache_lag_s: seconds by which cache events are late.
    :ivar cache_gap: every event of a number divisible by this is lost; zero
        loses none.
    """

    simulation: Simulation
    network: Network
    engines: dict[TargetName, FakeEngine] = field(factory=dict)
    plains: dict[TargetName, FakePlain] = field(factory=dict)
    platform: FakePlatform = field(factory=FakePlatform)
    drivers: dict[InstanceName, 'NodeDriver'] = field(factory=dict)
    calls: dict[RequestId, CallRecord] = field(factory=dict)
    publication_lag_s: float = 1.0
    load_lag_s: float = 0.2
    cache_lag_s: float = 0
    cache_gap: int = 0


@define
class NodeDriver:
    """Runs one instance: its core, its timer and its I/O.

    :ivar alive: false once it was killed.
    :ivar paused: whether events pile up instead of being handled.
    """

    name: InstanceName
    world: World
    core: NodeCore
    silence_s: float = 5.0
    alive: bool = True
    paused: bool = False
    ready: bool = False
    stopped: bool = False
    logs: list[fx.LogEvent] = field(factory=list)
    replies: dict[str, str] = field(factory=dict)
    clock_offset_s: float = 0
    _backlog: list[ev.Event] = field(factory=list)
    _pending: list[fx.Effect] = field(factory=list)
    _actions: dict[type[Any], Callable[[Any], None]] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Map each kind of effect to the fake that carries it out."""
        self._actions = {
            fx.Dispatch: self._dispatch,
            fx.QueryStream: self._query,
            fx.ResumeStream: self._resume,
            fx.CancelAttempt: self._cancel,
            fx.FinishCall: self._finish,
            fx.RefuseCall: self._refuse,
            fx.ForwardCall: self._forward,
            fx.RunGroupStep: self._run_group_step,
            fx.ReleaseHolding: self._release,
            fx.ReadLoad: self._read_load,
            fx.ReadInstances: self._read_instances,
            fx.ReadDocument: self._read_document,
            fx.SendPeerMessage: self._send_peer,
            fx.AnswerPeer: self._answer,
            fx.AnswerKey: self._answer,
            fx.ReadEngineState: self._read_state,
            fx.SendOrder: self._send_order,
            fx.LogEvent: self.logs.append,
            fx.ReportReadiness: self._set_ready,
            fx.StopProcess: self._stop,
        }

    def start(self) -> None:
        """Start the timer."""
        self._tick()

    def read_clock(self) -> Instant:
        """Return the instance's own reading of both clocks."""
        now = self.world.simulation.read()
        return Instant(now.monotonic_s, now.wall_s + self.clock_offset_s)

    def report(self, event: ev.Event) -> None:
        """Hand an event to the core and carry out what it asks for."""
        if not self.alive or self.stopped:
            return
        if self.paused:
            self._backlog.append(event)
            return
        for effect in self.core.handle(event, self.read_clock()):
            self._perform(effect)

    def receive_call(self, profile: CallProfile) -> CallRecord:
        """Take a caller's request."""
        record = CallRecord(profile, self.name)
        self.world.calls[profile.request_id] = record
        self.report(ev.CallReceived(profile))
        return record

    def kill(self) -> None:
        """Lose the process."""
        self.alive = False
        self.ready = False
        self.world.network.dead.add(self.name)

    def pause(self) -> None:
        """Stop running; what arrives waits."""
        self.paused = True

    def wake(self) -> None:
        """Run on: first what the process was about to do, then its events."""
        self.paused = False
        pending = self._pending
        self._pending = []
        for effect in pending:
            self._perform(effect)
        backlog = self._backlog
        self._backlog = []
        for event in backlog:
            self.report(event)

    def _tick(self) -> None:
        if not self.alive or self.stopped:
            return
        if not self.paused:
            self.report(ev.TimerFired())
            self._watch_silence()
        self.world.simulation.schedule(TICK_S, self._tick)

    def _perform(self, effect: fx.Effect) -> None:
        if self.paused:
            self._pending.append(effect)
            return
        self._actions[type(effect)](effect)

    def _watch_silence(self) -> None:
        now_s = self.world.simulation.now_s
        for record in self.core.desk.table.list_records():
            call = self.world.calls[record.profile.request_id]
            attempt = call.progress.attempt
            if attempt is None or call.ended_s is not None:
                continue
            if self._is_flowing(attempt, record.target):
                call.last_event_s = now_s
            if now_s - call.last_event_s >= self.silence_s:
                call.last_event_s = now_s
                self.report(ev.AttemptSilent(attempt, call.progress.taken))

    def _is_flowing(
        self,
        attempt: AttemptId,
        target: TargetView | None,
    ) -> bool:
        """Return whether a quiet engine is generating what it would tell."""
        engine = None
        if target is not None:
            engine = self.world.engines.get(target.name)
        if engine is None or not engine.quiet or engine.dead:
            return False
        if self.world.network.is_cut(self.name, engine.name):
            return False
        stream = engine.streams.get(StreamId(str(attempt)))
        return stream is not None and stream.produced > 0

    def _ask(
        self,
        target: str,
        serve: Callable[[], ev.Event],
        lost: ev.Event,
    ) -> None:
        self.world.network.request(
            self.name,
            target,
            serve,
            lambda answer: self.report(lost if answer is None else answer),
        )

    def _dispatch(self, effect: fx.Dispatch) -> None:
        attempt = effect.attempt
        now = self.read_clock()
        late = now.monotonic_s >= min(
            effect.lease.monotonic_s,
            effect.deadline_s,
        )
        if late or now.wall_s >= effect.lease.wall_s:
            self._end(attempt, ev.AttemptOutcome.LEASE_LOST)
            return
        call = self.world.calls[attempt.request_id]
        call.progress.begin(attempt)
        call.last_event_s = self.world.simulation.now_s
        if effect.target in self.world.network.dead:
            self._end(attempt, ev.AttemptOutcome.NOT_SENT)
        elif call.profile.model:
            self._dispatch_model(effect, call)
        else:
            self._dispatch_plain(effect, call)

    def _dispatch_model(self, effect: fx.Dispatch, call: CallRecord) -> None:
        engine = self.world.engines[effect.target]
        stream_id = StreamId(str(effect.attempt))

        def start() -> None:
            accepted = engine.start(
                stream_id,
                call.profile,
                effect.priority,
                self._listen(effect.attempt, effect.target),
                effect.group_tag,
            )
            if not accepted:
                self.world.network.send(
                    effect.target,
                    self.name,
                    lambda: self._end(
                        effect.attempt,
                        ev.AttemptOutcome.REFUSED,
                    ),
                )

        self.world.network.send(self.name, effect.target, start)

    def _dispatch_plain(self, effect: fx.Dispatch, call: CallRecord) -> None:
        plain = self.world.plains[effect.target]

        def serve() -> ev.AttemptOutcome:
            if plain.call(str(effect.attempt.request_id)):
                return ev.AttemptOutcome.FINISHED
            return ev.AttemptOutcome.REFUSED

        def take(outcome: ev.AttemptOutcome | None) -> None:
            self._end(effect.attempt, outcome or ev.AttemptOutcome.BROKEN)

        remaining_s = effect.deadline_s - self.read_clock().monotonic_s
        self.world.network.request(
            self.name,
            effect.target,
            serve,
            take,
            remaining_s,
        )

    def _listen(
        self,
        attempt: AttemptId,
        target: TargetName,
    ) -> Callable[[StreamEvent], None]:
        def listen(event: StreamEvent) -> None:
            self.world.network.send(
                target,
                self.name,
                lambda: self.take_event(attempt, event),
            )

        return listen

    def take_event(self, attempt: AttemptId, event: StreamEvent) -> None:
        """Take one event of a stream, as the caller's thread does."""
        call = self.world.calls[attempt.request_id]
        if not self.alive or call.ended_s is not None:
            return
        first = call.progress.taken == 0
        if self._is_from_quiet(attempt, event):
            call.progress.taken = event.offset
        step = call.progress.take(attempt, event)
        if step is ProgressStep.REPEATED:
            return
        call.last_event_s = self.world.simulation.now_s
        if step is ProgressStep.FOREIGN:
            self._end(attempt, ev.AttemptOutcome.MISMATCHED)
        elif step is ProgressStep.GAP:
            self._end(attempt, ev.AttemptOutcome.BROKEN)
        elif step is ProgressStep.FINISHED:
            self._end(attempt, ev.AttemptOutcome.FINISHED)
        else:
            self._relay(call, attempt, event, first)

    def _is_from_quiet(self, attempt: AttemptId, event: StreamEvent) -> bool:
        record = self.core.desk.table.find_attempt(attempt)
        if record is None or record.target is None or not record.profile.model:
            return False
        engine = self.world.engines[record.target.name]
        return engine.quiet and event.is_finish_marker

    def _relay(
        self,
        call: CallRecord,
        attempt: AttemptId,
        event: StreamEvent,
        first: bool,
    ) -> None:
        if first:
            call.first_s = self.world.simulation.now_s
            call.pieces.clear()
            stream_id = StreamId(event.stream_id)
            self.report(ev.AttemptAccepted(attempt, stream_id))
            self.report(ev.FirstTokenSeen(attempt))
        call.pieces.append(event.data)

    def _end(self, attempt: AttemptId, outcome: ev.AttemptOutcome) -> None:
        call = self.world.calls[attempt.request_id]
        taken = call.progress.taken
        self.report(
            ev.AttemptEnded(
                attempt,
                outcome,
                relayed=taken,
                prompt_tokens=call.profile.prompt_tokens,
                output_tokens=taken,
            ),
        )

    def _query(self, effect: fx.QueryStream) -> None:
        engine = self.world.engines[effect.target]

        def serve() -> ev.Event:
            state, offset = engine.find_state(effect.stream_id)
            return ev.StreamAnswered(effect.attempt, state, offset)

        lost = ev.StreamAnswered(effect.attempt, StreamState.UNREACHABLE, 0)
        self._ask(effect.target, serve, lost)

    def _resume(self, effect: fx.ResumeStream) -> None:
        engine = self.world.engines[effect.target]
        call = self.world.calls[effect.attempt.request_id]
        call.last_event_s = self.world.simulation.now_s
        listener = self._listen(effect.attempt, effect.target)
        self.world.network.send(
            self.name,
            effect.target,
            lambda: engine.resume(effect.stream_id, effect.offset, listener),
        )

    def _cancel(self, effect: fx.CancelAttempt) -> None:
        engine = self.world.engines.get(effect.target)
        if engine is None:
            return
        stream_id = StreamId(str(effect.attempt))
        self.world.network.send(
            self.name,
            effect.target,
            lambda: engine.void(stream_id),
        )

    def _finish(self, effect: fx.FinishCall) -> None:
        call = self.world.calls[effect.request_id]
        if call.ended_s is None:
            call.finished = True
            call.ended_s = self.world.simulation.now_s

    def _refuse(self, effect: fx.RefuseCall) -> None:
        call = self.world.calls[effect.request_id]
        if call.ended_s is None:
            call.refusal = effect.refusal
            call.ended_s = self.world.simulation.now_s

    def _forward(self, effect: fx.ForwardCall) -> None:
        """Lose the forward: owners are not simulated here yet."""
        self.report(
            ev.ForwardEnded(effect.request_id, delivered=False, finished=False),
        )

    def _run_group_step(self, effect: fx.RunGroupStep) -> None:
        engine = self.world.engines[effect.target]

        def serve() -> ev.Event:
            done = True
            if effect.step == 'reserve':
                done = engine.hold(
                    Holding(
                        effect.tag,
                        effect.owner,
                        effect.tokens,
                        effect.expires_wall_s,
                    ),
                )
            return self._answer_step(effect, done)

        self._ask(effect.target, serve, self._answer_step(effect, False))

    def _answer_step(self, effect: fx.RunGroupStep, done: bool) -> ev.Event:
        return ev.GroupStepEnded(
            effect.attempt,
            effect.target,
            effect.tag,
            effect.step,
            done,
            handle=f'{effect.target}:{effect.tag}',
        )

    def _release(self, effect: fx.ReleaseHolding) -> None:
        engine = self.world.engines[effect.target]

        def serve() -> ev.Event:
            engine.release(effect.tag)
            return ev.HoldingReleased(effect.target, effect.tag, True)

        lost = ev.HoldingReleased(effect.target, effect.tag, False)
        self._ask(effect.target, serve, lost)

    def _read_load(self, effect: fx.ReadLoad) -> None:
        """Read a target's load and cache events; each comes with its lag."""
        engine = self.world.engines[effect.target]
        found: list[CacheEvent] = []

        def serve() -> LoadReport:
            found.extend(self._list_cache_events(effect, engine))
            return engine.report_load()

        def take(report: LoadReport | None) -> None:
            lag_s = self.world.load_lag_s
            if report is not None:
                report = evolve(report, age_s=lag_s)
            load = ev.LoadRead(effect.target, report)
            self.world.simulation.schedule(lag_s, lambda: self.report(load))
            if found:
                cached = ev.CacheEventsRead(effect.target, tuple(found))
                self.world.simulation.schedule(
                    self.world.cache_lag_s,
                    lambda: self.report(cached),
                )

        self.world.network.request(self.name, effect.target, serve, take)

    def _list_cache_events(
        self,
        effect: fx.ReadLoad,
        engine: FakeEngine,
    ) -> Iterable[CacheEvent]:
        newer = engine.cache_events[effect.after_sequence :]
        gap = self.world.cache_gap
        return (one for one in newer if not gap or one.sequence % gap)

    def _read_instances(self, effect: fx.ReadInstances) -> None:
        platform = self.world.platform

        def serve() -> ev.Event:
            if platform.list_down:
                return ev.InstancesListed(None)
            return ev.InstancesListed(platform.instances, platform.targets)

        self._ask(PLATFORM_END, serve, ev.InstancesListed(None))

    def _read_document(self, effect: fx.ReadDocument) -> None:
        platform = self.world.platform

        def serve() -> ev.Event:
            return ev.DocumentRead(platform.read_document())

        self.world.simulation.schedule(
            effect.wait_s,
            lambda: self._ask(PLATFORM_END, serve, ev.DocumentRead(None)),
        )

    def _send_peer(self, effect: fx.SendPeerMessage) -> None:
        peer = self.world.drivers.get(InstanceName(effect.address))
        if peer is None:
            self.report(ev.PeerAnswered(effect.peer, None))
            return

        def serve() -> ev.PeerAnswered:
            return ev.PeerAnswered(effect.peer, peer.exchange(effect.text))

        lost = ev.PeerAnswered(effect.peer, None)
        self._ask(peer.name, serve, lost)

    def exchange(self, text: str) -> str | None:
        """Answer a peer's message, none if this instance cannot."""
        token = f'exchange-{len(self.replies)}'
        self.report(ev.PeerMessageReceived(token, text))
        return self.replies.pop(token, None)

    def _answer(self, effect: fx.AnswerPeer | fx.AnswerKey) -> None:
        text = effect.text if isinstance(effect, fx.AnswerPeer) else effect.key
        self.replies[effect.token] = text

    def _read_state(self, effect: fx.ReadEngineState) -> None:
        engine = self.world.engines[effect.target]
        self._ask(
            effect.target,
            lambda: ev.EngineStateRead(effect.target, engine.report_state()),
            ev.EngineStateRead(effect.target, None),
        )

    def _send_order(self, effect: fx.SendOrder) -> None:
        engine = self.world.engines[effect.target]

        def serve() -> ev.Event:
            accepted = engine.order(
                effect.fence,
                effect.model,
                effect.version,
                effect.adapters,
                effect.role,
            )
            return ev.OrderAnswered(effect.target, effect.fence, accepted)

        lost = ev.OrderAnswered(effect.target, effect.fence, None)
        self._ask(effect.target, serve, lost)

    def _set_ready(self, effect: fx.ReportReadiness) -> None:
        self.ready = effect.ready

    def _stop(self, effect: fx.StopProcess) -> None:
        self.stopped = True
        self.ready = False
        self.world.network.dead.add(self.name)
