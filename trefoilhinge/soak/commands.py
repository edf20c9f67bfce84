"""The ``soak`` command."""

import asyncio
import contextlib
import functools
import pathlib
import random
import tempfile
import time
from collections import Counter
from collections.abc import Iterator, Sequence

from attrs import evolve, frozen

from trefoilhinge.exceptions import ImproperlyConfigured, TrefoilhingeError
from trefoilhinge.soak.callers import RESPONSE_GRACE_S, SoakCaller
from trefoilhinge.soak.demands import QUEUED_TIMEOUT_S, SCARCE_DEMAND
from trefoilhinge.soak.end_signals import run_until_signal
from trefoilhinge.soak.fleets import INSTANCES, SoakFleet, make_fleet
from trefoilhinge.soak.instances import PROGRAM
from trefoilhinge.soak.observations import RELEASE_TIMEOUT_S, ObservationLog
from trefoilhinge.soak.plan_execution import execute_event
from trefoilhinge.soak.plans import (
    PlannedEvent,
    generate_plan,
    generate_planned_work,
)
from trefoilhinge.soak.violations import Violation

READY_TIMEOUT_S = 15.0  # for a small fleet to become ready
READY_PER_INSTANCE_S = 0.5  # added, for machines with few cores
MAXIMUM_INSTANCES = 240  # loopback addresses of one network
READY_POLL_INTERVAL_S = 0.2
SECONDS_PER_MINUTE = 60
AWAITED_INTERVAL_S = 0.5  # between two looks for an awaited violation
MAXIMUM_PRINTED_VIOLATIONS = 20  # of one seed


class SoakFailed(TrefoilhingeError):
    """The fleet did not become ready in time."""


@frozen
class SoakRequest:
    """Options of a soak.

    :ivar seconds: duration of the traffic.
    :ivar folder: directory of logs and settings.
    :ivar program: arguments of the interpreter that runs an instance.
    :ivar plan: events to execute; none generates them from the seed.
    :ivar is_planned_only: whether to generate planned work without faults.
    :ivar instances: number of gateway processes.
    :ivar has_admission: whether calls wait in one order over all instances.
    :ivar awaited: invariant whose violation ends the soak; none lets it run
        to its end.
    """

    seed: int
    seconds: float
    folder: pathlib.Path
    program: tuple[str, ...] = PROGRAM
    plan: tuple[PlannedEvent, ...] | None = None
    instances: int = INSTANCES
    awaited: str | None = None
    has_admission: bool = False
    is_planned_only: bool = False


@frozen
class SoakResult:
    """Result of a soak.

    :ivar event_count: number of events in the plan.
    :ivar calls: number of calls by status, ``whole`` for a complete answer
        with status 200.
    :ivar observations: what the violations were found in.
    """

    seed: int
    event_count: int
    calls: Counter[str]
    violations: list[Violation]
    observations: ObservationLog


def make_request(
    seed: int,
    minutes: float,
    folder: str,
    instances: int,
    *,
    is_planned_only: bool = False,
) -> SoakRequest:
    """Return the options of a soak.

    :param folder: directory of logs and settings; empty makes a new one.
    :param is_planned_only: whether to generate planned work without faults.
    :raises ImproperlyConfigured: if the number of instances exceeds the
        loopback addresses of a network.
    """
    if not 1 <= instances <= MAXIMUM_INSTANCES:
        raise ImproperlyConfigured(
            f'--instances is {instances}; write 1 to {MAXIMUM_INSTANCES}'
        )
    return SoakRequest(
        seed,
        minutes * SECONDS_PER_MINUTE,
        pathlib.Path(folder or tempfile.mkdtemp(prefix='soak-')),
        instances=instances,
        is_planned_only=is_planned_only,
    )


def run_soak(request: SoakRequest) -> SoakResult:
    """Run one soak.

    SIGTERM and SIGHUP end it, its instances and then the process.
    """
    return run_until_signal(_run(request))


