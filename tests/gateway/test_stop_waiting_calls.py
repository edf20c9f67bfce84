"""Tests of calls that wait within an instance when it is ordered to stop."""

import asyncio

from tests.gateway.stop_networks import (
    call_group,
    check_refused,
    run_busy_group,
    wait_at_once,
)

BACKLOG_S = 11  # past the exit of the default grace


class TestWaitingCalls:
    """Guards against LOST: calls that wait past the exit, and are cut there.

    The callers of eight prompts that an instance had never sent to a target
    got no answer around its SIGTERM.
    """

    def test_call_taken_before_the_stop_is_refused_at_once(self):
        async def run():
            async with run_busy_group(BACKLOG_S) as fleet:
                call = call_group(fleet)
                await fleet.wait_for(fleet.state.prefill_waiters.count)
                fleet.gateway._begin_stop()
                check_refused(await wait_at_once(call))
                assert not any(one.requests for one in fleet.targets.values())

        asyncio.run(run())

    def test_call_taken_after_the_stop_is_refused_at_once(self):
        async def run():
            async with run_busy_group(BACKLOG_S) as fleet:
                fleet.gateway._begin_stop()
                await asyncio.sleep(1)
                check_refused(await wait_at_once(call_group(fleet)))
                assert not any(one.requests for one in fleet.targets.values())

        asyncio.run(run())
