"""Checks the invariants against the records of the fakes."""

from collections import Counter
from collections.abc import Iterator

from trefoilhinge.conf.generated.document import Document
from trefoilhinge.core.identifiers import RequestId
from trefoilhinge.core.sse import DONE_DATA
from trefoilhinge.core.verdicts import RefusalCode, Verdict
from trefoilhinge.faults.monitor import Violation
from trefoilhinge.faults.world import FaultWorld
from trefoilhinge.standins.simulation.driver import NodeDriver
from trefoilhinge.standins.simulation.world import CallRecord

END_TOLERANCE_S = 0.5
CONVERGENCE_TIMEOUT_S = 120.0
CONVERGENCE_POLL_INTERVAL_S = 5.0


def check_invariants(
    world: FaultWorld,
    resumed_s: dict[str, float],
    stopped: set[str],
) -> Iterator[Violation]:
    """Yield the violations that are left once the deployment has settled.

    :param resumed_s: simulated time at which each paused instance was last
        resumed; calls that it had may end that late.
    :param stopped: instances that were asked to stop.
    """
    yield from _check_deadlines(world, resumed_s)
    yield from _check_memory(world)
    yield from _check_answers(world)
    yield from _check_refusals(world)
    yield from _check_single_runs(world)
    yield from _check_stops(world, stopped)


def count_runs(world: FaultWorld) -> Counter[RequestId]:
    """Return how often each request was started by any target."""
    runs: Counter[RequestId] = Counter()
    records = [one.runs for one in world.world.engines.values()]
    records.extend(one.runs for one in world.world.plains.values())
    for record in records:
        for request, count in record.items():
            runs[RequestId(request)] += count
    return runs


def _check_deadlines(
    world: FaultWorld,
    resumed_s: dict[str, float],
) -> Iterator[Violation]:
    for call in world.world.calls.values():
        name = call.profile.request_id
        limit_s = max(
            call.profile.deadline_s,
            resumed_s.get(call.instance, 0),
        )
        disconnected = (
            call.disconnected
            and call.disconnected_s <= limit_s + END_TOLERANCE_S
        )
        if disconnected or call.broken:
            continue
        if call.ended_s is None:
            yield Violation(1, f'{name} at {call.instance} did not end')
        elif call.ended_s > limit_s + END_TOLERANCE_S:
            overrun_s = call.ended_s - limit_s
            yield Violation(
                1, f'{name} ended {overrun_s:.1f} s after its limit'
            )
    for driver in world.drivers.values():
        if driver.alive and not driver.stopped:
            yield from _check_call_table(driver)


def _check_call_table(driver: NodeDriver) -> Iterator[Violation]:
    for record in driver.core.call_coordinator.table.list_records():
        name = record.profile.request_id
        yield Violation(1, f'{driver.name} still tracks {name}')


def _check_memory(world: FaultWorld) -> Iterator[Violation]:
    for engine in world.world.engines.values():
        if engine.dead:
            continue
        for tag in engine.reservations:
            yield Violation(2, f'{engine.name} still holds memory of {tag}')
        for stream in (*engine.running, *engine.waiting):
            yield Violation(2, f'{engine.name} still runs {stream.stream_id}')


def _check_answers(world: FaultWorld) -> Iterator[Violation]:
    for call in world.world.calls.values():
        if call.finished and call.profile.model:
            error = _find_answer_error(call)
            if error:
                name = call.profile.request_id
                yield Violation(3, f'{name} got {error}')


def _find_answer_error(call: CallRecord) -> str:
    expected = max(1, call.profile.output_tokens)
    if len(call.chunks) != expected:
        return f'{len(call.chunks)} of {expected} chunks'
    streams = {chunk.partition('#')[0] for chunk in call.chunks}
    offsets = [chunk.partition('#')[2] for chunk in call.chunks]
    if offsets != [str(number) for number in range(expected)]:
        return f'chunks out of order: {offsets}'
    if DONE_DATA in call.chunks or len(streams) != 1:
        return f'chunks of {sorted(streams)}'
    owner = next(iter(streams)).rpartition('.')[0].partition('@')[0]
    if owner != call.profile.request_id.partition('@')[0]:
        return f'the answer of {owner}'
    return ''


