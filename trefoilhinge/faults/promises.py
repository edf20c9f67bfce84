"""Checks the promises against the fakes' own records."""

from collections import Counter
from collections.abc import Iterator

from trefoilhinge.conf.generated.document import Document
from trefoilhinge.core.identifiers import RequestId
from trefoilhinge.core.sse import DONE_DATA
from trefoilhinge.core.verdicts import RefusalCode, Verdict
from trefoilhinge.faults.watcher import Violation
from trefoilhinge.faults.world import FaultWorld
from trefoilhinge.standins.simulation.driver import NodeDriver
from trefoilhinge.standins.simulation.world import CallRecord

LATE_S = 0.5
ORDERS_S = 120.0
ORDERS_STEP_S = 5.0


def check_promises(
    world: FaultWorld,
    paused_until_s: dict[str, float],
    stopped: set[str],
) -> Iterator[Violation]:
    """Yield every promise that does not hold once all has settled.

    :param paused_until_s: time at which each paused instance last woke.
    :param stopped: instances that were asked to stop.
    """
    yield from _check_ends(world, paused_until_s)
    yield from _check_memory(world)
    yield from _check_answers(world)
    yield from _check_refusals(world)
    yield from _check_single_runs(world)
    yield from _check_stops(world, stopped)


def count_runs(world: FaultWorld) -> Counter[RequestId]:
    """Return how often targets began each request."""
    runs: Counter[RequestId] = Counter()
    records = [one.runs for one in world.world.engines.values()]
    records.extend(one.runs for one in world.world.plains.values())
    for record in records:
        for request, count in record.items():
            runs[RequestId(request)] += count
    return runs


def _check_ends(
    world: FaultWorld,
    paused_until_s: dict[str, float],
) -> Iterator[Violation]:
    for call in world.world.calls.values():
        name = call.profile.request_id
        limit_s = max(
            call.profile.deadline_s,
            paused_until_s.get(call.instance, 0),
        )
        left = call.disconnected and call.disconnected_s <= limit_s + LATE_S
        if left or call.broken:
            continue
        if call.ended_s is None:
            yield Violation(1, f'{name} at {call.instance} never ended')
        elif call.ended_s > limit_s + LATE_S:
            late_s = call.ended_s - limit_s
            yield Violation(1, f'{name} ended {late_s:.1f} s late')
    for driver in world.drivers.values():
        if driver.alive and not driver.stopped:
            yield from _check_table(driver)


def _check_table(driver: NodeDriver) -> Iterator[Violation]:
    for record in driver.core.call_coordinator.table.list_records():
        name = record.profile.request_id
        yield Violation(1, f'{driver.name} still keeps {name}')


def _check_memory(world: FaultWorld) -> Iterator[Violation]:
    for engine in world.world.engines.values():
        if engine.dead:
            continue
        for tag in engine.holdings:
            yield Violation(2, f'{engine.name} still holds {tag}')
        for stream in (*engine.running, *engine.waiting):
            yield Violation(2, f'{engine.name} still runs {stream.stream_id}')


def _check_answers(world: FaultWorld) -> Iterator[Violation]:
    for call in world.world.calls.values():
        if call.finished and call.profile.model:
            problem = _find_answer_problem(call)
            if problem:
                name = call.profile.request_id
                yield Violation(3, f'{name} got {problem}')


def _find_answer_problem(call: CallRecord) -> str:
    expected = max(1, call.profile.output_tokens)
    if len(call.chunks) != expected:
        return f'{len(call.chunks)} of {expected} pieces'
    streams = {piece.partition('#')[0] for piece in call.chunks}
    offsets = [piece.partition('#')[2] for piece in call.chunks]
    if offsets != [str(number) for number in range(expected)]:
        return f'pieces out of order: {offsets}'
    if DONE_DATA in call.chunks or len(streams) != 1:
        return f'pieces of {sorted(streams)}'
    owner = next(iter(streams)).rpartition('.')[0].partition('@')[0]
    if owner != call.profile.request_id.partition('@')[0]:
        return f'the answer of {owner}'
    return ''


def is_told(world: FaultWorld, call: CallRecord) -> bool:
    """Return whether a caller still waited when a call ended.

    The owner of a key may end the copy that was forwarded to it after the
    instance that received the call has answered the caller; that instance's
    answer is what the caller was told, and it is checked itself.
    """
    received, _, forwarded_by = call.profile.request_id.partition('@')
    if not forwarded_by or call.ended_s is None:
        return True
    origin = world.world.calls.get(RequestId(received))
    if origin is None or origin.ended_s is None:
        return True
    return origin.ended_s >= call.ended_s


