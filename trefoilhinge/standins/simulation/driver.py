"""Runs a node's core against the simulation's fakes."""

from collections.abc import Callable
from typing import Any

from attrs import define, field

from trefoilhinge.core import effects as fx
from trefoilhinge.core import events as ev
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.identifiers import AttemptId, InstanceName, StreamId
from trefoilhinge.core.profiles import CallProfile
from trefoilhinge.groups.tags import parse_tag
from trefoilhinge.membership.interfaces import TargetView
from trefoilhinge.node.call_table import CallState
from trefoilhinge.node.core import NodeCore
from trefoilhinge.node.timers import TICK_INTERVAL_S
from trefoilhinge.standins.simulation.call_handlers import CallHandlers
from trefoilhinge.standins.simulation.control_handlers import ControlHandlers
from trefoilhinge.standins.simulation.fault_points import FaultPoint
from trefoilhinge.standins.simulation.forward_handlers import ForwardHandlers
from trefoilhinge.standins.simulation.world import CallRecord, World

Handlers = dict[type[Any], Callable[[Any], None]]
_EVENT_POINTS = {
    ev.DocumentRead: FaultPoint.DOCUMENT_READ,
    ev.EngineStateRead: FaultPoint.STATE_READ,
    ev.OrderAnswered: FaultPoint.ORDER_ANSWERED,
}


