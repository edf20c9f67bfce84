"""Catalogue of faults: how each is injected and undone later."""

from collections.abc import Callable

from attrs import define, field, frozen

from trefoilhinge.core.identifiers import InstanceName, TargetName
from trefoilhinge.core.sse import StreamEvent
from trefoilhinge.faults.callers import Callers
from trefoilhinge.faults.documents import (
    ENGINES,
    PLAIN_TARGETS,
)
from trefoilhinge.faults.world import (
    INSTANCES,
    FaultWorld,
)
from trefoilhinge.standins.simulation.fault_points import FaultSite
from trefoilhinge.standins.simulation.network import Connection
from trefoilhinge.standins.simulation.world import PLATFORM_ENDPOINT

ANSWER_DELAY_S = 4.0
PAUSE_S = 9.0
REVERT_INTERVAL_S = 1.0

Undo = Callable[[], object]


@define
class InjectionContext:
    """Deployment and callers that faults are injected into.

    :ivar resumed_s: simulated time at which each paused instance was last
        resumed, by instance.
    :ivar stopped: instances that were asked to stop.
    """

    world: FaultWorld
    callers: Callers
    resumed_s: dict[str, float] = field(factory=dict)
    stopped: set[str] = field(factory=set)


@frozen
class Fault:
    """One kind of fault.

    :ivar inject: injects the fault and returns the function that undoes it.
    :ivar duration_s: seconds from the injection to the undoing.
    """

    name: str
    inject: Callable[[InjectionContext, FaultSite], Undo]
    duration_s: float = 8.0


def find_target(site: FaultSite) -> str:
    """Return the target of a site, or the first engine if it has none."""
    return site.target or ENGINES[0]


def _do_nothing() -> None:
    """Undo a fault that needs no undoing."""


def _kill_engine(context: InjectionContext, site: FaultSite) -> Undo:
    name = TargetName(find_target(site))
    if name not in ENGINES:
        context.world.world.network.dead.add(name)
        return lambda: context.world.world.network.dead.discard(name)
    context.world.kill_engine(name)
    return lambda: context.world.restart_engine(name)


def _crash_engine(context: InjectionContext, site: FaultSite) -> Undo:
    """Kill a target and break the open connections to it."""
    undo = _kill_engine(context, site)
    for connection in _list_connections(context, site):
        connection.abort()
    return undo


def _delay_answers(context: InjectionContext, site: FaultSite) -> Undo:
    direction = (find_target(site), site.instance)
    delays_s = context.world.world.network.delays_s
    delays_s[direction] = ANSWER_DELAY_S
    return lambda: delays_s.pop(direction, None)


def _list_connections(
    context: InjectionContext, site: FaultSite
) -> list[Connection]:
    return [
        one
        for one in context.world.world.network.connections.values()
        if one.target == find_target(site) and not one.silent
    ]


def _swap_answer_streams(context: InjectionContext, site: FaultSite) -> Undo:
    """Deliver the events of open streams on each other's connections.

    A stream that is left without a counterpart gets events of a stream that
    was never requested.
    """
    streams = [
        one
        for one in _list_connections(context, site)
        if one.deliver is not None and one.redirect is None
    ]
    for one, other in zip(streams, reversed(streams), strict=True):
        one.redirect = other if one is not other else _make_unknown_stream(one)

    def undo() -> None:
        for one in streams:
            one.redirect = None

    return undo


def _make_unknown_stream(connection: Connection) -> Connection:
    """Return a connection that delivers events of an unknown stream."""
    foreign = Connection(connection.source, connection.target)
    deliver = connection.deliver

    def deliver_foreign(event: StreamEvent) -> None:
        if deliver is not None:
            chunk_id = f'nobody.1#{event.offset}'
            deliver(StreamEvent('nobody.1', event.offset, chunk_id))

    foreign.deliver = deliver_foreign
    return foreign


def _truncate_streams(context: InjectionContext, site: FaultSite) -> Undo:
    for connection in _list_connections(context, site):
        connection.abort()
    return _do_nothing


def _silence_connections(context: InjectionContext, site: FaultSite) -> Undo:
    network = context.world.world.network
    for connection in tuple(network.connections.values()):
        if connection.source == site.instance:
            connection.silent = True
            network.close_connection(connection)
    return _do_nothing


def _kill_instance(context: InjectionContext, site: FaultSite) -> Undo:
    name = InstanceName(site.instance)
    if context.world.is_running(name):
        context.world.kill_instance(name)
    return lambda: _restart_instance(context, name)


def _restart_instance(context: InjectionContext, name: InstanceName) -> None:
    driver = context.world.drivers[name]
    if not driver.alive or driver.stopped:
        context.world.start_instance(name)


def _pause_instance(context: InjectionContext, site: FaultSite) -> Undo:
    driver = context.world.drivers[InstanceName(site.instance)]
    if not context.world.is_running(site.instance):
        return _do_nothing
    driver.pause()

    def resume() -> None:
        context.resumed_s[driver.name] = context.world.now_s
        if driver.alive and driver.paused:
            driver.resume()

    return resume