def _list_told_not_run(world: FaultWorld) -> Iterator[CallRecord]:
    """Yield the calls whose callers were told that they did not run."""
    for call in world.world.calls.values():
        refusal = call.refusal
        not_run = refusal is not None and refusal.verdict is Verdict.NOT_RUN
        # Otherwise nobody was there to be told.
        if not_run and not call.disconnected and is_told(world, call):
            yield call


def _check_refusals(world: FaultWorld) -> Iterator[Violation]:
    """Compare each ``not_run`` with the runs under the request's key."""
    runs = count_runs(world)
    for call in _list_told_not_run(world):
        name = call.profile.request_id
        for other in _list_same(world, call):
            if runs[other.profile.request_id] and _is_before(other, call):
                ran = other.profile.request_id
                yield Violation(4, f'{name} was told not_run but {ran} ran')


def _list_same(world: FaultWorld, call: CallRecord) -> Iterator[CallRecord]:
    for other in world.world.calls.values():
        if other is call or _is_same(other, call):
            yield other


def _is_same(one: CallRecord, other: CallRecord) -> bool:
    if one.profile.idempotent or not one.profile.key:
        # A forward is the same request under a longer name.
        name = one.profile.request_id.partition('@')[0]
        return name == other.profile.request_id.partition('@')[0]
    mine = (one.profile.organisation, one.profile.key)
    return mine == (other.profile.organisation, other.profile.key)


def _is_before(other: CallRecord, call: CallRecord) -> bool:
    return call.ended_s is not None and other.sent_s <= call.ended_s


def _check_single_runs(world: FaultWorld) -> Iterator[Violation]:
    runs = count_runs(world)
    by_key: Counter[str] = Counter()
    for call in world.world.calls.values():
        profile = call.profile
        if profile.idempotent:
            continue
        request = profile.request_id.partition('@')[0]
        key = f'{profile.organisation}/{profile.key or request}'
        by_key[key] += runs[profile.request_id]
    for key, count in by_key.items():
        if count > 1:
            yield Violation(5, f'{key} ran {count} times')


def settle_orders(world: FaultWorld) -> tuple[Violation, ...]:
    """Let orders go on, at most for their time, and return what is wrong.

    Loads are paced for the weight store's sake, and after a fault each
    reconciler waits for a settled view: engines have their own time limit.
    """
    until_s = world.now_s + ORDERS_S
    found = tuple(check_orders(world))
    while found and world.now_s < until_s:
        world.world.simulation.run_until(world.now_s + ORDERS_STEP_S)
        found = tuple(check_orders(world))
    return found


def check_orders(world: FaultWorld) -> Iterator[Violation]:
    """Compare each engine with the newest document that is in force."""
    documents = [
        driver.core.parts.keeper.document
        for driver in world.drivers.values()
        if world.is_up(driver.name)
    ]
    newest = max(
        (one for one in documents if one is not None),
        key=lambda one: one.revision,
        default=None,
    )
    if newest is None:
        return
    wanted = find_version(newest)
    for engine in world.world.engines.values():
        if engine.version != wanted and not (engine.dead or engine.leaving):
            yield Violation(
                8,
                f'{engine.name} runs {engine.version} where revision '
                f'{newest.revision} asks for {wanted}',
            )


def find_version(document: Document) -> str:
    """Return the version that a document asks the engines to run."""
    return next(
        one.desired.version
        for one in document.services
        if one.desired is not None
    )


def _check_stops(world: FaultWorld, stopped: set[str]) -> Iterator[Violation]:
    for life in (*world.retired, *world.drivers.values()):
        if life.stopped:
            yield from _check_life(world, life)
    for call in world.world.calls.values():
        refusal = call.refusal
        if refusal is not None and refusal.code is RefusalCode.STOPPING:
            name = call.profile.request_id
            if call.instance in stopped:
                yield Violation(7, f'{name} was refused by a planned stop')


def _check_life(world: FaultWorld, life: NodeDriver) -> Iterator[Violation]:
    """Yield the calls that an instance still had when it stopped."""
    for call in world.world.calls.values():
        if call.instance != life.name or call.ended_s is not None:
            continue
        left = call.disconnected and call.disconnected_s <= life.stopped_s
        if call.sent_s <= life.stopped_s and not left:
            name = call.profile.request_id
            yield Violation(7, f'{name} was cut off by a planned stop')
