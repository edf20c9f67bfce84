"""Tests of instances that have just started.

Pattern: all instances end at once and start again. Their callers are back
before the instances know the document, the targets and each other.
"""

import asyncio
import contextlib
import json

from attrs import evolve

from tests.gateway.documents import (
    find_port_pair,
    make_document,
    make_host,
    make_settings,
)
from tests.gateway.fleets import Fleet, run_fleet
from tests.gateway.partitions import start_gateway
from tests.gateway.targets import stream
from tests.gateway.virtual_time import run_virtually
from trefoilhinge.dispatch.calls import CallHead
from trefoilhinge.dispatch.peers import Heartbeat
from trefoilhinge.gateway.daemon import make_gateway
from trefoilhinge.gateway.startup import (
    STARTUP_RETRY_AFTER_S,
    STARTUP_WAIT_S,
    find_startup_retry_after_s,
)
from trefoilhinge.gateway.state import PEER_QUIET_S, make_state

STORE_DOWN_S = 0.1
INSTANCES = 24


@contextlib.asynccontextmanager
async def start_without_store(fleet):
    """Start another instance of a fleet while its store is down."""
    fleet.store.is_down = True
    settings = make_settings(
        fleet.store.port, ip=make_host(2), port=find_port_pair()
    )
    gateway = make_gateway(settings)
    starting = Fleet(fleet.store, fleet.targets, gateway, settings)
    task = start_gateway(gateway)
    try:
        await fleet.wait_for(lambda: gateway._entry is not None)
        yield starting
    finally:
        task.cancel()
        gateway.close()
        await asyncio.gather(task, return_exceptions=True)


async def call_while_starting(has_document, store_returns):
    """Call an instance right after its start; return answer and duration."""
    async with run_fleet(m1=stream()) as fleet:
        async with start_without_store(fleet) as starting:
            if has_document:
                content = json.dumps(make_document()).encode()
                starting.state.accept_document(content, 'a test')
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            if store_returns:
                loop.call_later(
                    STORE_DOWN_S, setattr, fleet.store, 'is_down', False
                )
            answer = await starting.call()
            return answer, loop.time() - began_s


class TestCallsDuringTheStart:
    def test_call_before_the_document_is_served(self):
        answer, _ = asyncio.run(
            call_while_starting(has_document=False, store_returns=True)
        )
        assert answer.status == 200
        assert answer.is_complete

    def test_call_before_the_targets_is_served(self):
        """Guards against refusals that are untrue.

        After a kill of all instances, eighteen calls were refused as if no
        target could take them, some milliseconds before the targets were read.
        """
        answer, _ = asyncio.run(
            call_while_starting(has_document=True, store_returns=True)
        )
        assert answer.status == 200
        assert answer.is_complete

    def test_call_is_refused_soon_if_the_store_stays_away(self):
        answer, took_s = asyncio.run(
            call_while_starting(has_document=False, store_returns=False)
        )
        assert answer.status == 503
        assert float(answer.headers['retry-after']) > 0
        assert took_s < 1


class TestLog:
    def find_line(self, text):
        """Return the fields of the line about the wait of a call."""
        (line,) = [
            one for one in text.splitlines() if 'event=start_awaited' in one
        ]
        return dict(one.split('=', 1) for one in line.split())

    def test_wait_that_ended_in_time_is_logged(self, capfd):
        asyncio.run(call_while_starting(has_document=True, store_returns=True))
        fields = self.find_line(capfd.readouterr().out)
        assert fields['request'] == 'r-1'
        assert fields['ready'] == 'True'
        assert 0 < float(fields['took_s']) <= STARTUP_WAIT_S + 0.2

    def test_wait_in_vain_is_logged(self, capfd):
        asyncio.run(
            call_while_starting(has_document=False, store_returns=False)
        )
        fields = self.find_line(capfd.readouterr().out)
        assert fields['ready'] == 'False'


class TestRetryAfter:
    def find(self, request_id='r-1', timeout_s=10, **fields):
        """Return when a caller is told to come back."""
        head = CallHead(
            b'GET', b'/', 'h', '/', request_id, None, timeout_s, None, None, ()
        )
        return find_startup_retry_after_s(head, **fields)

    def test_is_short_while_the_store_answers(self):
        assert self.find(is_store_unreachable=False) == STARTUP_RETRY_AFTER_S

    def test_is_spread_during_an_outage(self):
        """Callers that come back all at once would overload the instance."""
        waits_s = {
            self.find(f'r-{number}', is_store_unreachable=True)
            for number in range(20)
        }
        assert len(waits_s) == 20
        assert max(waits_s) - min(waits_s) > 0.5

    def test_is_within_the_time_that_the_caller_has(self):
        wait_s = self.find(timeout_s=3, is_store_unreachable=True)
        assert wait_s <= 1


class TestInstancesThatDoNotHearEachOther:
    """All instances filled the targets that are first by name."""

    async def place_calls(self, *, is_settled):
        """Return the calls that each target got from instances in turn."""
        handlers = {f'm{number:02}': stream() for number in range(INSTANCES)}
        async with run_fleet(**handlers) as fleet:
            now_s = asyncio.get_running_loop().time()
            started_s = now_s - PEER_QUIET_S if is_settled else now_s + 60
            fleet.state.started_s = started_s
            fleet.state.settings = evolve(fleet.settings, seeds=(make_host(2),))
            fleet.state._is_settled = False
            for number in range(INSTANCES):
                fleet.state.origin = f'10.0.0.{number}/a1b2c3'
                await fleet.call()
            return [len(target.requests) for target in fleet.targets.values()]

    def test_calls_are_spread_over_the_targets(self):
        calls = asyncio.run(self.place_calls(is_settled=False))
        assert sum(calls) == INSTANCES
        assert max(calls) <= INSTANCES / 4

    def test_calls_are_packed_once_the_others_are_heard(self):
        """Long prompts need targets without short streams."""
        calls = asyncio.run(self.place_calls(is_settled=True))
        assert max(calls) == INSTANCES

    def test_instance_that_still_hears_new_ones_is_not_settled(self):
        """Guards against a time for discovery that only fits a small fleet.

        Of 410 simulated instances that start within 0.7 s, the median one knows
        241 after 1.5 s.
        """

        async def run():
            settings = make_settings(1, seeds=(make_host(2),))
            state = make_state(settings)
            state.started_s = state.get_now_s()
            settled = []
            for number in range(20):
                await asyncio.sleep(0.15)
                heartbeat = Heartbeat(
                    f'10.0.0.{number}', f'o{number}', 'a', 1, 1, False, ()
                )
                state.peers.record_heartbeat(heartbeat, state.get_now_s())
                settled.append(state.check_settled())
            assert not any(settled)
            await asyncio.sleep(PEER_QUIET_S)
            assert state.check_settled()
            late = Heartbeat('10.0.1.1', 'late', 'a', 1, 1, False, ())
            state.peers.record_heartbeat(late, state.get_now_s())
            assert state.check_settled()

        run_virtually(run())
