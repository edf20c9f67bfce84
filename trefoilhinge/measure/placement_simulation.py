"""Simulation of the gateway's placement on engines that work in iterations.

All instances share one view of the load, which is updated without delay when
a call is placed or ends.
"""

import heapq
import itertools
from collections.abc import Iterable

from attrs import define, field, frozen

from trefoilhinge.dispatch.demand.rates import DemandTable
from trefoilhinge.dispatch.demand.spreading import (
    UnseenStarts,
    estimate_unseen_starts,
)
from trefoilhinge.dispatch.documents import (
    REQUEST_HASH_VALUES,
    EngineProfile,
)
from trefoilhinge.dispatch.group_placement import Placement
from trefoilhinge.dispatch.loads import LoadTable, Run
from trefoilhinge.dispatch.patience import compute_patience_s
from trefoilhinge.dispatch.placement import list_candidates, place_prompt
from trefoilhinge.dispatch.placement_requests import PlacementRequest
from trefoilhinge.dispatch.targets import TargetRecord
from trefoilhinge.measure.phased_workload import Arrival
from trefoilhinge.standins.iterations import (
    EngineCall,
    IterationEngine,
    split_prompt,
)

# Delay between a caller and an engine through an instance, in each direction.
NETWORK_DELAY_S = 0.002
# Delay until all instances know that the prefill of a prompt is complete.
REPORT_DELAY_S = 0.004
ORIGIN = 'measure'
HASH_FACTOR = 1_664_525  # of a linear congruential generator


@frozen
class Outcome:
    """Outcome of one call.

    :ivar first_event_s: seconds until the first event; none if the call was
        refused.
    :ivar expected_first_event_s: the same, as predicted by the placement.
    :ivar maximum_gap_s: longest gap between two events, seconds.
    :ivar target_count: number of targets that prefilled the prompt.
    """

    arrival: Arrival
    first_event_s: float | None
    expected_first_event_s: float
    maximum_gap_s: float
    target_count: int

    @property
    def meets_slo(self) -> bool:
        """Return whether the first event and all gaps met their objectives."""
        if self.first_event_s is None:
            return False
        route = self.arrival.call_class.route
        return (
            self.first_event_s <= route.slo_s
            and self.maximum_gap_s <= route.gap_slo_s
        )

    @property
    def earned_weight(self) -> float:
        """Return the weight earned, in the unit of the call class.

        A refused or abandoned call earns nothing.
        """
        call_class = self.arrival.call_class
        route = call_class.route
        patience_s = compute_patience_s(route.slo_s, route.gap_slo_s)
        if self.first_event_s is None:
            return 0
        if max(self.first_event_s, self.maximum_gap_s) > patience_s:
            return 0
        full_weight = (
            call_class.weight if self.meets_slo else call_class.late_weight
        )
        return full_weight * self.arrival.size_factor


@define
class _PlacedCall:
    """A call that was placed.

    :ivar engine_call: the call on the engine that decodes it.
    :ivar next_check_s: seconds at which the call is next checked for sending.
    """

    arrival: Arrival
    run: Run
    placement: Placement
    engine_call: EngineCall
    next_check_s: float = 0


@frozen
class _StartReport:
    """Report of a run's start that reaches the other instances."""

    run: Run
    latest_end_s: float


