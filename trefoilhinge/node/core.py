"""Core of one instance: handles events and returns effects."""

from collections.abc import Callable
from typing import Any

from attrs import define, field

from trefoilhinge.conf.interfaces import DocumentReplica
from trefoilhinge.core.clocks import Instant
from trefoilhinge.core.effects import (
    AnswerKey,
    Effect,
    LogEvent,
    ReadDocument,
    ReadInstances,
    ReadLoad,
    RefuseCall,
    ReportReadiness,
    StopProcess,
)
from trefoilhinge.core.events import (
    AttemptAccepted,
    AttemptEnded,
    AttemptSilent,
    CacheEventsRead,
    CallerGone,
    CallReceived,
    DocumentRead,
    EngineStateRead,
    Event,
    ExitRequested,
    FirstTokenSeen,
    ForwardEnded,
    GroupStepEnded,
    HoldingReleased,
    InstancesListed,
    KeyRequested,
    LoadRead,
    OrderAnswered,
    PeerAnswered,
    PeerMessageReceived,
    StopRequested,
    StreamAnswered,
    TimerFired,
)
from trefoilhinge.core.identifiers import InstanceIdentity, TargetName
from trefoilhinge.core.verdicts import refuse_not_ready
from trefoilhinge.groups.interfaces import GroupRunner
from trefoilhinge.limits.interfaces import Limiter
from trefoilhinge.membership.interfaces import Fleet, TargetView
from trefoilhinge.node.call_coordinator import CallCoordinator
from trefoilhinge.node.document_polling import (
    DocumentPoller,
    make_document_poller,
)
from trefoilhinge.node.exchange import PeerExchanger
from trefoilhinge.node.observations import Observations
from trefoilhinge.node.stopping import (
    StopCounts,
    refuse_new_call,
    takes_calls,
)
from trefoilhinge.node.target_polling import TargetPoller
from trefoilhinge.node.timers import PauseDetector, Timer
from trefoilhinge.orders.interfaces import Reconciler
from trefoilhinge.retries.interfaces import Ledger, RetryPolicy
from trefoilhinge.routing.interfaces import Router

EXCHANGE_INTERVAL_S = 1.0
LOAD_INTERVAL_S = 0.5
INSTANCES_INTERVAL_S = 2.0
DOCUMENT_WATCH_WAIT_S = 2.0
RECONCILE_INTERVAL_S = 0.5
HOUSEKEEPING_INTERVAL_S = 5.0
# After a pause, the state of peers and of the platform is refreshed before
# calls are placed again.
PLACEMENT_DELAY_AFTER_PAUSE_S = 0.5

Effects = list[Effect]


@define
class NodeParts:
    """Cores that make up a node."""

    router: Router
    limiter: Limiter
    ledger: Ledger
    retries: RetryPolicy
    groups: GroupRunner
    fleet: Fleet
    document_replica: DocumentReplica
    reconciler: Reconciler


@define
class NodeTimers:
    """Timers of the periodic tasks of a node."""

    exchange: Timer = field(factory=lambda: Timer(EXCHANGE_INTERVAL_S))
    instances: Timer = field(factory=lambda: Timer(INSTANCES_INTERVAL_S))
    reconciler: Timer = field(factory=lambda: Timer(RECONCILE_INTERVAL_S))
    housekeeping: Timer = field(
        factory=lambda: Timer(HOUSEKEEPING_INTERVAL_S),
    )