def print_soak(request: SoakRequest, seeds: int) -> int:
    """Run soaks of consecutive seeds and print their results.

    :param seeds: number of seeds, from the seed of the request.
    :return: exit code, 1 if an invariant was violated, else 0.
    """
    failed = 0
    for number in range(seeds):
        one = evolve(request, seed=request.seed + number)
        result = run_soak(one)
        failed += bool(result.violations)
        outcomes = ' '.join(
            f'{name}={count}' for name, count in sorted(result.calls.items())
        )
        print(
            f'seed={result.seed} entries={result.event_count} '
            f'violations={len(result.violations)} {outcomes}',
            flush=True,
        )
        for violation in result.violations[:MAXIMUM_PRINTED_VIOLATIONS]:
            print(
                f'  {violation.invariant} {violation.request_id}: '
                f'{violation.detail}'
            )
    return int(failed > 0)


async def _run(request: SoakRequest) -> SoakResult:
    request.folder.mkdir(parents=True, exist_ok=True)
    fleet = make_fleet(
        request.folder,
        request.program,
        request.instances,
        has_admission=request.has_admission,
    )
    plan: Sequence[PlannedEvent] | None = request.plan
    if plan is None:
        generate = (
            generate_planned_work if request.is_planned_only else generate_plan
        )
        plan = generate(request.seed, request.seconds)
    with contextlib.closing(fleet):
        await fleet.start()
        await _wait_ready(fleet)
        callers = list(_make_callers(fleet, request.seed))
        tasks = [asyncio.ensure_future(caller.run()) for caller in callers]
        if await _execute_until(fleet, plan, request):
            return _make_result(request, plan, fleet)
        for caller in callers:
            caller.stop_requested = True
        await asyncio.wait(
            tasks, timeout=QUEUED_TIMEOUT_S + RESPONSE_GRACE_S + 1
        )
        traffic_ended_s = time.monotonic()
        await asyncio.sleep(RELEASE_TIMEOUT_S + 1)
        for target in fleet.targets:
            fleet.observations.leaked_reservations.extend(
                target.list_leaked_reservations(
                    time.monotonic(), traffic_ended_s
                )
            )
    return _make_result(request, plan, fleet)


def _make_result(
    request: SoakRequest, plan: Sequence[PlannedEvent], fleet: SoakFleet
) -> SoakResult:
    calls = Counter(
        'whole' if call.is_complete and call.status == 200 else str(call.status)
        for call in fleet.observations.calls
    )
    return SoakResult(
        request.seed,
        len(plan),
        calls,
        fleet.observations.find_violations(),
        fleet.observations,
    )


async def _execute_until(
    fleet: SoakFleet, plan: Sequence[PlannedEvent], request: SoakRequest
) -> bool:
    """Execute a plan to its end or to the violation that is awaited.

    :return: whether the violation was found.
    """
    execution = asyncio.ensure_future(
        _execute_plan(fleet, plan, request.seconds)
    )
    while request.awaited and not execution.done():
        await asyncio.wait((execution,), timeout=AWAITED_INTERVAL_S)
        found = fleet.observations.find_violations()
        if request.awaited in {one.invariant for one in found}:
            execution.cancel()
            return True
    await execution
    return False


async def _execute_plan(
    fleet: SoakFleet, plan: Sequence[PlannedEvent], seconds: float
) -> None:
    started_s = time.monotonic()
    tasks = []
    for event in plan:
        await asyncio.sleep(max(0, started_s + event.at_s - time.monotonic()))
        tasks.append(asyncio.ensure_future(execute_event(fleet, event)))
    await asyncio.sleep(max(0, started_s + seconds - time.monotonic()))
    await asyncio.gather(*tasks)


async def _wait_ready(fleet: SoakFleet) -> None:
    timeout_s = READY_TIMEOUT_S + READY_PER_INSTANCE_S * len(fleet.instances)
    latest_s = time.monotonic() + timeout_s
    for instance in fleet.instances:
        while not await instance.check_ready():
            if time.monotonic() > latest_s:
                raise SoakFailed(
                    f'{instance.name} was not ready within {timeout_s} s'
                )
            await asyncio.sleep(READY_POLL_INTERVAL_S)


def _make_callers(fleet: SoakFleet, seed: int) -> Iterator[SoakCaller]:
    keys = sorted(fleet.keys)
    for number in range(max(len(keys), SCARCE_DEMAND.callers)):
        key = keys[number % len(keys)]
        yield SoakCaller(
            key,
            fleet.instances,
            fleet.observations,
            random.Random(seed * len(keys) + number),
            functools.partial(fleet.revoked_keys.get, key),
            fleet.find_crash_source,
            fleet.find_demand,
            fleet.check_retrying,
            number,
            len(keys),
        )
