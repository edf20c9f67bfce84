"""Handler of effects: messages to calls, and I/O in worker threads."""

from collections.abc import Callable
from concurrent.futures import Executor
from typing import Any

from attrs import define, field

from trefoilhinge.calls.mailboxes import Mailboxes
from trefoilhinge.core import effects as fx
from trefoilhinge.core.clocks import Clock
from trefoilhinge.core.events import Event, OrderAnswered
from trefoilhinge.entry.logs import log_event, log_exception
from trefoilhinge.entry.peers import PeerClient
from trefoilhinge.entry.replies import PendingReplies
from trefoilhinge.targets.interfaces import EngineClient, PlatformClient


@define
class EffectHandler:
    """Perform the I/O of effects and report its outcome as events.

    :ivar _release_executor: executor of requests that free resources at
        targets; the executor of all others if there is none.
    """

    _engine_client: EngineClient
    _platform_client: PlatformClient
    _peer_client: PeerClient
    _mailboxes: Mailboxes
    _replies: PendingReplies
    _executor: Executor
    _report: Callable[[Event], None]
    _update_readiness: Callable[[bool], None]
    _stop: Callable[[], None]
    _clock: Clock
    _handlers: dict[type[Any], Callable[[Any], None]] = field(factory=dict)
    _release_executor: Executor | None = field(default=None, kw_only=True)

    def __attrs_post_init__(self) -> None:
        """Map each type of effect to its handler."""
        self._handlers = {
            fx.Dispatch: self._deliver_to_attempt,
            fx.ResumeStream: self._deliver_to_attempt,
            fx.CancelAttempt: self._cancel,
            fx.FinishCall: self._deliver_to_call,
            fx.RefuseCall: self._deliver_to_call,
            fx.ForwardCall: self._deliver_to_call,
            fx.QueryStream: self._make_io_handler(
                self._engine_client.query_stream
            ),
            fx.ReleaseHolding: self._release_holding,
            fx.ReadLoad: self._read_load,
            fx.ReadInstances: self._read_instances,
            fx.ReadDocument: self._make_io_handler(
                self._platform_client.read_document
            ),
            fx.SendPeerMessage: self._make_io_handler(self._peer_client.send),
            fx.AnswerPeer: self._deliver_reply,
            fx.AnswerKey: self._deliver_reply,
            fx.ReadEngineState: self._make_io_handler(
                self._engine_client.read_state
            ),
            fx.SendOrder: self._make_io_handler(self._send_order),
            fx.LogEvent: log_event,
            fx.ReportReadiness: self._report_readiness,
            fx.StopProcess: self._stop_process,
            fx.RunGroupStep: self._deliver_to_attempt,
        }

    def handle(self, effect: fx.Effect) -> None:
        """Handle an effect without blocking."""
        self._handlers[type(effect)](effect)

    def _make_io_handler(
        self, perform_io: Callable[[Any], Event]
    ) -> Callable[[Any], None]:
        def submit(effect: fx.Effect) -> None:
            self._submit(lambda: self._report(perform_io(effect)))

        return submit

    def _send_order(self, order: fx.SendOrder) -> OrderAnswered:
        if self._clock.read().has_passed(order.lease):
            # The order was not sent, so it can safely be issued again.
            return OrderAnswered(order.target, order.fence, accepted=False)
        return self._engine_client.send_order(order)

    def _submit(
        self, task: Callable[[], None], executor: Executor | None = None
    ) -> None:
        def run() -> None:
            try:
                task()
            except Exception:
                # The executor would discard the exception unlogged.
                log_exception('input_failed')

        try:
            (executor or self._executor).submit(run)
        except RuntimeError:
            # The executor was shut down: the process is exiting.
            log_event(fx.LogEvent('work_dropped', ()))

    def _deliver_to_attempt(
        self,
        effect: fx.Dispatch | fx.ResumeStream | fx.RunGroupStep,
    ) -> None:
        self._mailboxes.put(effect.attempt.request_id, effect)

    def _deliver_to_call(
        self,
        effect: fx.FinishCall | fx.RefuseCall | fx.ForwardCall,
    ) -> None:
        self._mailboxes.put(effect.request_id, effect)

    def _cancel(self, effect: fx.CancelAttempt) -> None:
        self._mailboxes.put(effect.attempt.request_id, effect)
        if effect.model:
            self._submit(
                lambda: self._cancel_at_target(effect), self._release_executor
            )

    def _release_holding(self, effect: fx.ReleaseHolding) -> None:
        self._submit(
            lambda: self._report(self._engine_client.release(effect)),
            self._release_executor,
        )

    def _cancel_at_target(self, effect: fx.CancelAttempt) -> None:
        # The response is not reported: the call has ended at this instance.
        self._engine_client.cancel(effect)

    def _read_load(self, effect: fx.ReadLoad) -> None:
        def read() -> None:
            self._report(self._engine_client.read_load(effect))
            self._report(self._engine_client.read_cache_events(effect))

        self._submit(read)

    def _read_instances(self, effect: fx.ReadInstances) -> None:
        self._submit(
            lambda: self._report(self._platform_client.read_instances())
        )

    def _deliver_reply(self, effect: fx.AnswerPeer | fx.AnswerKey) -> None:
        text = effect.text if isinstance(effect, fx.AnswerPeer) else effect.key
        self._replies.deliver(effect.reply_token, text)

    def _report_readiness(self, effect: fx.ReportReadiness) -> None:
        self._update_readiness(effect.ready)

    def _stop_process(self, effect: fx.StopProcess) -> None:
        self._stop()