def _stop_configuration_service(
    context: InjectionContext, site: FaultSite
) -> Undo:
    platform = context.world.world.platform
    platform.down = True
    return lambda: setattr(platform, 'down', False)


def _serve_stale_configuration(
    context: InjectionContext, site: FaultSite
) -> Undo:
    platform = context.world.world.platform
    platform.served = 0
    return lambda: setattr(platform, 'served', -1)


def _alternate_configuration(
    context: InjectionContext, site: FaultSite
) -> Undo:
    platform = context.world.world.platform
    active = [True]

    def alternate() -> None:
        if active:
            platform.served = 0 if platform.served else -1
            context.world.world.simulation.schedule(
                REVERT_INTERVAL_S, alternate
            )

    def undo() -> None:
        active.clear()
        platform.served = -1

    alternate()
    return undo


def _truncate_instance_list(context: InjectionContext, site: FaultSite) -> Undo:
    """Serve an instance list that holds only the instance itself."""
    platform = context.world.world.platform
    before = platform.instances
    platform.instances = tuple(
        one for one in before if one.name == site.instance
    )
    return lambda: setattr(platform, 'instances', before)


def _partition_instances(context: InjectionContext, site: FaultSite) -> Undo:
    others = [one for one in INSTANCES if one != site.instance]
    return _partition_from(context, site.instance, others)


def _partition_targets(context: InjectionContext, site: FaultSite) -> Undo:
    return _partition_from(context, site.instance, [*ENGINES, *PLAIN_TARGETS])


def _partition_platform(context: InjectionContext, site: FaultSite) -> Undo:
    return _partition_from(context, site.instance, [PLATFORM_ENDPOINT])


def _partition_from(
    context: InjectionContext, instance: str, others: list[str]
) -> Undo:
    network = context.world.world.network
    for other in others:
        network.partition(instance, other)

    def undo() -> None:
        for other in others:
            network.heal(instance, other)

    return undo


def _drop_answers(context: InjectionContext, site: FaultSite) -> Undo:
    direction = (find_target(site), site.instance)
    one_way_partitions = context.world.world.network.one_way_partitions
    one_way_partitions.add(direction)
    return lambda: one_way_partitions.discard(direction)


def _stop_instance(context: InjectionContext, site: FaultSite) -> Undo:
    name = InstanceName(site.instance)
    if not context.world.is_running(name):
        return _do_nothing
    context.stopped.add(name)
    context.world.stop_instance(name)

    def restart_when_stopped() -> None:
        if context.world.is_running(name):
            context.world.world.simulation.schedule(1, restart_when_stopped)
        else:
            _restart_instance(context, name)

    return restart_when_stopped


def _drain_target(context: InjectionContext, site: FaultSite) -> Undo:
    name = TargetName(find_target(site))
    context.world.mark_leaving(name)
    engine = context.world.world.engines.get(name)
    if engine is not None:
        engine.leaving = True
    return _do_nothing


def _ignore_fences(context: InjectionContext, site: FaultSite) -> Undo:
    """Make engines ignore fences, then replay an order with an old fence."""
    engines = context.world.world.engines.values()
    for engine in engines:
        engine.honours_fences = False

    def repeat_order() -> None:
        engine = context.world.world.engines[TargetName(ENGINES[0])]
        engine.apply_order(1, 'open-large', 'v1', (), 'both')

    context.world.world.simulation.schedule(ANSWER_DELAY_S, repeat_order)

    def undo() -> None:
        for engine in engines:
            engine.honours_fences = True

    return undo


def _disconnect_caller(context: InjectionContext, site: FaultSite) -> Undo:
    if site.subject:
        context.callers.disconnect(find_request(site.subject))
    return _do_nothing


def find_request(subject: str) -> str:
    """Return the request that a request, attempt or tag belongs to."""
    head, _, tail = subject.partition('-try')
    # One digit, as MAXIMUM_SENDS is below 10; later digits are the attempt's.
    number = ''.join(one for one in tail if one.isdigit())[:1]
    return f'{head}-try{number}'


FAULTS = {
    fault.name: fault
    for fault in (
        Fault('engine-dies', _kill_engine, 30),
        Fault('engine-restarts', _crash_engine, 1.5),
        Fault('engine-answers-late', _delay_answers),
        Fault('answers-crossed', _swap_answer_streams, 2),
        Fault('stream-truncated', _truncate_streams),
        Fault('instance-dies', _kill_instance, 4),
        Fault('instance-paused', _pause_instance, PAUSE_S),
        Fault('configuration-down', _stop_configuration_service, 15),
        Fault('configuration-stale', _serve_stale_configuration, 15),
        Fault('configuration-reverting', _alternate_configuration, 12),
        Fault('instance-list-stale', _truncate_instance_list, 15),
        Fault('instances-partitioned', _partition_instances, 12),
        Fault('targets-partitioned', _partition_targets),
        Fault('platform-partitioned', _partition_platform),
        Fault('answers-lost', _drop_answers),
        Fault('connections-silent', _silence_connections),
        Fault('planned-stop', _stop_instance, 1),
        Fault('target-leaving', _drain_target),
        Fault('fences-ignored', _ignore_fences, 15),
        Fault('caller-gone', _disconnect_caller),
    )
}
