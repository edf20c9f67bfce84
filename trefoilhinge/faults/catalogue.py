"""The faults, each injected where a step was reached and undone later."""

from collections.abc import Callable

from attrs import define, field, frozen

from trefoilhinge.core.identifiers import InstanceName, TargetName
from trefoilhinge.core.sse import StreamEvent
from trefoilhinge.faults.callers import Callers
from trefoilhinge.faults.documents import (
    ENGINES,
    PLAINS,
)
from trefoilhinge.faults.world import (
    INSTANCES,
    FaultWorld,
)
from trefoilhinge.standins.simulation.fault_points import FaultSite
from trefoilhinge.standins.simulation.network import Connection
from trefoilhinge.standins.simulation.world import PLATFORM_ENDPOINT

LATE_ANSWER_S = 4.0
PAUSE_S = 9.0
REVERT_INTERVAL_S = 1.0

Undo = Callable[[], object]


@define
class Scene:
    """What faults are injected into.

    :ivar paused_until_s: time at which each paused instance last woke.
    :ivar stopped: instances that were asked to stop.
    """

    world: FaultWorld
    callers: Callers
    paused_until_s: dict[str, float] = field(factory=dict)
    stopped: set[str] = field(factory=set)


@frozen
class Fault:
    """One kind of fault.

    :ivar strike: injects it and returns what undoes it.
    :ivar lasts_s: seconds from its injection to its undoing.
    """

    name: str
    strike: Callable[[Scene, FaultSite], Undo]
    lasts_s: float = 8.0


def find_target(site: FaultSite) -> str:
    """Return the target of a site, the first engine if it names none."""
    return site.target or ENGINES[0]


def _leave_alone() -> None:
    """Undo nothing."""


def _lose_engine(scene: Scene, site: FaultSite) -> Undo:
    name = TargetName(find_target(site))
    if name not in ENGINES:
        scene.world.world.network.dead.add(name)
        return lambda: scene.world.world.network.dead.discard(name)
    scene.world.kill_engine(name)
    return lambda: scene.world.restart_engine(name)


def _crash_engine(scene: Scene, site: FaultSite) -> Undo:
    undo = _lose_engine(scene, site)
    for connection in _list_connections(scene, site):
        connection.abort()
    return undo


def _delay_answers(scene: Scene, site: FaultSite) -> Undo:
    way = (find_target(site), site.instance)
    delays_s = scene.world.world.network.delays_s
    delays_s[way] = LATE_ANSWER_S
    return lambda: delays_s.pop(way, None)


def _list_connections(scene: Scene, site: FaultSite) -> list[Connection]:
    return [
        one
        for one in scene.world.world.network.connections.values()
        if one.target == find_target(site) and not one.silent
    ]


def _cross_answers(scene: Scene, site: FaultSite) -> Undo:
    streams = [
        one
        for one in _list_connections(scene, site)
        if one.deliver is not None and one.redirect is None
    ]
    for one, other in zip(streams, reversed(streams), strict=True):
        one.redirect = other if one is not other else _make_stranger(one)

    def undo() -> None:
        for one in streams:
            one.redirect = None

    return undo


def _make_stranger(connection: Connection) -> Connection:
    """Return a connection that delivers as of a stream nobody asked for."""
    stranger = Connection(connection.source, connection.target)
    deliver = connection.deliver

    def deliver_foreign(event: StreamEvent) -> None:
        if deliver is not None:
            strange = f'nobody.1#{event.offset}'
            deliver(StreamEvent('nobody.1', event.offset, strange))

    stranger.deliver = deliver_foreign
    return stranger


def _truncate_streams(scene: Scene, site: FaultSite) -> Undo:
    for connection in _list_connections(scene, site):
        connection.abort()
    return _leave_alone


def _silence_connections(scene: Scene, site: FaultSite) -> Undo:
    network = scene.world.world.network
    for connection in tuple(network.connections.values()):
        if connection.source == site.instance:
            connection.silent = True
            network.close_connection(connection)
    return _leave_alone


def _lose_instance(scene: Scene, site: FaultSite) -> Undo:
    name = InstanceName(site.instance)
    if scene.world.is_up(name):
        scene.world.kill_instance(name)
    return lambda: _revive(scene, name)


def _revive(scene: Scene, name: InstanceName) -> None:
    driver = scene.world.drivers[name]
    if not driver.alive or driver.stopped:
        scene.world.start_instance(name)


def _pause_instance(scene: Scene, site: FaultSite) -> Undo:
    driver = scene.world.drivers[InstanceName(site.instance)]
    if not scene.world.is_up(site.instance):
        return _leave_alone
    driver.pause()

    def wake() -> None:
        scene.paused_until_s[driver.name] = scene.world.now_s
        if driver.alive and driver.paused:
            driver.resume()

    return wake


