"""Track the run of a call in the load state of all instances."""

from attrs import define

from trefoilhinge.dispatch.calls import Call
from trefoilhinge.dispatch.documents import CallKind
from trefoilhinge.dispatch.group_placement import Placement
from trefoilhinge.dispatch.loads import Run
from trefoilhinge.dispatch.messages import (
    RunEnded,
    RunFirstEvent,
    RunSent,
    RunStarted,
)
from trefoilhinge.gateway.learned_costs import (
    PrefillObserver,
    estimate_output,
    observe_prefill,
)
from trefoilhinge.gateway.peer_exchange import PeerExchange
from trefoilhinge.gateway.run_records import end_run
from trefoilhinge.gateway.state import GatewayState


@define
class RunTracker:
    """Tracks the run of one call, if one is in progress.

    :ivar has_first_event: whether the first event of the run arrived, which
        shows that its prompt was prefilled.
    """

    _state: GatewayState
    _peers: PeerExchange
    _call: Call
    _run: Run | None = None
    _prefill: PrefillObserver | None = None
    has_first_event: bool = False

    def start(self, placement: Placement, number: int) -> None:
        """Add a run to the load of its targets and announce it.

        :param number: number of the run, unique for this incarnation.
        """
        now_s = self._state.get_now_s()
        size = self._call.head.prompt_size
        is_stream = self._call.route.kind is CallKind.stream
        self._run = Run(
            origin=self._state.origin,
            number=number,
            parts=placement.parts,
            context_tokens=size.prompt_tokens if size else 0,
            output_tokens=self._estimate_output_tokens(),
            gap_slo_s=self._call.route.gap_slo_s if is_stream else 0,
            started_s=now_s,
            send_delay_s=placement.send_delay_s,
        )
        self.has_first_event = False
        load = self._state.loads.get(placement.parts[0].target)
        backlog_s = load.estimate_backlog_s(now_s)
        maximum_duration_s = max(0, self._call.deadline_s - now_s)
        self._state.record_run(self._run, now_s + maximum_duration_s)
        self._prefill = observe_prefill(
            self._state, self._call, self._run, backlog_s
        )
        self._peers.broadcast(RunStarted(self._run, maximum_duration_s))

    async def wait_for_send_time(self) -> None:
        """Wait until the targets have prefilled the prompts ahead of the run.

        A run at a single target does not wait.
        """
        if self._run is None or len(self._run.parts) == 1:
            return
        await self._state.prefill_waiters.wait_for_send_time(self._run)
        if self._run.send_delay_s:
            self._state.record_run_sent(self._run.key)
            self._peers.broadcast(RunSent(*self._run.key))

    def record_event(self, now_s: float) -> None:
        """Record an event; the first shows that the prompt was prefilled."""
        if self._run is None or self.has_first_event:
            return
        self.has_first_event = True
        if self._prefill is not None:
            self._prefill.record_first_event(self._state, now_s)
        self._state.loads.record_first_event(self._run.key, now_s)
        if len(self._run.parts) > 1:
            self._peers.broadcast(RunFirstEvent(*self._run.key))
            self._state.prefill_waiters.notify_all()

    def end(self) -> None:
        """Remove the run from the load of its targets and announce its end."""
        if self._run is None:
            return
        end_run(self._state, self._run.key)
        self._peers.broadcast(RunEnded(*self._run.key))
        self._run = None

    def _estimate_output_tokens(self) -> int:
        learned = estimate_output(self._state, self._call)
        if learned is not None:
            return round(learned.mean)
        size = self._call.head.prompt_size
        return size.expected_output_tokens if size else 0
