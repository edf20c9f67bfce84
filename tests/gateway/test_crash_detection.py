"""Tests of the detection of targets that ended under a call."""

import asyncio

from tests.gateway.fleets import make_call, run_fleet, run_peers
from tests.gateway.partitions import CutKind, partition
from tests.gateway.targets import (
    SEAL_HEADER,
    make_event,
    never_answer,
    reset,
)

PROMPT = '5C1E:800,91bd:410,e440:250'


def crash(events):
    """Return a handler that ends its target after some events."""

    async def handle(exchange):
        await exchange.send_headers(200, [SEAL_HEADER])
        for number in range(1, events + 1):
            await exchange.send_body(make_event(number))
        handle.target._server.close()
        exchange.writer.transport.abort()

    return handle


async def call_and_read_log(handle, capfd):
    async with run_fleet(m1=handle) as fleet:
        handle.target = fleet.targets['m1']
        await fleet.call(X_Prompt_Prefix=PROMPT)
        await asyncio.sleep(0.1)
        fleet.state.log.flush()
    return capfd.readouterr().out


class TestCrashDetector:
    def test_target_that_refuses_connections_has_crashed(self, capfd):
        log = asyncio.run(call_and_read_log(crash(2), capfd))
        (line,) = [
            line for line in log.splitlines() if 'event=target_crashed' in line
        ]
        assert 'request=r-1 target=m1 started_ms=1000 events=' in line
        traits = line.rpartition('traits=')[2].split(',')
        assert traits[:-1] == ['part/5c1e', 'part/91bd']
        assert traits[-1].startswith('request/')

    def test_target_that_still_listens_has_not_crashed(self, capfd):
        async def handle(exchange):
            await reset(exchange)

        log = asyncio.run(call_and_read_log(handle, capfd))
        assert 'event=offer_broken' in log
        assert 'event=target_crashed' not in log

    def test_targets_behind_a_cut_have_not_crashed(self, capfd):
        """Guards against crash reports of an instance that is cut off.

        Its connections are reset and new ones are refused, like those of
        targets that have ended.
        """

        async def run():
            async with (
                run_fleet(m1=never_answer, m2=never_answer) as fleet,
                run_peers(fleet, 1) as peers,
            ):
                with partition(fleet) as cut:
                    _, writer = await asyncio.open_connection(
                        *fleet.settings.entry
                    )
                    writer.write(make_call(X_Prompt_Prefix=PROMPT))
                    await fleet.wait_for(
                        lambda: any(
                            one.requests for one in fleet.targets.values()
                        )
                    )
                    cut.cut(CutKind.reset, fleet.settings.ip)
                    await asyncio.sleep(0.5)
                    writer.close()
                for one in (fleet, *peers):
                    assert one.state.crash_evidence.list_suspects() == []

        asyncio.run(run())
        assert 'event=target_crashed' not in capfd.readouterr().out
