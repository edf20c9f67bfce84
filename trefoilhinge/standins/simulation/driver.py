"""Carries out a node's effects against fakes, on simulated time."""

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
from trefoilhinge.standins.simulation.call_handlers import AnswerActions
from trefoilhinge.standins.simulation.forward_handlers import ForwardActions
from trefoilhinge.standins.simulation.control_handlers import PlatformActions
from trefoilhinge.standins.simulation.fault_points import Step
from trefoilhinge.standins.simulation.world import CallRecord, World

Actions = dict[type[Any], Callable[[Any], None]]
_EVENT_STEPS = {
    ev.DocumentRead: Step.DOCUMENT_READ,
    ev.EngineStateRead: Step.STATE_READ,
    ev.OrderAnswered: Step.ORDER_ANSWERED,
}


@define
class NodeDriver:
    """Runs one instance: its core, its timer and its I/O.

    :ivar alive: false once it was killed.
    :ivar paused: whether events pile up instead of being handled.
    :ivar incarnation: incarnation of its core.
    :ivar stopped_s: time at which it ended by a planned stop.
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
    _tokens: int = 0
    _backlog: list[ev.Event] = field(factory=list)
    _pending: list[fx.Effect] = field(factory=list)
    _actions: Actions = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Map each kind of effect to the fake that carries it out."""
        self._actions = {
            **AnswerActions(self).map_effects(),
            **ForwardActions(self).map_effects(),
            **PlatformActions(self).map_effects(),
            fx.AnswerPeer: self._answer,
            fx.AnswerKey: self._answer,
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
        self._reach_event(event)
        if not self.alive or self.stopped:
            return
        if self.paused:
            self._backlog.append(event)
            return
        effects = self.core.handle(event, self.read_clock())
        self._reach_handled(event)
        for effect in effects:
            self._perform(effect)

    def receive_call(self, profile: CallProfile) -> CallRecord:
        """Take a caller's request."""
        record = CallRecord(profile, self.name)
        record.sent_s = self.world.simulation.now_s
        self.world.calls[profile.request_id] = record
        self.report(ev.CallReceived(profile))
        return record

    def exchange(self, text: str) -> str | None:
        """Answer a peer's message, none if this instance cannot."""
        token = self.make_token()
        self.report(ev.PeerMessageReceived(token, text))
        return self.replies.pop(token, None)

    def request_key(self, organisation: str) -> str | None:
        """Return a new idempotency key, none if this instance cannot."""
        token = self.make_token()
        self.report(ev.KeyRequested(token, organisation))
        return self.replies.pop(token, None)

    def make_token(self) -> str:
        """Return a name for a connection to answer on."""
        self._tokens += 1
        return f'{self.name}-{self._tokens}'

    def kill(self) -> None:
        """Lose the process; its callers see their connections break."""
        self.alive = False
        self.ready = False
        self.world.network.dead.add(self.name)
        self.world.network.forget(self.name)
        for call in tuple(self.world.calls.values()):
            if call.instance == self.name and call.ended_s is None:
                call.broken = True
                call.end(self.world.simulation.now_s)

    def pause(self) -> None:
        """Stop running; what arrives waits."""
        self.paused = True
        self.world.network.freeze(self.name)

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
        self.world.network.thaw(self.name)

    def _tick(self) -> None:
        if not self.alive or self.stopped:
            return
        if not self.paused:
            self.report(ev.TimerFired())
            self._watch_silence()
        self.world.simulation.schedule(TICK_INTERVAL_S, self._tick)

    def _perform(self, effect: fx.Effect) -> None:
        if self.alive:
            self._reach_effect(effect)
        if not self.alive:
            return
        if self.paused:
            self._pending.append(effect)
            return
        self._actions[type(effect)](effect)

    def _reach_event(self, event: ev.Event) -> None:
        if self.world.probe is None or not self.alive or self.paused:
            return
        if isinstance(event, ev.CallReceived):
            subject = event.profile.request_id
            self.world.reach(Step.RECEIVED, subject, self.name)
        elif isinstance(event, ev.GroupStepEnded):
            if event.step == 'reserve' and event.succeeded:
                self.world.reach(
                    Step.RESERVED,
                    event.attempt,
                    self.name,
                    event.target,
                )
        else:
            self._reach_news(event)

    def _reach_news(self, event: ev.Event) -> None:
        if isinstance(event, ev.LoadRead):
            if event.report is not None and event.report.leaving:
                self.world.note_leaving(event.target)
        elif isinstance(event, ev.InstancesListed):
            for one in event.targets:
                if one.leaving:
                    self.world.note_leaving(one.name)
        else:
            step = _EVENT_STEPS.get(type(event))
            if step is not None:
                target = getattr(event, 'target', '')
                self.world.reach(step, '', self.name, target)

    def _reach_handled(self, event: ev.Event) -> None:
        if self.world.probe is None:
            return
        if isinstance(event, ev.CallReceived):
            request_id = event.profile.request_id
            record = self.core.call_coordinator.table.find(request_id)
            if event.profile.key and record is not None:
                self.world.reach(Step.CLAIMED, request_id, self.name)
            if record is not None and record.state is CallState.QUEUED:
                self.world.reach(Step.QUEUED, request_id, self.name)
        elif isinstance(event, ev.AttemptEnded):
            self.world.reach(Step.RELEASED, event.attempt, self.name)

    def _reach_effect(self, effect: fx.Effect) -> None:
        if self.world.probe is None:
            return
        target = getattr(effect, 'target', '')
        match effect:
            case fx.Dispatch(attempt=attempt):
                self.world.reach(Step.SENT, attempt, self.name, target)
            case fx.FinishCall(request_id):
                self.world.reach(Step.RELAYED, request_id, self.name)
            case fx.ForwardCall(request_id):
                self.world.reach(Step.FORWARDED, request_id, self.name)
            case fx.ReleaseHolding(tag=tag):
                read = parse_tag(tag)
                subject = read.attempt if read else ''
                self.world.reach(Step.RELEASED, subject, self.name, target)
            case fx.SendOrder():
                self.world.reach(Step.ORDER_SENT, '', self.name, target)
            case fx.LogEvent('document_accepted'):
                self.world.reach(Step.DOCUMENT_ACCEPTED, '', self.name)
            case fx.SendPeerMessage(text=text) | fx.AnswerPeer(text=text) if (
                passes_document(text)
            ):
                self.world.reach(Step.DOCUMENT_PASSED, '', self.name)

    def _watch_silence(self) -> None:
        now_s = self.world.simulation.now_s
        for record in self.core.call_coordinator.table.list_records():
            call = self.world.calls[record.profile.request_id]
            attempt = call.progress.attempt
            if attempt is None or call.ended_s is not None:
                continue
            if self._is_flowing(attempt, record.target):
                call.last_event_s = now_s
            if now_s - call.last_event_s >= self.silence_s:
                call.last_event_s = now_s
                self.report(
                    ev.AttemptSilent(attempt, call.progress.next_offset)
                )

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


def passes_document(text: str) -> bool:
    """Return whether a peer message carries a document or changes of one."""
    return '"document":"{' in text or (
        '"deltas":"' in text and '"deltas":""' not in text
    )
