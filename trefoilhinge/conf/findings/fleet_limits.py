"""Checks for limits of the platform's document that contradict each other."""

from collections.abc import Iterator

from trefoilhinge.conf.findings.fleet_context import (
    FLEET_CHECKS,
    FleetContext,
    format_number,
)
from trefoilhinge.conf.findings.registry import Place
from trefoilhinge.conf.problems import shorten_value
from trefoilhinge.dispatch.documents import (
    CallKind,
    EngineProfile,
    Route,
    Service,
)
from trefoilhinge.dispatch.latency_model import (
    estimate_iteration_s,
    estimate_step_s,
)

HIGHEST_PRIORITY = 0
LOWEST_PRIORITY = 9
MAXIMUM_STEPS = 1_000_000  # no float holds the product with a larger integer


@FLEET_CHECKS.register('trefoilhinge.E221', 'write a number above 0')
def _find_impossible_calls(context: FleetContext) -> Iterator[Place]:
    """A bound of a route, or of the requests of all callers, is not above
    zero, so that no call can meet it.
    """
    limits = context.document.limits
    for what, value in (
        ('size of a request head', limits.header_bytes),
        ('size of a request body', limits.body_bytes),
        ('time limit of a request head', limits.header_timeout_s),
        ('time limit of an idle connection', limits.idle_timeout_s),
    ):
        if not value > 0:
            yield Place('$.limits', _describe(what, value))
    for path, route in context.entries.routes.items():
        for name, bound in (
            ('time limit', route.timeout_s),
            ('objective', route.slo_s),
        ):
            if not bound > 0:
                yield Place(path, _describe(name, bound))


@FLEET_CHECKS.register(
    'trefoilhinge.E222',
    'write weights of at least 0, and at least one above 0',
)
def _find_impossible_weights(context: FleetContext) -> Iterator[Place]:
    """The weights of a route are negative, or all of them are zero."""
    for path, route in context.entries.routes.items():
        weights = [share.weight for share in route.shares]
        if not all(weight >= 0 for weight in weights):
            yield Place(path, 'a weight is not a number of at least 0')
        elif not 0 < sum(weights) < float('inf'):
            yield Place(path, 'the sum of the weights is not above 0, or none')


@FLEET_CHECKS.register(
    'trefoilhinge.E223',
    'write the number that the engine or the target really has',
)
def _find_impossible_services(context: FleetContext) -> Iterator[Place]:
    """A number of a service is not above zero, or negative, so that no call
    can be placed or its duration cannot be estimated.
    """
    for path, service in context.entries.services.items():
        for what, value, is_zero_valid in _list_numbers(service):
            if not value > 0 and not (is_zero_valid and value == 0):
                yield Place(path, _describe(what, value))


@FLEET_CHECKS.register(
    'trefoilhinge.W221',
    'lower the objective, or raise the time limit',
)
def _find_short_time_limits(context: FleetContext) -> Iterator[Place]:
    """The time limit of a route is shorter than an objective, so that no call
    can be late and still succeed.
    """
    for path, route in context.entries.routes.items():
        for what, objective_s in (
            ('objective', route.slo_s),
            ('objective for gaps', _find_gap_objective_s(route)),
        ):
            if route.timeout_s < objective_s:
                yield Place(
                    path,
                    f'the time limit of {route.timeout_s:g} s is shorter than '
                    f'the {what}, {objective_s:g} s',
                )


@FLEET_CHECKS.register(
    'trefoilhinge.W222',
    'raise the objective, or correct the profile of the engines',
)
def _find_unreachable_objectives(context: FleetContext) -> Iterator[Place]:
    """Every engine of a route takes longer than an objective, even for a
    single stream on an idle engine.
    """
    for path, route in context.entries.routes.items():
        engines = [
            one for one in context.list_route_engines(route) if _is_sound(one)
        ]
        if not engines or route.kind is not CallKind.stream:
            continue
        step_s = min(estimate_step_s(one, 1, 0) for one in engines)
        if 0 < route.slo_s < step_s:
            yield Place(
                path,
                f'a step takes {step_s:g} s, longer than the objective, '
                f'{route.slo_s:g} s',
            )
        gap_s = min(estimate_iteration_s(one, 1, 0) for one in engines)
        if 0 < route.gap_slo_s < gap_s:
            yield Place(
                path,
                f'two events are {gap_s:g} s apart, longer than the objective '
                f'for gaps, {route.gap_slo_s:g} s',
            )