@define
class NodeCore:
    """Makes the decisions of one instance, without sockets, threads or clocks.

    :ivar start_wait_s: minimum seconds after startup before it reports ready.
    :ivar stop_wait_s: minimum seconds after a stop request before it exits.
    :ivar observations: recent reports, used for the status only.
    :ivar identity: name and incarnation, used for the status only.
    :ivar ready: whether the instance accepts calls.
    :ivar started_s: monotonic seconds of the first timer event, if any.
    :ivar stopping_since_s: monotonic seconds of the stop request, if any.
    :ivar stop_limit_s: seconds after a stop request at which the calls that
        are left are ended, 0 for no limit.
    :ivar stop_counts: calls that the stop did not serve.
    """

    parts: NodeParts
    call_coordinator: CallCoordinator
    exchanger: PeerExchanger
    start_wait_s: float
    stop_wait_s: float
    document_poller: DocumentPoller = field(
        factory=lambda: make_document_poller(0)
    )
    timers: NodeTimers = field(factory=NodeTimers)
    pause_detector: PauseDetector = field(factory=PauseDetector)
    load_poller: TargetPoller = field(
        factory=lambda: TargetPoller(LOAD_INTERVAL_S)
    )
    observations: Observations = field(factory=Observations)
    identity: InstanceIdentity | None = None
    ready: bool = False
    started_s: float | None = None
    stopping_since_s: float | None = None
    stop_limit_s: float = 0
    stop_counts: StopCounts = field(factory=StopCounts)
    _stopped: bool = False
    _engines: tuple[TargetView, ...] = ()
    _cache_sequences: dict[TargetName, int] = field(factory=dict)
    _handlers: dict[type[Any], Callable[[Any, Instant], Effects]] = field(
        factory=dict,
    )

    def __attrs_post_init__(self) -> None:
        """Map each event type to its handler."""
        self._handlers = {
            CallReceived: self._receive_call,
            CallerGone: self.call_coordinator.note_caller_gone,
            AttemptAccepted: self.call_coordinator.note_accepted,
            FirstTokenSeen: self.call_coordinator.note_first_token,
            AttemptSilent: self.call_coordinator.note_silent,
            StreamAnswered: self.call_coordinator.note_stream,
            AttemptEnded: self.call_coordinator.note_ended,
            GroupStepEnded: self.call_coordinator.note_group_step,
            ForwardEnded: self.call_coordinator.note_forward,
            HoldingReleased: self._note_released,
            LoadRead: self._note_load,
            CacheEventsRead: self._note_cache_events,
            InstancesListed: self._note_instances,
            DocumentRead: self._note_document,
            PeerMessageReceived: self._receive_peer_message,
            PeerAnswered: self._receive_peer_reply,
            KeyRequested: self._mint_key,
            EngineStateRead: self._note_engine_state,
            OrderAnswered: self._note_order,
            StopRequested: self._start_stopping,
            ExitRequested: self._exit,
            TimerFired: self._tick,
        }

    def handle(self, event: Event, now: Instant) -> Effects:
        """Handle one event and return the resulting effects.

        :param event: event to handle.
        :param now: monotonic and wall time of the event.
        """
        effects: Effects = []
        if self.pause_detector.note(now):
            effects.extend(self._recover_from_pause(now))
        effects.extend(self._handlers[type(event)](event, now))
        if not self._stopped:
            effects.extend(self.exchanger.send_updates(now))
        self.observations.note(event, effects, now)
        return effects

    def _receive_call(self, event: CallReceived, now: Instant) -> Effects:
        request_id = event.profile.request_id
        if self._stopped or not takes_calls(
            self.stopping_since_s, self.stop_wait_s, self.stop_limit_s, now
        ):
            self.stop_counts.refused += 1
            refusal = refuse_new_call(self.parts.ledger, event.profile, now)
            return [RefuseCall(request_id, refusal)]
        if self.parts.document_replica.document is None:
            return [RefuseCall(request_id, refuse_not_ready())]
        return self.call_coordinator.receive(event, now)

    def _mint_key(self, event: KeyRequested, now: Instant) -> Effects:
        key = self.parts.ledger.mint_key(event.organisation, now)
        return [AnswerKey(event.reply_token, key)]

    def _note_released(self, event: HoldingReleased, now: Instant) -> Effects:
        self.parts.groups.note_released(event, now)
        return []

    def _note_load(self, event: LoadRead, now: Instant) -> Effects:
        report = event.report
        if report is not None:
            fleet = self.parts.fleet
            fleet.note_incarnation(event.target, report.incarnation, now)
            if report.leaving:
                fleet.note_leaving(event.target, report.incarnation, now)
        self.parts.router.note_load(event.target, report, now)
        return self._refresh_targets(now)

    def _note_cache_events(
        self, event: CacheEventsRead, now: Instant
    ) -> Effects:
        if event.cache_events:
            last = event.cache_events[-1].sequence
            self._cache_sequences[event.target] = last
        self.parts.router.note_cache_events(
            event.target,
            event.cache_events,
            now,
        )
        return []

    def _note_instances(self, event: InstancesListed, now: Instant) -> Effects:
        self.parts.fleet.note_listed(event, now)
        return self._refresh_targets(now)

    def _note_document(self, event: DocumentRead, now: Instant) -> Effects:
        before = self.parts.document_replica.digest
        effects: Effects = []
        if event.text is not None:
            merge_effects = self.parts.document_replica.merge_text(
                event.text, event.source, now
            )
            effects.extend(merge_effects)
        newer = before != self.parts.document_replica.digest
        self.document_poller.note_read(newer, now)
        if self.parts.document_replica.revision:
            self.document_poller.defer_unless_selected(self.parts.fleet, now)
        if newer:
            effects.extend(self._configure(now))
        return effects

    def _receive_peer_message(
        self,
        event: PeerMessageReceived,
        now: Instant,
    ) -> Effects:
        effects, changed = self.exchanger.receive(event, now)
        return effects + self._apply_exchange(changed, now)

    def _receive_peer_reply(self, event: PeerAnswered, now: Instant) -> Effects:
        effects, changed = self.exchanger.receive_reply(event, now)
        return effects + self._apply_exchange(changed, now)

    def _apply_exchange(self, changed: bool, now: Instant) -> Effects:
        effects = self._configure(now) if changed else []
        live = self.parts.fleet.list_live(now)
        self.parts.limiter.note_peers(
            frozenset(one.name for one in live),
            self.parts.fleet.count_expected(),
            now,
        )
        return effects + self._refresh_targets(now)

    def _note_engine_state(
        self, event: EngineStateRead, now: Instant
    ) -> Effects:
        live = self.parts.fleet.list_live(now)
        effects = list(self.parts.reconciler.note_state(event, now))
        effects.extend(self.parts.groups.note_state(event, live, now))
        return effects

    def _note_order(self, event: OrderAnswered, now: Instant) -> Effects:
        return list(self.parts.reconciler.note_answer(event, now))

    def _start_stopping(self, event: StopRequested, now: Instant) -> Effects:
        if self.stopping_since_s is not None:
            return []
        self.stopping_since_s = now.monotonic_s
        self.ready = False
        self.parts.fleet.note_stopping()
        return [
            self._log_stop_request(),
            ReportReadiness(ready=False),
            *self.exchanger.send(now),
        ]

    def _log_stop_request(self) -> LogEvent:
        fields = (
            ('calls', str(len(self.call_coordinator.table))),
            ('queued', str(self.parts.limiter.count_queued())),
        )
        return LogEvent('stop_requested', fields)

    def _exit(self, event: ExitRequested, now: Instant) -> Effects:
        self._stopped = True
        self.ready = False
        return self._end_calls(now)

    def _end_calls(self, now: Instant) -> Effects:
        records = self.call_coordinator.table.list_records()
        self.stop_counts.count_ended(one.verdict for one in records)
        return self.call_coordinator.end_calls(now)

    def _tick(self, event: TimerFired, now: Instant) -> Effects:
        if self._stopped:
            return []
        effects: Effects = []
        if self.started_s is None:
            self.started_s = now.monotonic_s
        effects.extend(self.call_coordinator.tick(now))
        effects.extend(self._poll_platform(now))
        if self.timers.exchange.take_due(now):
            effects.extend(self.exchanger.send(now))
            effects.extend(self._apply_exchange(False, now))
        effects.extend(self.parts.groups.retry_releases(now))
        if self.timers.reconciler.take_due(now):
            effects.extend(self._run_reconciler(now))
        if self.timers.housekeeping.take_due(now):
            self.parts.ledger.expire(now)
        effects.extend(self._report_ready(now))
        effects.extend(self._finish_stop(now))
        return effects

    def _recover_from_pause(self, now: Instant) -> Effects:
        self.parts.reconciler.note_pause(now)
        self.call_coordinator.placement_blocked_until_s = (
            now.monotonic_s + PLACEMENT_DELAY_AFTER_PAUSE_S
        )
        self.document_poller.force()
        self.timers.instances.force()
        self.timers.exchange.force()
        return [LogEvent('pause_detected', ())]

    def _poll_platform(self, now: Instant) -> Effects:
        effects: Effects = []
        wait_s = (
            DOCUMENT_WATCH_WAIT_S if self.parts.document_replica.revision else 0
        )
        if self.document_poller.take_due(wait_s, now):
            effects.append(
                ReadDocument(self.parts.document_replica.revision, wait_s)
            )
        if self.timers.instances.take_due(now):
            effects.append(ReadInstances())
        effects.extend(
            ReadLoad(
                one.name,
                one.address,
                self._cache_sequences.get(one.name, 0),
            )
            for one in self.load_poller.take_due(now)
        )
        return effects

    def _run_reconciler(self, now: Instant) -> Effects:
        if self.stopping_since_s is not None:
            return []
        live = self.parts.fleet.list_live(now)
        return list(
            self.parts.reconciler.reconcile(
                live,
                self.parts.fleet.count_expected(),
                self._engines,
                now,
            ),
        )

    def _list_engines(self) -> tuple[TargetView, ...]:
        document = self.parts.document_replica.document
        if document is None:
            return ()
        return tuple(
            one
            for service in document.services
            if service.kind == 'model'
            for one in self.parts.fleet.list_targets(service.name)
        )

    def _configure(self, now: Instant) -> Effects:
        document = self.parts.document_replica.document
        if document is None:
            return []
        self.parts.router.configure(document)
        self.parts.limiter.configure(document)
        self.parts.ledger.configure(document)
        self.parts.retries.configure(document)
        self.parts.fleet.configure(document, now)
        self.parts.reconciler.configure(document, now)
        effects = self._refresh_targets(now)
        # Targets listed before the document arrived do not count as changed,
        # but only the document determines which of them are engines.
        self._replace_engines()
        return effects

    def _refresh_targets(self, now: Instant) -> Effects:
        changed = self.parts.fleet.take_changed_services()
        for service in changed:
            targets = self.parts.fleet.list_targets(service)
            self.parts.router.update_targets(service, targets, now)
        if not changed:
            return []
        self._replace_engines()
        return self.call_coordinator.place_queued(now)

    def _replace_engines(self) -> None:
        self._engines = self._list_engines()
        self.load_poller.replace_targets(self._engines)

    def _report_ready(self, now: Instant) -> Effects:
        if self.ready or self.stopping_since_s is not None:
            return []
        started_s = (
            now.monotonic_s if self.started_s is None else self.started_s
        )
        waited = now.monotonic_s - started_s >= self.start_wait_s
        if self.parts.document_replica.document is None or not waited:
            return []
        self.ready = True
        return [ReportReadiness(ready=True)]

    def _finish_stop(self, now: Instant) -> Effects:
        if self.stopping_since_s is None:
            return []
        waited_s = now.monotonic_s - self.stopping_since_s
        effects: Effects = []
        is_limited = bool(self.stop_limit_s) and waited_s >= self.stop_limit_s
        if is_limited:
            effects.extend(self._end_calls(now))
        elif waited_s < self.stop_wait_s:
            return []
        handover = self.exchanger.handover
        busy = self._is_busy() and not is_limited
        if busy and handover.started_s is None:
            return []
        effects.extend(self.exchanger.send_handover(now))
        if busy or not handover.is_done(now):
            return effects
        self._stopped = True
        return [*effects, StopProcess()]

    def _is_busy(self) -> bool:
        calls = len(self.call_coordinator.table)
        return bool(calls or self.parts.groups.list_unreleased())