@define
class PlacementSimulation:
    """Discrete-event simulation of engines, the load table and arriving calls.

    :ivar engine_profile: profile of every engine.
    :ivar records: targets, one for each engine.
    :ivar loads: load table that all instances share.
    :ivar start_delay_s: seconds until the instances know of a run.
    :ivar demand: short calls that the instances hear of; none if they place
        them without.
    :ivar outcomes: outcomes of the calls that ended or were refused.
    """

    engine_profile: EngineProfile
    records: list[TargetRecord]
    loads: LoadTable = field(factory=LoadTable)
    start_delay_s: float = 0
    demand: DemandTable | None = None
    outcomes: list[Outcome] = field(factory=list)
    _engines: dict[str, IterationEngine] = field(factory=dict)
    _events: list[tuple[float, int, object]] = field(factory=list)
    _sequence: 'itertools.count[int]' = field(factory=itertools.count)
    _sent: dict[int, _PlacedCall] = field(factory=dict)
    _delayed: list[_PlacedCall] = field(factory=list)

    def run(self, arrivals: Iterable[Arrival]) -> list[Outcome]:
        """Run until the last call has ended; return the outcomes."""
        for record in self.records:
            self._engines[record.name] = IterationEngine(self.engine_profile)
        for arrival in arrivals:
            self._schedule(arrival.at_s, arrival)
        while self._events:
            now_s, _, event = heapq.heappop(self._events)
            if isinstance(event, Arrival):
                self._place(event, now_s)
            elif isinstance(event, str):
                self._end_iteration(event, now_s)
            elif isinstance(event, _StartReport):
                self._record_start(event, now_s)
            else:
                self._send_due(now_s)
        return self.outcomes

    def _schedule(
        self, at_s: float, event: 'Arrival | str | _StartReport | None'
    ) -> None:
        """Schedule an event.

        :param event: an arrival, the name of the target whose iteration ends,
            the report of a start, or none to check the delayed calls.
        """
        heapq.heappush(self._events, (at_s, next(self._sequence), event))

    def _place(self, arrival: Arrival, now_s: float) -> None:
        placement = place_prompt(
            list_candidates(self.records, self.loads),
            PlacementRequest(
                self.engine_profile,
                arrival.call_class.route,
                arrival.size,
                now_s,
                arrival.call_class.route.timeout_s,
                unseen=self._estimate_unseen(now_s),
            ),
        )
        if placement is None:
            self.outcomes.append(Outcome(arrival, None, 0, 0, 0))
            return
        run = Run(
            origin=ORIGIN,
            number=next(self._sequence),
            parts=placement.parts,
            context_tokens=arrival.size.prompt_tokens,
            output_tokens=arrival.size.expected_output_tokens,
            gap_slo_s=arrival.call_class.route.gap_slo_s,
            started_s=now_s,
            send_delay_s=placement.send_delay_s,
        )
        self._report_start(run, now_s + arrival.call_class.route.timeout_s)
        context = max(
            placement.reserved_tokens, default=arrival.size.prompt_tokens
        )
        engine_call = EngineCall(
            run.number, context, arrival.actual_output_tokens
        )
        self._delayed.append(_PlacedCall(arrival, run, placement, engine_call))
        self._send_due(now_s)

    def _report_start(self, run: Run, latest_end_s: float) -> None:
        """Tell the other instances of a run; a delayed one is known at once."""
        report = _StartReport(run, latest_end_s)
        if run.send_delay_s or not self.start_delay_s:
            self._record_start(report, run.started_s)
        else:
            self._schedule(run.started_s + self.start_delay_s, report)

    def _record_start(self, report: _StartReport, now_s: float) -> None:
        self.loads.record_start(report.run, report.latest_end_s, now_s)
        if self.demand is not None:
            self.demand.record_start(ORIGIN, report.run, now_s)

    def _estimate_unseen(self, now_s: float) -> UnseenStarts | None:
        if self.demand is None:
            return None
        rate = self.demand.estimate(ORIGIN, now_s).calls_per_s
        request_hash = next(self._sequence) * HASH_FACTOR % REQUEST_HASH_VALUES
        return estimate_unseen_starts(rate, 0, len(self.records), request_hash)

    def _send_due(self, now_s: float) -> None:
        for call in tuple(self._delayed):
            send_s = now_s
            if call.run.send_delay_s:
                send_s = self.loads.find_send_time_s(call.run, now_s)
            if send_s > now_s:
                if send_s != call.next_check_s:
                    call.next_check_s = send_s
                    self._schedule(send_s, None)
            else:
                self._delayed.remove(call)
                self.loads.record_sent(call.run.key, now_s)
                self._send(call, now_s)

    def _send(self, call: _PlacedCall, now_s: float) -> None:
        number = call.run.number
        reservations = call.placement.reserved_tokens
        names = [part.target for part in call.placement.parts]
        for name, tokens in zip(names[1:], reservations[1:], strict=False):
            self._engines[name].reserved_context_tokens[number] = tokens
        self._sent[number] = call
        parts = split_prompt(
            self.engine_profile,
            call.engine_call,
            call.arrival.size.prompt_tokens,
            len(names),
        )
        for name, part in zip(names, parts, strict=True):
            engine = self._engines[name]
            if part.is_local:
                engine.add_call(call.engine_call, part)
            else:
                engine.add_part(part)
            self._start_iteration(name, now_s + NETWORK_DELAY_S)

    def _start_iteration(self, name: str, now_s: float) -> None:
        engine = self._engines[name]
        if engine.busy_until_s is None:
            ends_s = engine.start_iteration(now_s)
            if ends_s is not None:
                self._schedule(ends_s, name)

    def _end_iteration(self, name: str, now_s: float) -> None:
        engine = self._engines[name]
        for engine_call in engine.finish_iteration(now_s):
            self._finish(engine_call.key, now_s)
        for other_name, other in self._engines.items():
            if other is engine or other.busy_until_s is None:
                self._start_decoding(other_name, other, now_s)
        self._start_iteration(name, now_s)

    def _start_decoding(
        self, name: str, engine: IterationEngine, now_s: float
    ) -> None:
        started = engine.start_decoding(now_s)
        for engine_call in started:
            self.loads.record_first_event((ORIGIN, engine_call.key), now_s)
        if started:
            self._start_iteration(name, now_s)
            self._schedule(now_s + REPORT_DELAY_S, None)

    def _finish(self, number: int, now_s: float) -> None:
        call = self._sent.pop(number)
        for engine in self._engines.values():
            engine.reserved_context_tokens.pop(number, None)
        self.loads.record_end(call.run.key, now_s)
        times = call.engine_call.event_times_s
        gaps_s = [after - before for before, after in itertools.pairwise(times)]
        self.outcomes.append(
            Outcome(
                call.arrival,
                times[0] + NETWORK_DELAY_S - call.arrival.at_s,
                call.placement.first_event_s,
                max(gaps_s, default=0),
                len(call.placement.parts),
            )
        )
