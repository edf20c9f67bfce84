"""Use of learned costs by the calls of this instance."""

from collections.abc import Sequence

from attrs import define

from trefoilhinge.dispatch.calls import Call
from trefoilhinge.dispatch.documents import EngineProfile
from trefoilhinge.dispatch.estimation.estimates import CallFeatures, Estimate
from trefoilhinge.dispatch.estimation.plain_placement import (
    PlainRequest,
    place_by_service_time,
)
from trefoilhinge.dispatch.estimation.samples import (
    OutputSample,
    PrefillSample,
    Sample,
    ServiceSample,
)
from trefoilhinge.dispatch.estimation.switch import uses_learned_costs
from trefoilhinge.dispatch.health import Outcome
from trefoilhinge.dispatch.loads import Run
from trefoilhinge.dispatch.targets import TargetRecord
from trefoilhinge.gateway.progress import CallProgress
from trefoilhinge.gateway.state import GatewayState

# A prompt waits for half an iteration on average and is followed by one.
ITERATIONS_BEFORE_EVENT = 1.5
# A shorter prefill, in iterations, cannot be told from the wait around it.
MINIMUM_PREFILL_ITERATIONS = 2


def has_learned_costs(state: GatewayState) -> bool:
    """Return whether this instance places calls by learned costs."""
    return uses_learned_costs(state.settings, state.document)


def make_features(call: Call) -> CallFeatures:
    """Return what the costs of a call depend on."""
    organisation = call.organisation.name if call.organisation else ''
    size = call.head.prompt_size
    if size is None:
        return CallFeatures(call.route.name, organisation)
    return CallFeatures(
        call.route.name,
        organisation,
        size.prompt_tokens,
        size.expected_output_tokens,
        size.maximum_output_tokens,
    )


def estimate_output(state: GatewayState, call: Call) -> Estimate | None:
    """Return the learned output of a model call.

    :return: none for a plain call, or if costs are not learned.
    """
    if call.head.prompt_size is None or not has_learned_costs(state):
        return None
    state.costs.advance(state.get_now_s())
    return state.costs.estimate_output_tokens(make_features(call))


def find_delays_s(
    state: GatewayState, records: Sequence[TargetRecord]
) -> dict[str, float]:
    """Return the delays to the failure domains of targets, where they count.

    Shorter delays than those of distant domains would only decide between
    targets that are alike, and leave the ones in other domains unused.
    """
    document = state.document
    if document is None or not document.has_distant_domains:
        return {}
    if not has_learned_costs(state):
        return {}
    own = state.settings.failure_domain
    domains = {record.failure_domain for record in records}
    return {domain: document.find_delay_s(own, domain) for domain in domains}


def apply_to_loads(
    state: GatewayState, call: Call, records: Sequence[TargetRecord]
) -> None:
    """Set what was learned of targets in their loads, or that nothing was."""
    is_learned = has_learned_costs(state)
    deviation = 0.0  # noqa: WPS358
    if is_learned:
        state.costs.advance(state.get_now_s())
        deviation = state.costs.get_output_deviation(make_features(call))
    for record in records:
        load = state.loads.get(record.name)
        load.output_deviation = deviation
        load.prefill_factor = (
            state.costs.estimate_prefill_factor(record.name).mean
            if is_learned
            else 0
        )


def place_plain_by_costs(
    state: GatewayState,
    call: Call,
    records: Sequence[TargetRecord],
    limited: set[str],
) -> TargetRecord | None:
    """Return the target of a plain call by the service time ahead of it."""
    now_s = state.get_now_s()
    state.costs.advance(now_s)
    return place_by_service_time(
        records,
        state.loads,
        state.costs,
        PlainRequest(
            make_features(call), now_s, find_delays_s(state, records), limited
        ),
    )


