"""Tests of the stop of a real process that calls wait in."""

import asyncio
import os
import pathlib
import signal
import sys

import pytest
from attrs import define, field

from tests.gateway.documents import HOST, find_port, make_host
from tests.gateway.fleets import make_call, read_answer
from tests.gateway.stop_checks import (
    check_failed,
    check_refused,
)
from tests.gateway.stop_networks import (
    EXIT_S,
    GRACE_S,
    GROUP_PROMPT,
    TIMEOUT_S,
    make_patient_document,
)
from tests.gateway.stores import StoreStandIn
from tests.gateway.targets import TargetStandIn, never_answer
from tests.gateway.test_reservations import sort_orders
from trefoilhinge.platform.settings import SETTINGS_PATH_VARIABLE
from trefoilhinge.platform.standins import formats

IP = make_host(90)
PORTS = 24  # of an instance
TARGETS = tuple(f'm{number}' for number in range(1, 4))
POLL_S = 0.02
LIMIT_S = 10  # for a condition, on a starved machine
# So slow that a group of all prefills one prompt for longer than the grace.
PREFILL_TOKENS_PER_S = 20_000
# A process may be starved, but must not refuse only as it ends.
EARLY_S = EXIT_S / 2
LATE_CALL_S = 1.0  # after SIGTERM


def make_slow_document():
    """Return a document whose engines prefill slowly."""
    document = make_patient_document()
    document['services'][0]['engine']['read_per_s'] = PREFILL_TOKENS_PER_S
    return document


def reserve_ports():
    """Return the first port of an instance."""
    first_port, *_ = [find_port() for _ in range(PORTS)]
    return first_port


@define
class GatewayProcess:
    """A gateway process with stand-ins of its store and targets."""

    folder: pathlib.Path
    first_port: int = field(factory=reserve_ports)
    store: StoreStandIn = field(factory=StoreStandIn)
    targets: dict = field(factory=dict)
    process: asyncio.subprocess.Process | None = None

    async def start(self):
        """Start the stand-ins and the process; wait until it is ready."""
        await self.store.start()
        for name in TARGETS:
            target = TargetStandIn(name, never_answer)
            await target.start()
            self.targets[name] = target
            self.store.put_target(name, target.address, 'model')
        self.store.put('op/config', make_slow_document())
        path = self.folder / 'settings.json'
        path.write_text(
            formats.encode_settings(
                'process',
                IP,
                f'{HOST}:{self.store.port}',
                [],
                self.first_port,
                graceS=GRACE_S,
            )
        )
        with (self.folder / 'log').open('wb') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *('-m', 'trefoilhinge.gateway'),
                env={**os.environ, SETTINGS_PATH_VARIABLE: str(path)},
                stdout=log,
                stderr=log,
            )
        await self.wait_for(lambda: 'event=targets_listed' in self.read_log())

    async def end(self):
        """Kill the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def read_log(self):
        return (self.folder / 'log').read_text()

    def has_line(self, event, request):
        """Return whether a call has a line of an event."""
        return any(
            f'event={event} request={request} ' in f'{line} '
            for line in self.read_log().splitlines()
        )

    async def wait_for(self, condition):
        """Wait until a condition holds."""
        async with asyncio.timeout(LIMIT_S):
            while not condition():
                assert self.process.returncode is None, self.read_log()
                await asyncio.sleep(POLL_S)

    def call(self, request):
        """Start a call whose prompt takes a group; return a task."""
        return asyncio.ensure_future(self._call(request))

    async def _call(self, request):
        loop = asyncio.get_running_loop()
        reader, writer = await asyncio.open_connection(IP, self.first_port)
        began_s = loop.time()
        writer.write(
            make_call(
                X_Token_Count=GROUP_PROMPT,
                X_Deadline=str(TIMEOUT_S * 1000),
                X_Request_Id=request,
            )
        )
        answer = await read_answer(reader)
        writer.close()
        return answer, began_s, loop.time()


@define
class Stop:
    """What came of a stop.

    :ivar calls: answer, begin and end of each call, by its identifier.
    """

    ordered_s: float
    calls: dict
    status: int
    log: str
    reserved: dict
    released: dict

    def count_s(self, request):
        """Return how long a call was open after the order."""
        _, began_s, ended_s = self.calls[request]
        return ended_s - max(began_s, self.ordered_s)


async def play(gateway):
    """Stop a process while a call runs, one waits, and one arrives."""
    loop = asyncio.get_running_loop()
    calls = {'sent': gateway.call('sent')}
    await gateway.wait_for(lambda: gateway.has_line('call_offered', 'sent'))
    calls['waiting'] = gateway.call('waiting')
    await gateway.wait_for(lambda: gateway.has_line('call_waits', 'waiting'))
    ordered_s = loop.time()
    gateway.process.send_signal(signal.SIGTERM)
    await asyncio.sleep(LATE_CALL_S)
    calls['late'] = gateway.call('late')
    results = await asyncio.gather(*calls.values())
    async with asyncio.timeout(LIMIT_S):
        status = await gateway.process.wait()
    return Stop(
        ordered_s,
        dict(zip(calls, results, strict=True)),
        status,
        gateway.read_log(),
        *sort_orders(gateway),
    )


@pytest.fixture(scope='module')
def stop(tmp_path_factory):
    """Return what came of one stop."""
    gateway = GatewayProcess(tmp_path_factory.mktemp('process'))

    async def run():
        try:
            await gateway.start()
            return await play(gateway)
        finally:
            await gateway.end()

    return asyncio.run(run())


class TestProcess:
    """Guards against LOST around SIGTERM, with prompts that wait."""

    @pytest.mark.parametrize('request_id', ['waiting', 'late'])
    def test_call_that_waits_is_refused_long_before_the_exit(
        self, stop, request_id
    ):
        check_refused(stop.calls[request_id][0])
        assert stop.count_s(request_id) < EARLY_S

    def test_call_that_was_sent_gets_an_answer(self, stop):
        check_failed(stop.calls['sent'][0])

    def test_process_ends_by_itself(self, stop):
        assert stop.status == 0

    def test_process_ends_without_errors(self, stop):
        """Guards against work that the end of the event loop destroys."""
        assert 'event=task_failed' not in stop.log
        assert 'Traceback' not in stop.log

    def test_memory_is_released(self, stop):
        assert stop.reserved
        assert stop.reserved.keys() <= stop.released.keys()

    def test_log_tells_what_became_of_each_call(self, stop):
        """Guards against lines that are lost or untrue at the exit."""
        lines = stop.log.splitlines()
        assert any('event=stopped' in line for line in lines)
        assert 'outcome=caller_gone' not in stop.log
        for request in stop.calls:
            assert any(
                f'request={request} ' in line
                and ('event=call_ended' in line or 'event=call_refused' in line)
                for line in lines
            )
