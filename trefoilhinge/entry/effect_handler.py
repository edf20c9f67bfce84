"""Carries out effects: messages to calls, I/O in worker threads."""

from collections.abc import Callable
from concurrent.futures import Executor
from typing import Any

from attrs import define, field

from trefoilhinge.calls.mailboxes import Mailboxes
from trefoilhinge.core import effects as fx
from trefoilhinge.core.clocks import Clock
from trefoilhinge.core.events import Event, OrderAnswered
from trefoilhinge.entry.logs import write_failure, write_log_event
from trefoilhinge.entry.peers import PeerClient
from trefoilhinge.entry.replies import Replies
from trefoilhinge.targets.interfaces import EngineClient, PlatformClient


@define
class Performer:
    """Turns each effect into I/O, and its outcome into an event."""

    _engines: EngineClient
    _platform: PlatformClient
    _peers: PeerClient
    _mailboxes: Mailboxes
    _replies: Replies
    _executor: Executor
    _report: Callable[[Event], None]
    _set_ready: Callable[[bool], None]
    _stop: Callable[[], None]
    _clock: Clock
    _actions: dict[type[Any], Callable[[Any], None]] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Map each kind of effect to what carries it out."""
        self._actions = {
            fx.Dispatch: self._mail_attempt,
            fx.ResumeStream: self._mail_attempt,
            fx.CancelAttempt: self._cancel,
            fx.FinishCall: self._mail_call,
            fx.RefuseCall: self._mail_call,
            fx.ForwardCall: self._mail_call,
            fx.QueryStream: self._ask(self._engines.query_stream),
            fx.ReleaseHolding: self._ask(self._engines.release),
            fx.ReadLoad: self._read_load,
            fx.ReadInstances: self._read_instances,
            fx.ReadDocument: self._ask(self._platform.read_document),
            fx.SendPeerMessage: self._ask(self._peers.send),
            fx.AnswerPeer: self._answer,
            fx.AnswerKey: self._answer,
            fx.ReadEngineState: self._ask(self._engines.read_state),
            fx.SendOrder: self._ask(self._send_order),
            fx.LogEvent: write_log_event,
            fx.ReportReadiness: self._report_ready,
            fx.StopProcess: self._stop_process,
            fx.RunGroupStep: self._mail_attempt,
        }

    def perform(self, effect: fx.Effect) -> None:
        """Carry out one effect without blocking."""
        self._actions[type(effect)](effect)

    def _ask(self, read: Callable[[Any], Event]) -> Callable[[Any], None]:
        def submit(effect: fx.Effect) -> None:
            self._submit(lambda: self._report(read(effect)))

        return submit

    def _send_order(self, order: fx.SendOrder) -> OrderAnswered:
        if self._clock.read().has_passed(order.lease):
            # It was not sent, so it is free to be ordered anew.
            return OrderAnswered(order.target, order.fence, accepted=False)
        return self._engines.send_order(order)

    def _submit(self, work: Callable[[], None]) -> None:
        def run() -> None:
            try:
                work()
            except Exception:
                # An executor would drop the failure without a trace.
                write_failure('input_failed')

        try:
            self._executor.submit(run)
        except RuntimeError:
            # The process is ending and takes no more work.
            write_log_event(fx.LogEvent('work_dropped', ()))

    def _mail_attempt(
        self,
        effect: fx.Dispatch | fx.ResumeStream | fx.RunGroupStep,
    ) -> None:
        self._mailboxes.put(effect.attempt.request_id, effect)

    def _mail_call(
        self,
        effect: fx.FinishCall | fx.RefuseCall | fx.ForwardCall,
    ) -> None:
        self._mailboxes.put(effect.request_id, effect)

    def _cancel(self, effect: fx.CancelAttempt) -> None:
        self._mailboxes.put(effect.attempt.request_id, effect)
        if effect.model:
            self._submit(lambda: self._cancel_at_target(effect))

    def _cancel_at_target(self, effect: fx.CancelAttempt) -> None:
        # Nobody waits for the answer: the call is over here.
        self._engines.cancel(effect)

    def _read_load(self, effect: fx.ReadLoad) -> None:
        def read() -> None:
            self._report(self._engines.read_load(effect))
            self._report(self._engines.read_cache_events(effect))

        self._submit(read)

    def _read_instances(self, effect: fx.ReadInstances) -> None:
        self._submit(lambda: self._report(self._platform.read_instances()))

    def _answer(self, effect: fx.AnswerPeer | fx.AnswerKey) -> None:
        text = effect.text if isinstance(effect, fx.AnswerPeer) else effect.key
        self._replies.put(effect.reply_token, text)

    def _report_ready(self, effect: fx.ReportReadiness) -> None:
        self._set_ready(effect.ready)

    def _stop_process(self, effect: fx.StopProcess) -> None:
        self._stop()