@define
class CostRecorder:
    """Records what the attempts of one call cost."""

    _state: GatewayState
    _call: Call
    _progress: CallProgress
    _target: str = ''

    def record_sent(self, target: str) -> None:
        """Record that an attempt is sent."""
        self._target = target

    def record_outcome(self, outcome: Outcome) -> None:
        """Learn from an attempt that ended; ignore one that was not sent."""
        if outcome is Outcome.rejected:
            self._target = ''
        self._end(is_complete=outcome is Outcome.served)

    def close(self) -> None:
        """Learn from an attempt that was given up, if one is in progress."""
        self._end(is_complete=False)

    def _end(self, *, is_complete: bool) -> None:
        target = self._target
        self._target = ''
        if not target or not has_learned_costs(self._state):
            return
        engine = _find_engine(self._state, self._call)
        if engine is None or self._call.head.prompt_size is None:
            self._record_service(target, is_complete=is_complete)
        elif is_complete:
            self._record_output(engine)

    def _record_service(self, target: str, *, is_complete: bool) -> None:
        now_s = self._state.get_now_s()
        elapsed_s = now_s - self._progress.attempt_sent_s
        service_s = elapsed_s - _find_round_trip_s(self._state, target)
        record_sample(
            self._state,
            ServiceSample(
                make_features(self._call), target, service_s, is_complete
            ),
        )

    def _record_output(self, engine: EngineProfile) -> None:
        events = self._progress.last_event or self._progress.attempt_events
        if events > 0:
            # The last iteration is left half unused on average.
            tokens = (events - 0.5) * engine.steps_per_iteration
            record_sample(
                self._state, OutputSample(make_features(self._call), tokens)
            )


@define
class PrefillObserver:
    """Observes how long a target takes for the prefill of one run.

    Prompts that came between are seen by the time until which the target was
    expected to be busy when the run began.
    """

    _run: Run
    _iteration_s: float
    _busy_until_s: float

    def record_first_event(self, state: GatewayState, now_s: float) -> None:
        """Learn from the first event, unless other prompts came between."""
        part = self._run.parts[0]
        load = state.loads.get(part.target)
        if load.prefills.busy_until_s > self._busy_until_s:
            return
        waited_s = (
            self._iteration_s * ITERATIONS_BEFORE_EVENT
            + _find_round_trip_s(state, part.target)
        )
        took_s = now_s - self._run.started_s - waited_s
        record_sample(
            state, PrefillSample(part.target, took_s / part.prefill_s)
        )


def observe_prefill(
    state: GatewayState, call: Call, run: Run, backlog_s: float
) -> PrefillObserver | None:
    """Return an observer of a run that was just recorded.

    :param backlog_s: seconds of prefill that were ahead of it.
    :return: none if its prefill is too short, shared or delayed.
    """
    engine = _find_engine(state, call)
    if (
        engine is None
        or backlog_s > 0
        or len(run.parts) > 1
        or not has_learned_costs(state)
    ):
        return None
    load = state.loads.get(run.parts[0].target)
    iteration_s = load.estimate_iteration_s(engine)
    if (
        run.parts[0].prefill_s < MINIMUM_PREFILL_ITERATIONS * iteration_s
        or load.running > engine.slots
    ):
        return None
    return PrefillObserver(run, iteration_s, load.prefills.busy_until_s)


def record_sample(state: GatewayState, sample: Sample) -> None:
    """Learn from a sample of this instance."""
    state.costs.record(sample, state.get_now_s())
    state.metrics.increment('cost_samples', kind=type(sample).__name__)


def _find_engine(state: GatewayState, call: Call) -> EngineProfile | None:
    services = state.document.services if state.document else {}
    found = services.get(call.service)
    return found.engine if found else None


def _find_round_trip_s(state: GatewayState, target: str) -> float:
    record = state.directory.records.get(target)
    if record is None or state.document is None:
        return 0
    return 2 * state.document.find_delay_s(
        state.settings.failure_domain, record.failure_domain
    )