def _stop_service(scene: Scene, site: FaultSite) -> Undo:
    platform = scene.world.world.platform
    platform.down = True
    return lambda: setattr(platform, 'down', False)


def _serve_stale(scene: Scene, site: FaultSite) -> Undo:
    platform = scene.world.world.platform
    platform.served = 0
    return lambda: setattr(platform, 'served', -1)


def _revert_service(scene: Scene, site: FaultSite) -> Undo:
    platform = scene.world.world.platform
    going = [True]

    def flip() -> None:
        if going:
            platform.served = 0 if platform.served else -1
            scene.world.world.simulation.schedule(REVERT_INTERVAL_S, flip)

    def undo() -> None:
        going.clear()
        platform.served = -1

    flip()
    return undo


def _stop_list(scene: Scene, site: FaultSite) -> Undo:
    """List nobody but the instance itself and a ghost of long ago."""
    platform = scene.world.world.platform
    before = platform.instances
    platform.instances = tuple(
        one for one in before if one.name == site.instance
    )
    return lambda: setattr(platform, 'instances', before)


def _split_instances(scene: Scene, site: FaultSite) -> Undo:
    others = [one for one in INSTANCES if one != site.instance]
    return _cut_all(scene, site.instance, others)


def _split_targets(scene: Scene, site: FaultSite) -> Undo:
    return _cut_all(scene, site.instance, [*ENGINES, *PLAINS])


def _split_platform(scene: Scene, site: FaultSite) -> Undo:
    return _cut_all(scene, site.instance, [PLATFORM_ENDPOINT])


def _cut_all(scene: Scene, instance: str, others: list[str]) -> Undo:
    network = scene.world.world.network
    for other in others:
        network.partition(instance, other)

    def undo() -> None:
        for other in others:
            network.heal(instance, other)

    return undo


def _cut_answers(scene: Scene, site: FaultSite) -> Undo:
    way = (find_target(site), site.instance)
    ways = scene.world.world.network.one_way_partitions
    ways.add(way)
    return lambda: ways.discard(way)


def _stop_instance(scene: Scene, site: FaultSite) -> Undo:
    name = InstanceName(site.instance)
    if not scene.world.is_up(name):
        return _leave_alone
    scene.stopped.add(name)
    scene.world.stop_instance(name)

    def start_again() -> None:
        if scene.world.is_up(name):
            scene.world.world.simulation.schedule(1, start_again)
        else:
            _revive(scene, name)

    return start_again


def _leave_target(scene: Scene, site: FaultSite) -> Undo:
    name = TargetName(find_target(site))
    scene.world.list_leaving(name)
    engine = scene.world.world.engines.get(name)
    if engine is not None:
        engine.leaving = True
    return _leave_alone


def _ignore_fences(scene: Scene, site: FaultSite) -> Undo:
    """Have engines ignore fences and repeat an old order of long ago."""
    engines = scene.world.world.engines.values()
    for engine in engines:
        engine.honours_fences = False

    def repeat_order() -> None:
        engine = scene.world.world.engines[TargetName(ENGINES[0])]
        engine.apply_order(1, 'open-large', 'v1', (), 'both')

    scene.world.world.simulation.schedule(LATE_ANSWER_S, repeat_order)

    def undo() -> None:
        for engine in engines:
            engine.honours_fences = True

    return undo


def _lose_caller(scene: Scene, site: FaultSite) -> Undo:
    if site.subject:
        scene.callers.leave(find_request(site.subject))
    return _leave_alone


def find_request(subject: str) -> str:
    """Return the request that a request, attempt or tag belongs to."""
    head, _, tail = subject.partition('-try')
    number = ''.join(one for one in tail if one.isdigit())[:1]
    return f'{head}-try{number}'


FAULTS = {
    fault.name: fault
    for fault in (
        Fault('engine-dies', _lose_engine, 30),
        Fault('engine-restarts', _crash_engine, 1.5),
        Fault('engine-answers-late', _delay_answers),
        Fault('answers-crossed', _cross_answers, 2),
        Fault('stream-truncated', _truncate_streams),
        Fault('instance-dies', _lose_instance, 4),
        Fault('instance-paused', _pause_instance, PAUSE_S),
        Fault('configuration-down', _stop_service, 15),
        Fault('configuration-stale', _serve_stale, 15),
        Fault('configuration-reverting', _revert_service, 12),
        Fault('instance-list-stale', _stop_list, 15),
        Fault('instances-partitioned', _split_instances, 12),
        Fault('targets-partitioned', _split_targets),
        Fault('platform-partitioned', _split_platform),
        Fault('answers-lost', _cut_answers),
        Fault('connections-silent', _silence_connections),
        Fault('planned-stop', _stop_instance, 1),
        Fault('target-leaving', _leave_target),
        Fault('fences-ignored', _ignore_fences, 15),
        Fault('caller-gone', _lose_caller),
    )
}
