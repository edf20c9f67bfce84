"""CPU time of one instance's decisions while callers compete for capacity.

Run as ``python -m benchmarks.admission_cost``. Engines of eight slots, three
of the targets plain. Runs end at the rate at which full engines end them, the
waiting calls take their slots, and as many calls begin to wait. The instance
holds its part of the waiting calls; the others are announced to it. Sending,
receiving and decoding of messages are not included.
"""

import asyncio
import itertools
import os
import selectors
import time
from collections.abc import Callable, Collection
from typing import Any

from attrs import define, evolve, field

from trefoilhinge.dispatch.admission.codec import (
    MAXIMUM_CALLS,
    CallsWaiting,
    RunsAlive,
)
from trefoilhinge.dispatch.admission.needs import make_waiting_call
from trefoilhinge.dispatch.calls import Call, CallHead, PromptSize
from trefoilhinge.dispatch.documents import (
    CallerLimits,
    CallKind,
    EngineProfile,
    FleetDocument,
    Organisation,
    Route,
    Service,
    ServiceShare,
)
from trefoilhinge.dispatch.group_placement import Placement
from trefoilhinge.dispatch.loads import Run, RunPart
from trefoilhinge.dispatch.message_codec import (
    decode_message,
    encode_message,
)
from trefoilhinge.dispatch.peers import Heartbeat
from trefoilhinge.dispatch.settings import Bounds, GatewaySettings
from trefoilhinge.dispatch.targets import TargetRecord
from trefoilhinge.gateway.admission.waiters import Admission
from trefoilhinge.gateway.logs import EventLog
from trefoilhinge.gateway.placement import find_placement
from trefoilhinge.gateway.progress import CallProgress
from trefoilhinge.gateway.run_records import end_run
from trefoilhinge.gateway.state import GatewayState, make_state

SIZES = ((91, 57), (410, 257))
WAITING_COUNTS = (0, 50, 500)
PLAIN_TARGETS = 3
SLOTS = 8
RUN_S = 4.0
DURATION_S = 2.0
ARRIVALS = 200
CALL_INTERVAL_S = 0.5
MESSAGES = 500
ORGANISATIONS = 8
TIMEOUT_S = 600.0
LOCAL = ('127.0.0.1', 0)
ENGINE_PROFILE = EngineProfile(
    SLOTS, 232_000, 43, 1.02, 0.00452, 0.00431, 206, 0.138, 2048
)
ROUTE = Route(
    'notices',
    'desk.example',
    '/',
    CallKind.stream,
    TIMEOUT_S,
    60,
    60,
    1,
    (ServiceShare('model', 1),),
    2,
    is_public=False,
    is_resumable=True,
)
SIZE = PromptSize(5_000, 1_000, 1_000)
GROUP_SIZE = PromptSize(300_000, 1_000, 1_000)  # more than an engine holds


class _SimulatedSelector(selectors.SelectSelector):
    def __init__(self) -> None:
        super().__init__()
        self.now_s = 1000.0

    def select(self, timeout: float | None = None) -> Any:
        self.now_s += max(0, timeout or 0)
        return super().select(0)


class _SimulatedLoop(asyncio.SelectorEventLoop):
    """Runs timers without waiting for them."""

    def __init__(self) -> None:
        self._simulated = _SimulatedSelector()
        super().__init__(self._simulated)

    def time(self) -> float:
        return self._simulated.now_s