@FLEET_CHECKS.register(
    'trefoilhinge.W223',
    'raise the number of connections, or lower the number of slots',
)
def _find_unused_slots(context: FleetContext) -> Iterator[Place]:
    """A target accepts fewer connections than its engine has slots."""
    for path, service in context.entries.services.items():
        slots = service.engine.slots if service.engine else 0
        if 0 < service.maximum_connections < slots:
            yield Place(
                path,
                f'{format_number(service.maximum_connections)} connections '
                f'leave some of {format_number(slots)} slots unused',
            )


@FLEET_CHECKS.register(
    'trefoilhinge.W224',
    'correct the memory, the chunk or the mean output of the engine',
)
def _find_small_memories(context: FleetContext) -> Iterator[Place]:
    """The KV memory of an engine is smaller than what one call or one step
    takes of it.
    """
    for path, engine in context.list_engines():
        for what, tokens in (
            ('chunk', engine.chunk_tokens),
            ('mean output', engine.usual_output_tokens),
            ('slots, at two tokens for each', 2 * engine.slots),
        ):
            if 0 < engine.memory_tokens < tokens:
                yield Place(
                    path,
                    f'{format_number(engine.memory_tokens)} tokens of memory '
                    f'are less than the {what} of {format_number(tokens)}',
                )


@FLEET_CHECKS.register(
    'trefoilhinge.W225',
    'give the rate that a cold target takes, or no cold time',
)
def _find_unbounded_cold_times(context: FleetContext) -> Iterator[Place]:
    """The targets of a service are cold after their start, but no rate bounds
    what they get meanwhile.
    """
    for path, service in context.entries.services.items():
        if service.cold_s > 0 and service.cold_requests_per_s == 0:
            yield Place(
                path,
                f'targets are cold for {service.cold_s:g} s without a rate',
            )


@FLEET_CHECKS.register(
    'trefoilhinge.W226',
    'publish one delay, of at least 0, for each two failure domains',
)
def _find_contradicting_delays(context: FleetContext) -> Iterator[Place]:
    """A delay between failure domains is negative, is within one, or differs
    from what another service publishes.
    """
    first: dict[frozenset[str], tuple[str, float]] = {}
    for path, engine in context.list_engines():
        for pair, delay_s in engine.domain_delays_s.items():
            names = shorten_value(' and '.join(sorted(map(str, pair))))
            known_path, known_s = first.setdefault(pair, (path, delay_s))
            if not delay_s >= 0:
                yield Place(path, f'the delay of {names} is negative')
            if len(pair) == 1 and delay_s > 0:
                yield Place(path, f'{names} has a delay to itself')
            if delay_s != known_s:
                yield Place(
                    path,
                    f'the delay of {names} is {delay_s:g} s here and '
                    f'{known_s:g} s in {known_path}',
                )


@FLEET_CHECKS.register(
    'trefoilhinge.W227',
    'write 0, the highest, to 9, the lowest',
)
def _find_unknown_priorities(context: FleetContext) -> Iterator[Place]:
    """A priority is not between 0 and 9. Targets are told 9 for any lower
    one.
    """
    priorities: list[tuple[str, object]] = [
        (path, route.priority) for path, route in context.entries.routes.items()
    ]
    priorities.extend(
        (path, entry.organisation.priority)
        for path, entry in context.entries.organisations.items()
        if entry.organisation
    )
    for path, priority in priorities:
        if isinstance(priority, int):
            if not HIGHEST_PRIORITY <= priority <= LOWEST_PRIORITY:
                yield Place(path, f'the priority {format_number(priority)}')


def _list_numbers(service: Service) -> Iterator[tuple[str, float, bool]]:
    yield 'number of connections', service.maximum_connections, True
    yield 'cold time', service.cold_s, True
    yield 'rate of cold targets', service.cold_requests_per_s, True
    engine = service.engine
    if engine is None:
        return
    yield 'number of slots', engine.slots, False
    yield 'KV memory', engine.memory_tokens, False
    yield 'number of steps of an iteration', engine.steps_per_iteration, False
    yield 'chunk', engine.chunk_tokens, False
    yield 'prefill throughput', engine.prefill_tokens_per_ms, False
    yield 'duration of a step', engine.step_ms, False
    yield 'duration for each stream', engine.per_stream_ms, True
    yield 'duration for the context', engine.context_ms_per_k, True
    yield 'duration of attention', engine.pairs_ms_per_m, True
    yield 'mean output', engine.usual_output_tokens, True


def _is_sound(engine: EngineProfile) -> bool:
    return 0 < engine.steps_per_iteration < MAXIMUM_STEPS


def _find_gap_objective_s(route: Route) -> float:
    return route.gap_slo_s if route.kind is CallKind.stream else 0


def _describe(what: str, value: float) -> str:
    return f'the {what} is {format_number(value)}'
