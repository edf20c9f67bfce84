"""Instances that stop while calls are at each of their moments."""

import asyncio
import contextlib
import itertools
import shlex

import logbook
from attrs import define, field

from tests.gateway.documents import make_document, make_host, make_route
from tests.gateway.fleets import Answer, Fleet, make_call, run_fleet
from tests.gateway.partitions import INSTANCE
from tests.gateway.targets import stream
from trefoilhinge.dispatch.loads import Run, RunPart

POLL_S = 0.01
# Seconds from SIGTERM to SIGKILL, and to the exit of the process.
GRACE_S = 4
EXIT_S = 3.5
LONG_GRACE_S = 8
# A target that answers this long before the exit is not given up.
ANSWER_MARGIN_S = 0.3
# Longer than any grace of these tests.
TIMEOUT_S = 14
# A prompt that exceeds the memory of one target, so that a group takes it.
GROUP_PROMPT = '300000,700'
FIRST_HOST = 100
HOSTS = 100

_numbers = itertools.count()


def make_patient_document(version=1, **fields):
    """Return a document whose routes allow more time than the grace.

    :param fields: fields of all routes.
    """
    shared = {'timeoutMs': TIMEOUT_S * 1000, **fields}
    unsafe = {'attempts': 1, **shared}
    document = make_document(
        version,
        routes=[
            make_route(
                'stream', 'stream', 'model', 300, resumable=True, **shared
            ),
            make_route('book', 'non_idempotent', 'desk', 100, **unsafe),
            make_route('look', 'idempotent', 'desk', 100, **shared),
        ],
    )
    document['limits'] |= {'headerTimeoutMs': TIMEOUT_S * 1000}
    return document


@define
class StoppingFleet:
    """An instance that is ordered to stop, and what came of its calls.

    :ivar ordered_s: monotonic seconds of the order to stop.
    :ivar turns: turns of the event loop, at most one each ``POLL_S``.
    :ivar tasks: tasks of the instance.
    """

    fleet: Fleet
    log: logbook.TestHandler
    tasks: set
    ordered_s: float = 0
    turns: int = 0
    ordered_turns: int = 0
    ending: asyncio.Task | None = None
    ordered: asyncio.Event = field(factory=asyncio.Event)

    def order(self, begin=None):
        """Order the instance to stop; at its end, its process ends.

        :param begin: gives the order in another way.
        """
        self.ordered_s = asyncio.get_running_loop().time()
        self.ordered_turns = self.turns
        (begin or self.fleet.gateway._begin_stop)()
        self.ordered.set()
        self.ending = asyncio.ensure_future(self._end())

    def count_s(self):
        """Return the seconds since the order."""
        return asyncio.get_running_loop().time() - self.ordered_s

    async def wait_until(self, since_order_s):
        """Wait until a time after the order."""
        await asyncio.sleep(since_order_s - self.count_s())

    def call(self, path='/book/1', version=b'1.1', **headers):
        """Start a call; return a task with its result.

        :param version: version of HTTP that the caller names.
        """
        method = 'GET' if path.startswith('/look') else 'POST'
        headers = {'X_Deadline': str(TIMEOUT_S * 1000), **headers}
        content = make_call(path, method, **headers)
        return self.send(content.replace(b'HTTP/1.1', b'HTTP/' + version, 1))

    def send(self, content):
        """Start to send a call; return a task with its result."""
        return asyncio.ensure_future(
            self._measure(self.fleet.send_raw(content))
        )

    async def _measure(self, answer):
        began_turns = self.turns
        received = await answer
        turns_s = self.count_turns_s(began_turns)
        return CallResult(received, self.count_s(), turns_s)

    def count_turns_s(self, began_turns=0):
        """Return seconds from the order, or a later turn, in turns."""
        return POLL_S * (self.turns - max(began_turns, self.ordered_turns))

    async def count_turns(self):
        """Count turns, which do not pass while the machine is starved."""
        while True:
            await asyncio.sleep(POLL_S)
            self.turns += 1

    def list_lines(self, event=''):
        """Return the fields of the lines that the instance logged."""
        lines = [
            dict(
                pair.partition('=')[::2] for pair in shlex.split(record.message)
            )
            for record in self.log.records
        ]
        return [line for line in lines if event in {'', line['event']}]

    def list_requests(self):
        """Return all requests that targets received."""
        targets = self.fleet.targets.values()
        return [exchange for one in targets for exchange in one.requests]

    async def _end(self):
        """Do what the end of the process does to its tasks and sockets."""
        gateway = self.fleet.gateway
        await gateway._stopped.wait()
        callers = (*gateway._callers, *gateway._relay_server.connections)
        await self._cancel_tasks()
        # Tasks that the others started meanwhile go no further.
        await self._cancel_tasks()
        gateway.close()
        for caller in callers:
            caller._writer.transport.abort()

    async def _cancel_tasks(self):
        left = [task for task in self.tasks if not task.done()]
        for task in left:
            task.cancel()
        if left:
            await asyncio.wait(left, timeout=1)