def is_caller_waiting(world: FaultWorld, call: CallRecord) -> bool:
    """Return whether the caller was still waiting when a call ended.

    The owner of an idempotency key may end a forwarded call after the
    instance that forwarded it has answered the caller. The caller then got
    the answer of that instance, which is checked as a call of its own.
    """
    received, _, forwarded_by = call.profile.request_id.partition('@')
    if not forwarded_by or call.ended_s is None:
        return True
    origin = world.world.calls.get(RequestId(received))
    if origin is None or origin.ended_s is None:
        return True
    return origin.ended_s >= call.ended_s


def _list_delivered_not_run(world: FaultWorld) -> Iterator[CallRecord]:
    """Yield the calls whose callers received the verdict ``not_run``."""
    for call in world.world.calls.values():
        refusal = call.refusal
        not_run = refusal is not None and refusal.verdict is Verdict.NOT_RUN
        # A caller that disconnected before received no verdict.
        if not_run and not call.disconnected and is_caller_waiting(world, call):
            yield call


def _check_refusals(world: FaultWorld) -> Iterator[Violation]:
    """Compare each ``not_run`` with the runs of the same request or key."""
    runs = count_runs(world)
    for call in _list_delivered_not_run(world):
        name = call.profile.request_id
        for other in _list_same_request(world, call):
            if runs[other.profile.request_id] and _was_sent_before_end(
                other, call
            ):
                executed_id = other.profile.request_id
                yield Violation(
                    4, f'{name} was refused as not_run but {executed_id} ran'
                )


def _list_same_request(
    world: FaultWorld, call: CallRecord
) -> Iterator[CallRecord]:
    for other in world.world.calls.values():
        if other is call or _is_same_request(other, call):
            yield other


def _is_same_request(one: CallRecord, other: CallRecord) -> bool:
    if one.profile.idempotent or not one.profile.key:
        # "@" and an instance extend the name when a request is forwarded.
        name = one.profile.request_id.partition('@')[0]
        return name == other.profile.request_id.partition('@')[0]
    key = (one.profile.organisation, one.profile.key)
    return key == (other.profile.organisation, other.profile.key)


def _was_sent_before_end(other: CallRecord, call: CallRecord) -> bool:
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


def wait_for_convergence(world: FaultWorld) -> tuple[Violation, ...]:
    """Simulate until all engines run the desired version.

    Engines have a time limit of their own, because weight loads are
    rate-limited to protect the weight store and each reconciler waits after a
    fault until its view of the deployment has settled.

    :return: the violations that are left at the time limit.
    """
    until_s = world.now_s + CONVERGENCE_TIMEOUT_S
    found = tuple(check_versions(world))
    while found and world.now_s < until_s:
        world.world.simulation.run_until(
            world.now_s + CONVERGENCE_POLL_INTERVAL_S
        )
        found = tuple(check_versions(world))
    return found


def check_versions(world: FaultWorld) -> Iterator[Violation]:
    """Compare the version of each engine with the newest accepted document."""
    documents = [
        driver.core.parts.document_replica.document
        for driver in world.drivers.values()
        if world.is_running(driver.name)
    ]
    newest = max(
        (one for one in documents if one is not None),
        key=lambda one: one.revision,
        default=None,
    )
    if newest is None:
        return
    expected = find_version(newest)
    for engine in world.world.engines.values():
        if engine.version != expected and not (engine.dead or engine.leaving):
            yield Violation(
                8,
                f'{engine.name} runs {engine.version}, but revision '
                f'{newest.revision} desires {expected}',
            )


def find_version(document: Document) -> str:
    """Return the version that a document desires of the engines."""
    return next(
        one.desired.version
        for one in document.services
        if one.desired is not None
    )


def _check_stops(world: FaultWorld, stopped: set[str]) -> Iterator[Violation]:
    for incarnation in (*world.earlier_incarnations, *world.drivers.values()):
        if incarnation.stopped:
            yield from _check_stopped_incarnation(world, incarnation)
    for call in world.world.calls.values():
        refusal = call.refusal
        if refusal is not None and refusal.code is RefusalCode.STOPPING:
            name = call.profile.request_id
            if call.instance in stopped:
                yield Violation(7, f'{name} was refused by a planned stop')


def _check_stopped_incarnation(
    world: FaultWorld, incarnation: NodeDriver
) -> Iterator[Violation]:
    """Yield the calls that had not ended when an instance stopped."""
    for call in world.world.calls.values():
        if call.instance != incarnation.name or call.ended_s is not None:
            continue
        disconnected = (
            call.disconnected and call.disconnected_s <= incarnation.stopped_s
        )
        if call.sent_s <= incarnation.stopped_s and not disconnected:
            name = call.profile.request_id
            yield Violation(7, f'{name} was aborted by a planned stop')
