"""Runs one policy under one load and computes its metrics.

A cell is one combination of a policy and a load.
"""

import functools

from attrs import define, evolve, field, frozen

from trefoilhinge.conf.generated.document import Document
from trefoilhinge.core.identifiers import RequestId
from trefoilhinge.core.verdicts import RefusalCode
from trefoilhinge.measure.capacity import compute_capacity
from trefoilhinge.measure.faults import FaultKind, schedule_fault
from trefoilhinge.measure.fleet import SimulatedFleet, make_fleet
from trefoilhinge.measure.results import CellResult, Distribution, summarise
from trefoilhinge.measure.workload import (
    Arrival,
    find_service,
    make_workload_generator,
)
from trefoilhinge.standins.simulation.engine import EngineSpeeds
from trefoilhinge.standins.simulation.world import CallRecord

WARM_UP_S = 5.0
DRAIN_STEP_S = 5.0
MAXIMUM_DRAIN_S = 900.0
DECADE_NAMES = ('1k-10k', '10k-100k', '100k-1M')


@frozen
class CellPlan:
    """Configuration of one cell.

    :ivar document_text: JSON text that the configuration service serves.
    :ivar load: offered load as a share of capacity.
    :ivar duration_s: duration of the load, seconds.
    :ivar client_delay_s: one-way network delay between callers and instances,
        seconds.
    :ivar faults: kind of the fault that is injected.
    """

    document: Document
    document_text: str
    policy: str
    load: float
    seed: int
    duration_s: float
    client_delay_s: float
    faults: FaultKind = FaultKind.NONE


@define
class _Run:
    """Execution of a workload on a fleet.

    :ivar unroutable: requests that found no ready instance.
    :ivar end_s: simulated seconds at which the load ended.
    """

    plan: CellPlan
    fleet: SimulatedFleet
    arrivals: tuple[Arrival, ...]
    unroutable: int = 0
    end_s: float = 0
    _short_first_s: dict[RequestId, float] = field(factory=dict)

    def execute(self) -> None:
        """Send every request and run until all are answered.

        Stops waiting ``MAXIMUM_DRAIN_S + DRAIN_STEP_S`` after the load ended.
        """
        simulation = self.fleet.world.simulation
        for arrival in self.arrivals:
            simulation.schedule(
                WARM_UP_S + arrival.at_s,
                functools.partial(self._send_request, arrival),
            )
        self.end_s = WARM_UP_S + self.plan.duration_s
        simulation.run_until(self.end_s)
        while (
            self._has_open_calls()
            and simulation.now_s < self._get_drain_deadline_s()
        ):
            simulation.run_until(simulation.now_s + DRAIN_STEP_S)

    def list_calls(self) -> list[CallRecord]:
        """Return every call that reached an instance."""
        return list(self.fleet.world.calls.values())

    def compute_ttft_s(self, call: CallRecord) -> float | None:
        """Return the time to first token seen by the caller, in seconds.

        :return: none if the call did not finish.
        """
        if call.first_s is None or not call.finished:
            return None
        server_ttft_s = call.first_s - call.profile.received_s
        return server_ttft_s + 2 * self.plan.client_delay_s

    def _send_request(self, arrival: Arrival) -> None:
        driver = self.fleet.choose_instance(arrival.instance_draw)
        if driver is None:
            self.unroutable += 1
            return
        now_s = self.fleet.world.simulation.now_s
        driver.receive_call(
            evolve(
                arrival.profile,
                received_s=now_s,
                deadline_s=arrival.profile.deadline_s + WARM_UP_S,
            ),
        )

    def _has_open_calls(self) -> bool:
        return any(call.ended_s is None for call in self.list_calls())

    def _get_drain_deadline_s(self) -> float:
        return self.end_s + MAXIMUM_DRAIN_S + DRAIN_STEP_S


def run_cell(plan: CellPlan) -> CellResult:
    """Measure one policy under one load.

    The workload runs twice: once in full and once with its short requests
    only and no fault. The ratio of the two times to first token is the
    slowdown of each short request.
    """
    arrivals = _generate_arrivals(plan)
    mixed = _execute_run(plan, arrivals)
    short_tokens = plan.document.balance.short_tokens
    short_arrivals = tuple(
        arrival
        for arrival in arrivals
        if arrival.profile.model
        and arrival.profile.prompt_tokens <= short_tokens
    )
    isolated = _execute_run(evolve(plan, faults=FaultKind.NONE), short_arrivals)
    return _summarise_run(mixed, isolated)


def _generate_arrivals(plan: CellPlan) -> tuple[Arrival, ...]:
    service = find_service(plan.document, 'model')
    speeds = EngineSpeeds(memory_tokens=service.memory_tokens)
    capacity = compute_capacity(service, speeds)
    generator = make_workload_generator(plan.document, plan.seed)
    return generator.generate_arrivals(plan.load * capacity, plan.duration_s)


def _execute_run(plan: CellPlan, arrivals: tuple[Arrival, ...]) -> _Run:
    fleet = make_fleet(
        plan.document,
        plan.document_text,
        plan.policy,
        plan.seed,
        EngineSpeeds(),
    )
    run = _Run(plan, fleet, arrivals)
    schedule_fault(fleet, plan.faults, WARM_UP_S, plan.duration_s)
    run.execute()
    return run