@define
class CallResult:
    """What a caller got.

    :ivar at_s: seconds from the order to stop to the end of the answer.
    :ivar turns_s: seconds from the order, or from the call if that is later,
        without the times in which the machine was starved.
    """

    answer: Answer
    at_s: float
    turns_s: float


@contextlib.asynccontextmanager
async def run_stopping(
    document=None, bounds=None, settings_fields=None, handlers=None, **options
):
    """Run an instance that a test orders to stop.

    Several may run at a time, each with an address of its own.

    :param options: further options of ``run_fleet``.
    """
    ip = make_host(FIRST_HOST + next(_numbers) % HOSTS)
    owned = record_tasks()
    async with run_fleet(
        document or make_patient_document(),
        bounds={'grace_s': GRACE_S, **(bounds or {})},
        settings_fields={'ip': ip, **(settings_fields or {})},
        **(handlers or {}),
        **options,
    ) as fleet:
        fleet.state.started_s = float('-inf')
        with make_stopping(fleet, owned) as stopping:
            yield stopping


@contextlib.contextmanager
def make_stopping(fleet, owned):
    """Let a test order an instance to stop that runs already.

    :param owned: tasks of each instance, by its address.
    """
    log = logbook.TestHandler(bubble=True)
    fleet.state.log._logger.handlers.insert(0, log)
    ip = fleet.settings.ip
    stopping = StoppingFleet(fleet, log, owned.setdefault(ip, set()))
    counting = asyncio.ensure_future(stopping.count_turns())
    try:
        yield stopping
    finally:
        counting.cancel()
        if stopping.ending is not None:
            stopping.ending.cancel()


def record_tasks():
    """Record the tasks of each instance, by its address."""
    loop = asyncio.get_running_loop()
    factory = loop.get_task_factory()
    if factory is not None:
        return factory.owned
    factory = _TaskFactory()
    loop.set_task_factory(factory)
    return factory.owned


@define
class _TaskFactory:
    owned: dict = field(factory=dict)

    def __call__(self, loop, coroutine, **options):
        task = asyncio.Task(coroutine, loop=loop, **options)
        context = options.get('context')
        ip = INSTANCE.get() if context is None else context.get(INSTANCE, '')
        owned = self.owned.setdefault(ip, set())
        owned.add(task)
        task.add_done_callback(owned.discard)
        return task


def add_backlog(state, names, backlog_s):
    """Let another instance's prompt occupy a group of targets."""
    now_s = state.get_now_s()
    parts = tuple(RunPart(name, backlog_s, 0, has_slot=False) for name in names)
    run = Run('other', state.make_run_number(), parts, 1000, 1, 0, now_s)
    state.record_run(run, now_s + 2 * backlog_s)


@contextlib.asynccontextmanager
async def run_busy_group(backlog_s, document=None, **handlers):
    """Run an instance whose group of targets prefills another prompt.

    :param handlers: handlers of further targets.
    """
    group = {f'm{number}': stream() for number in range(1, 4)}
    async with run_stopping(
        document, {'grace_s': LONG_GRACE_S}, handlers={**group, **handlers}
    ) as stopping:
        add_backlog(stopping.fleet.state, group, backlog_s)
        yield stopping


async def gather_named(scenarios):
    """Run scenarios at a time; return their outcomes by name.

    An outcome may be an exception.

    :param scenarios: functions that return a coroutine, by name.
    """
    outcomes = await asyncio.gather(
        *(play() for play in scenarios.values()), return_exceptions=True
    )
    return dict(zip(scenarios, outcomes, strict=True))