@define
class Instance:
    """One instance, and the runs and calls of the others.

    :ivar placements: searches for targets.
    :ivar placement_s: their CPU time.
    """

    instances: int
    targets: int
    state: GatewayState = field(init=False)
    admission: Admission = field(init=False)
    placements: int = 0
    placement_s: float = 0
    messages: int = 0
    _numbers: 'itertools.count[int]' = field(factory=itertools.count)
    _runs: list[Run] = field(factory=list)
    _others: list[tuple[str, int]] = field(factory=list)
    _tasks: 'set[asyncio.Task[Any]]' = field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Let the instance know its peers and targets."""
        self.state = make_state(_make_settings())
        self.state.log = EventLog('entry-1', _open_discard())
        self.state.started_s = float('-inf')
        self.state.document = FleetDocument(
            1,
            {},
            {
                'model': Service('model', 0, ENGINE_PROFILE),
                'desk': Service('desk', 0, None),
            },
            CallerLimits(1, 1, 1, 1),
            None,
        )
        self.admission = Admission(self.state, self._count_message)
        for number in range(self.targets):
            self.state.apply_target(_make_record(number))
        for number in range(self.instances - 1):
            ip = _make_ip(number)
            heartbeat = Heartbeat(
                ip, f'{ip}/a', 'abc'[number % 3], 1, 1, False, ()
            )
            self.state.peers.record_heartbeat(
                heartbeat, self.state.get_now_s() + 1e6
            )

    def find(
        self,
        call: Call,
        blocked: Collection[str],
        full: Collection[str],
    ) -> Placement | None:
        """Search for the targets of a call; count the search."""
        started_s = time.process_time()
        found = find_placement(self.state, call, set(), blocked, full=full)
        self.placement_s += time.process_time() - started_s
        self.placements += 1
        return found

    async def admit(self, call: Call) -> tuple[Placement | None, int]:
        """Wait until a call is to be placed."""
        return await self.admission.admit(
            call,
            CallProgress(call.received_s),
            set(),
            lambda *arguments: self.find(call, *arguments),
        )

    async def run(self, call: Call) -> bool:
        """Start the run of a call; return whether it was placed."""
        placement, number = await self.admit(call)
        if placement is not None:
            self.start_run(placement, (self.state.origin, number))
        return placement is not None

    def begin_wait(self) -> None:
        """Let a call begin to wait, at the instances in turn."""
        number = next(self._numbers)
        if number % self.instances == 0:
            task = asyncio.ensure_future(self._wait())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            return
        now_s = self.state.get_now_s()
        waiting = make_waiting_call(
            self.make_call(number),
            (f'{_make_ip(number % self.instances - 1)}/a', number),
            ENGINE_PROFILE,
            self.state.admission.output_estimator.estimate_output(
                self.make_call(number)
            ),
            now_s,
            self.state.admission.waiting.make_stamp(),
        )
        self._others.append(waiting.key)
        self.admission.apply_message(CallsWaiting((waiting,), now_s))

    def renew(self) -> None:
        """Let the waiting calls of the others be heard of again."""
        table = self.state.admission.waiting
        known = [table.get(key) for key in self._others]
        now_s = self.state.get_now_s()
        for waiting in known:
            if waiting is not None:
                self.admission.apply_message(CallsWaiting((waiting,), now_s))

    def fill(self, origin: str = '10.1.0.0/a') -> None:
        """Fill all slots of the engines with runs of another instance."""
        for number in range(self.targets - PLAIN_TARGETS):
            for _ in range(SLOTS):
                self._start_other_run(
                    f't{number:03}', next(self._numbers), origin
                )

    def end_run(self) -> None:
        """Let the oldest run end."""
        run = self._runs.pop(0)
        end_run(self.state, run.key)

    def use_free_slots(self) -> None:
        """Let waiting calls of other instances take what is free."""
        for number in range(self.targets - PLAIN_TARGETS):
            name = f't{number:03}'
            free = SLOTS - self.state.loads.get(name).running
            for _ in range(max(0, free)):
                if not self._others:
                    return
                key = self._others.pop(0)
                self._start_other_run(name, key[1], key[0])
                self.begin_wait()

    def start_run(self, placement: Placement, key: tuple[str, int]) -> None:
        """Record that a call was placed."""
        now_s = self.state.get_now_s()
        run = Run(*key, placement.parts, SIZE.prompt_tokens, 1_000, 60, now_s)
        self.state.record_run(run, now_s + TIMEOUT_S)
        self._runs.append(run)

    def wait_for_group(self) -> None:
        """Let a prompt that only a group holds wait at this instance."""
        call = self.make_call(next(self._numbers), GROUP_SIZE)
        self._tasks.add(asyncio.ensure_future(self.run(call)))

    def make_call(self, number: int, size: PromptSize = SIZE) -> Call:
        """Return a prompt that arrives now."""
        now_s = self.state.get_now_s()
        head = CallHead(
            b'POST', b'/', 'h', '/', f'r{number}', None, None, size, None, ()
        )
        return Call(
            head=head,
            body=b'',
            route=ROUTE,
            service='model',
            organisation=Organisation(f'o{number % ORGANISATIONS}', 1),
            received_s=now_s,
            deadline_s=now_s + TIMEOUT_S,
            caller_deadline_s=now_s + TIMEOUT_S,
        )

    def close(self) -> None:
        """End what still waits."""
        for task in self._tasks:
            task.cancel()
        self.admission.close()

    async def _wait(self) -> None:
        if await self.run(self.make_call(next(self._numbers))):
            self.begin_wait()

    def _start_other_run(self, target: str, number: int, origin: str) -> None:
        part = RunPart(target, 0.025, 6_000, has_slot=True)
        self.start_run(Placement((part,), (), 0, 0), (origin, number))

    def _count_message(self, message: object) -> None:
        self.messages += 1


async def measure_arrivals(instance: Instance) -> None:
    """Print what admission adds to calls that need not wait."""
    state = instance.state
    calls = [instance.make_call(number) for number in range(ARRIVALS)]
    spent_s: float = 0
    for call in calls:
        started_s = time.process_time()
        placement, number = await instance.admit(call)
        spent_s += time.process_time() - started_s
        if placement is not None:
            instance.start_run(placement, (state.origin, number))
            end_run(state, (state.origin, number))
        await asyncio.sleep(CALL_INTERVAL_S)
    added_us = (spent_s - instance.placement_s) / ARRIVALS * 1e6
    placement_us = instance.placement_s / instance.placements * 1e6
    print(
        f'  none waiting: {added_us:.0f} us beside'
        f' {instance.placements / ARRIVALS:.2f} placements'
        f' of {placement_us:.0f} us for each call'
    )


async def measure_waiting(
    instance: Instance, count: int, groups: int = 0
) -> None:
    """Print the CPU time of a second in which calls wait.

    :param groups: prompts among them that only a group holds, all of this
        instance.
    """
    instance.fill()
    for _ in range(groups):
        instance.wait_for_group()
    for _ in range(count):
        instance.begin_wait()
    await asyncio.sleep(0.05)
    rate = (instance.targets - PLAIN_TARGETS) * SLOTS / RUN_S
    instance.placements = 0
    instance.placement_s = 0
    instance.messages = 0
    spent_s: float = 0
    for number in range(int(DURATION_S * rate)):
        if number % int(rate) == 0:
            instance.renew()
        started_s = time.process_time()
        instance.end_run()
        await asyncio.sleep(0.5 / rate)
        spent_s += time.process_time() - started_s
        instance.use_free_slots()
        started_s = time.process_time()
        await asyncio.sleep(0.5 / rate)
        spent_s += time.process_time() - started_s
    print(
        f'  {count} waiting, {groups} for groups, {rate:.0f} ends/s:'
        f' {spent_s / DURATION_S * 1000:.1f} ms/s, of which'
        f' {instance.placement_s / DURATION_S * 1000:.1f} ms/s are'
        f' {instance.placements / DURATION_S:.1f} placements/s;'
        f' {instance.messages / DURATION_S:.1f} broadcasts/s'
    )


async def measure_messages(instance: Instance) -> None:
    """Print the CPU time of a repeated announcement and a report of runs."""
    now_s = instance.state.get_now_s()
    origin = f'{_make_ip(0)}/a'
    estimator = instance.state.admission.output_estimator
    calls = []
    for number in range(MAXIMUM_CALLS):
        call = instance.make_call(number)
        output = estimator.estimate_output(call)
        calls.append(
            make_waiting_call(
                call, (origin, number), ENGINE_PROFILE, output, now_s, number
            )
        )
    instance.fill(origin)
    runs = instance.state.loads.list_by_origin(origin)
    own = (instance.targets - PLAIN_TARGETS) * SLOTS // instance.instances
    for run in runs[own:]:
        other = evolve(run, origin='10.1.0.2/a')
        end_run(instance.state, run.key)
        instance.state.record_run(other, now_s + TIMEOUT_S)
    alive = RunsAlive(
        origin, len(runs), tuple(one.number for one in runs[:own])
    )
    for message in (CallsWaiting(tuple(calls), now_s), alive):
        data = encode_message(message)
        started_s = time.process_time()
        for _ in range(MESSAGES):
            decoded: Any = decode_message(data, now_s).ok
            instance.admission.apply_message(decoded)
        took_us = (time.process_time() - started_s) / MESSAGES * 1e6
        name = type(message).__name__
        print(f'  {name}: {took_us:.0f} us for {len(data)} bytes')


def _make_settings() -> GatewaySettings:
    return GatewaySettings(
        instance='entry-1',
        ip='10.2.0.1',
        failure_domain='a',
        entry=LOCAL,
        readiness=LOCAL,
        control=None,
        metrics=LOCAL,
        first_port=1,
        seeds=(),
        store=LOCAL,
        bounds=Bounds(8, 0.2, 104, 10, 4, 20, 2),
        has_scarce_room=True,
        allows_admission=True,
    )


def _make_record(number: int) -> TargetRecord:
    is_plain = number < PLAIN_TARGETS
    return TargetRecord(
        f'd{number}' if is_plain else f't{number - PLAIN_TARGETS:03}',
        'desk' if is_plain else 'model',
        f'10.0.{number // 250}.{number % 250}:80',
        'abc'[number % 3],
        SLOTS,
        is_leaving=False,
        started_ms=1000,
        sequence=1,
        revision=1,
    )


def _open_discard() -> int:
    return os.open(os.devnull, os.O_WRONLY)


def _make_ip(number: int) -> str:
    return f'10.1.{number // 250}.{number % 250 + 1}'


def run(
    scenario: Callable[..., Any], instances: int, targets: int, *arguments: int
) -> None:
    """Run a scenario on a new instance."""

    async def start() -> None:
        instance = Instance(instances, targets)
        try:
            await scenario(instance, *arguments)
        finally:
            instance.close()

    with asyncio.Runner(loop_factory=_SimulatedLoop) as runner:
        runner.run(start())


def main() -> None:
    """Print the figures for each size."""
    for instances, targets in SIZES:
        print(f'{instances} instances, {targets} targets')
        for count in WAITING_COUNTS:
            if count:
                run(measure_waiting, instances, targets, count)
            else:
                run(measure_arrivals, instances, targets)
        run(measure_waiting, instances, targets, 50, 2)
        run(measure_messages, instances, targets)


if __name__ == '__main__':
    main()