@define
class NodeDriver:
    """Runs one instance: its core, its timer and its I/O.

    :ivar silence_s: time without an event after which an attempt is reported
        silent, in seconds.
    :ivar alive: false once the instance was killed.
    :ivar paused: whether events are queued instead of handled.
    :ivar stopped_s: time of its planned stop, in simulated seconds.
    :ivar replies: texts of replies by reply token, until they are fetched.
    :ivar clock_offset_s: offset of the instance's wall clock, in seconds.
    :ivar incarnation: incarnation of its core.
    """

    name: InstanceName
    world: World
    core: NodeCore
    silence_s: float = 5.0
    alive: bool = True
    paused: bool = False
    ready: bool = False
    stopped: bool = False
    stopped_s: float = 0
    logs: list[fx.LogEvent] = field(factory=list)
    replies: dict[str, str] = field(factory=dict)
    clock_offset_s: float = 0
    incarnation: int = 0
    _reply_count: int = 0
    _pending_events: list[ev.Event] = field(factory=list)
    _pending_effects: list[fx.Effect] = field(factory=list)
    _handlers: Handlers = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Map each kind of effect to its handler."""
        self._handlers = {
            **CallHandlers(self).map_handlers(),
            **ForwardHandlers(self).map_handlers(),
            **ControlHandlers(self).map_handlers(),
            fx.AnswerPeer: self._answer,
            fx.AnswerKey: self._answer,
            fx.LogEvent: self.logs.append,
            fx.ReportReadiness: self._set_ready,
            fx.StopProcess: self._stop,
        }

    def start(self) -> None:
        """Start the periodic timer."""
        self._tick()

    def read_clock(self) -> Instant:
        """Return the time on the instance's monotonic and wall clocks."""
        now = self.world.simulation.read()
        return Instant(now.monotonic_s, now.wall_s + self.clock_offset_s)

    def handle_event(self, event: ev.Event) -> None:
        """Pass an event to the core and execute the resulting effects."""
        self._probe_event(event)
        if not self.alive or self.stopped:
            return
        if self.paused:
            self._pending_events.append(event)
            return
        effects = self.core.handle(event, self.read_clock())
        self._probe_handled(event)
        for effect in effects:
            self._perform(effect)

    def receive_call(self, profile: CallProfile) -> CallRecord:
        """Accept a caller's request."""
        record = CallRecord(profile, self.name)
        record.sent_s = self.world.simulation.now_s
        self.world.calls[profile.request_id] = record
        self.handle_event(ev.CallReceived(profile))
        return record

    def answer_peer(self, text: str) -> str | None:
        """Return the reply to a peer's message; none without a reply."""
        token = self.make_reply_token()
        self.handle_event(ev.PeerMessageReceived(token, text))
        return self.replies.pop(token, None)

    def request_key(self, organisation: str) -> str | None:
        """Return a new idempotency key; none without a reply."""
        token = self.make_reply_token()
        self.handle_event(ev.KeyRequested(token, organisation))
        return self.replies.pop(token, None)

    def make_reply_token(self) -> str:
        """Return a unique token that identifies a reply."""
        self._reply_count += 1
        return f'{self.name}-{self._reply_count}'

    def kill(self) -> None:
        """Kill the process; its callers' connections break."""
        self.alive = False
        self.ready = False
        self.world.network.dead.add(self.name)
        self.world.network.discard_held(self.name)
        for call in tuple(self.world.calls.values()):
            if call.instance == self.name and call.ended_s is None:
                call.broken = True
                call.end(self.world.simulation.now_s)

    def pause(self) -> None:
        """Suspend the process; arriving messages are held."""
        self.paused = True
        self.world.network.hold_messages(self.name)

    def resume(self) -> None:
        """Resume the process: pending effects first, then pending events."""
        self.paused = False
        effects = self._pending_effects
        self._pending_effects = []
        for effect in effects:
            self._perform(effect)
        events = self._pending_events
        self._pending_events = []
        for event in events:
            self.handle_event(event)
        self.world.network.deliver_held(self.name)

    def _tick(self) -> None:
        if not self.alive or self.stopped:
            return
        if not self.paused:
            self.handle_event(ev.TimerFired())
            self._check_silence()
        self.world.simulation.schedule(TICK_INTERVAL_S, self._tick)

    def _perform(self, effect: fx.Effect) -> None:
        if self.alive:
            self._probe_effect(effect)
        if not self.alive:
            return
        if self.paused:
            self._pending_effects.append(effect)
            return
        self._handlers[type(effect)](effect)

    def _probe_event(self, event: ev.Event) -> None:
        if self.world.probe is None or not self.alive or self.paused:
            return
        if isinstance(event, ev.CallReceived):
            subject = event.profile.request_id
            self.world.reach(FaultPoint.RECEIVED, subject, self.name)
        elif isinstance(event, ev.GroupStepEnded):
            if event.step == 'reserve' and event.succeeded:
                self.world.reach(
                    FaultPoint.RESERVED,
                    event.attempt,
                    self.name,
                    event.target,
                )
        else:
            self._probe_observation(event)

    def _probe_observation(self, event: ev.Event) -> None:
        if isinstance(event, ev.LoadRead):
            if event.report is not None and event.report.leaving:
                self.world.record_leaving(event.target)
        elif isinstance(event, ev.InstancesListed):
            for one in event.targets:
                if one.leaving:
                    self.world.record_leaving(one.name)
        else:
            point = _EVENT_POINTS.get(type(event))
            if point is not None:
                target = getattr(event, 'target', '')
                self.world.reach(point, '', self.name, target)

    def _probe_handled(self, event: ev.Event) -> None:
        if self.world.probe is None:
            return
        if isinstance(event, ev.CallReceived):
            request_id = event.profile.request_id
            record = self.core.call_coordinator.table.find(request_id)
            if event.profile.key and record is not None:
                self.world.reach(FaultPoint.CLAIMED, request_id, self.name)
            if record is not None and record.state is CallState.QUEUED:
                self.world.reach(FaultPoint.QUEUED, request_id, self.name)
        elif isinstance(event, ev.AttemptEnded):
            self.world.reach(FaultPoint.RELEASED, event.attempt, self.name)

    def _probe_effect(self, effect: fx.Effect) -> None:
        if self.world.probe is None:
            return
        target = getattr(effect, 'target', '')
        match effect:
            case fx.Dispatch(attempt=attempt):
                self.world.reach(FaultPoint.SENT, attempt, self.name, target)
            case fx.FinishCall(request_id):
                self.world.reach(FaultPoint.RELAYED, request_id, self.name)
            case fx.ForwardCall(request_id):
                self.world.reach(FaultPoint.FORWARDED, request_id, self.name)
            case fx.ReleaseHolding(tag=tag):
                read = parse_tag(tag)
                subject = read.attempt if read else ''
                self.world.reach(
                    FaultPoint.RELEASED, subject, self.name, target
                )
            case fx.SendOrder():
                self.world.reach(FaultPoint.ORDER_SENT, '', self.name, target)
            case fx.LogEvent('document_accepted'):
                self.world.reach(FaultPoint.DOCUMENT_ACCEPTED, '', self.name)
            case fx.SendPeerMessage(text=text) | fx.AnswerPeer(text=text) if (
                carries_document(text)
            ):
                self.world.reach(FaultPoint.DOCUMENT_PASSED, '', self.name)

    def _check_silence(self) -> None:
        now_s = self.world.simulation.now_s
        for record in self.core.call_coordinator.table.list_records():
            call = self.world.calls[record.profile.request_id]
            attempt = call.progress.attempt
            if attempt is None or call.ended_s is not None:
                continue
            if self._is_streaming(attempt, record.target):
                call.last_event_s = now_s
            if now_s - call.last_event_s >= self.silence_s:
                call.last_event_s = now_s
                self.handle_event(
                    ev.AttemptSilent(attempt, call.progress.next_offset)
                )

    def _is_streaming(
        self,
        attempt: AttemptId,
        target: TargetView | None,
    ) -> bool:
        """Return whether an engine that skips events is generating tokens."""
        engine = None
        if target is not None:
            engine = self.world.engines.get(target.name)
        if engine is None or not engine.skips_events or engine.dead:
            return False
        if self.world.network.is_partitioned(self.name, engine.name):
            return False
        stream = engine.streams.get(StreamId(str(attempt)))
        return stream is not None and stream.produced > 0

    def _answer(self, effect: fx.AnswerPeer | fx.AnswerKey) -> None:
        text = effect.text if isinstance(effect, fx.AnswerPeer) else effect.key
        self.replies[effect.reply_token] = text

    def _set_ready(self, effect: fx.ReportReadiness) -> None:
        self.ready = effect.ready

    def _stop(self, effect: fx.StopProcess) -> None:
        self.stopped = True
        self.stopped_s = self.world.simulation.now_s
        self.ready = False
        self.world.network.dead.add(self.name)


def carries_document(text: str) -> bool:
    """Return whether a peer message carries a document or its deltas."""
    return '"document":"{' in text or (
        '"deltas":"' in text and '"deltas":""' not in text
    )