def _summarise_run(mixed: _Run, isolated: _Run) -> CellResult:
    plan = mixed.plan
    slowdown = _compute_short_slowdowns(mixed, isolated)
    ttfts_by_decade = {name: Distribution() for name in DECADE_NAMES}
    long_ttfts = Distribution()
    for call in mixed.list_calls():
        ttft_s = mixed.compute_ttft_s(call)
        if ttft_s is None or not call.profile.model:
            continue
        ttfts_by_decade[_get_decade_name(call.profile.prompt_tokens)].add(
            ttft_s
        )
        if call.profile.prompt_tokens > plan.document.balance.long_tokens:
            long_ttfts.add(ttft_s)
    misses = _count_misses(mixed)
    return CellResult(
        policy=plan.policy,
        load=plan.load,
        short_slowdown_p50=slowdown.find_percentile(50),
        short_slowdown_p95=slowdown.find_percentile(95),
        long_ttft_p95_s=long_ttfts.find_percentile(95),
        ttft_s={
            name: summarise(distribution)
            for name, distribution in ttfts_by_decade.items()
        },
        goodput_tokens_per_s=_compute_goodput(mixed),
        cache_hit_share_of_ideal=_compute_hit_share(mixed),
        refused=_count_refusals(mixed),
        admitted_late=misses + _count_late(mixed),
        ran_twice=_count_duplicates(mixed),
        limit_overshoot=_compute_overshoot(mixed),
        inter_token_p95_s=_compute_gap_p95_s(mixed),
        wasted_tokens=_count_wasted(mixed),
        deadline_misses=misses,
        unanswered=mixed.unroutable
        + sum(record.broken for record in mixed.list_calls()),
        requests=len(mixed.arrivals),
    )


def _compute_short_slowdowns(mixed: _Run, isolated: _Run) -> Distribution:
    ratios = Distribution()
    for request_id, call in isolated.fleet.world.calls.items():
        other = mixed.fleet.world.calls.get(request_id)
        isolated_ttft_s = isolated.compute_ttft_s(call)
        mixed_ttft_s = None if other is None else mixed.compute_ttft_s(other)
        if isolated_ttft_s and mixed_ttft_s:
            ratios.add(mixed_ttft_s / isolated_ttft_s)
    return ratios


def _get_decade_name(prompt_tokens: int) -> str:
    decade = len(str(prompt_tokens)) - len('1000')
    return DECADE_NAMES[max(0, min(decade, len(DECADE_NAMES) - 1))]


def _compute_goodput(run: _Run) -> float:
    tokens = sum(
        call.profile.total_tokens
        for call in run.list_calls()
        if call.finished
        and call.ended_s is not None
        and call.ended_s <= run.end_s
    )
    return tokens / run.plan.duration_s


def _compute_hit_share(run: _Run) -> float | None:
    ideal_tokens = run.fleet.cache_tracker.ideal_hit_tokens
    if not ideal_tokens:
        return None
    found = sum(
        engine.cached_tokens for engine in run.fleet.world.engines.values()
    )
    return found / ideal_tokens


def _count_refusals(run: _Run) -> dict[str, int]:
    counts = {'not_run': 0, 'may_have_run': 0, 'ran': 0}
    for call in run.list_calls():
        if call.refusal is not None:
            counts[call.refusal.verdict.value] += 1
    return counts


def _count_misses(run: _Run) -> int:
    return sum(
        call.refusal is not None
        and call.refusal.code is RefusalCode.DEADLINE_PASSED
        for call in run.list_calls()
    )


def _count_late(run: _Run) -> int:
    late = 0
    for call in run.list_calls():
        if call.ended_s is None:
            late += 1
        elif call.finished:
            late += call.ended_s > call.profile.deadline_s
    return late


def _count_duplicates(run: _Run) -> int:
    world = run.fleet.world
    counts: dict[str, int] = {}
    runs = [engine.runs for engine in world.engines.values()]
    runs.extend(plain.runs for plain in world.plains.values())
    for found in runs:
        for request, count in found.items():
            counts[request] = counts.get(request, 0) + count
    return sum(
        count > 1 and not world.calls[RequestId(request)].profile.idempotent
        for request, count in counts.items()
    )


def _compute_overshoot(run: _Run) -> float:
    admitted: dict[str, int] = {}
    for call in run.list_calls():
        if call.refusal is None:
            name = call.profile.organisation
            admitted[name] = admitted.get(name, 0) + call.profile.total_tokens
    worst: float = 0
    for organisation in run.plan.document.organisations:
        allowed = organisation.tokens_per_s * (
            run.plan.duration_s + organisation.burst_s
        )
        worst = max(worst, admitted.get(organisation.name, 0) / allowed - 1)
    return worst


def _compute_gap_p95_s(run: _Run) -> float | None:
    gaps = Distribution()
    for engine in run.fleet.world.engines.values():
        for gap_s, count in engine.inter_token_gaps.items():
            gaps.add(gap_s, count)
    return gaps.find_percentile(95)


def _count_wasted(run: _Run) -> int:
    engines = run.fleet.world.engines.values()
    processed_tokens = sum(
        engine.prefilled_tokens + engine.cached_tokens for engine in engines
    )
    useful_tokens = sum(
        call.profile.prompt_tokens
        for call in run.list_calls()
        if call.finished and call.profile.model
    )
    return max(0, processed_tokens - useful_tokens)
