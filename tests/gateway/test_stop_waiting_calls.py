"""Tests of calls that wait within an instance when it is ordered to stop."""

import asyncio

from tests.gateway.stop_checks import (
    check_refused,
    wait_at_once,
)
from tests.gateway.stop_networks import (
    GROUP_PROMPT,
    make_patient_document,
    run_busy_group,
)
from tests.gateway.targets import reply, stream

SERVED_S = 2.7  # calls are served for 3 s after the order, with a margin
INTERVAL_S = 0.1
SHORT_TIMEOUT_MS = 3000
BACKLOG_S = 11  # past the exit of the default grace


class TestWaitingCalls:
    """Guards against LOST: calls that wait past the exit, and are cut there.

    The callers of eight prompts that an instance had never sent to a target
    got no answer around its SIGTERM.
    """

    def test_call_taken_before_the_stop_is_refused_at_once(self):
        async def run():
            async with run_busy_group(BACKLOG_S) as stopping:
                state = stopping.fleet.state
                call = stopping.call('/stream/1', X_Token_Count=GROUP_PROMPT)
                await stopping.fleet.wait_for(state.prefill_waiters.count)
                stopping.order()
                result = await wait_at_once(call)
                check_refused(result.answer)
                assert not stopping.list_requests()

        asyncio.run(run())

    def test_call_taken_after_the_stop_is_refused_at_once(self):
        async def run():
            async with run_busy_group(BACKLOG_S) as stopping:
                stopping.order()
                await asyncio.sleep(1)
                call = stopping.call('/stream/1', X_Token_Count=GROUP_PROMPT)
                result = await wait_at_once(call)
                check_refused(result.answer)
                assert not stopping.list_requests()

        asyncio.run(run())


class TestShortCalls:
    def test_short_calls_are_served_beside_long_ones_that_are_refused(self):
        """Guards against refusing all for the sake of a few long calls."""
        document = make_patient_document()
        for route in document['routes'][1:]:
            route['timeoutMs'] = SHORT_TIMEOUT_MS

        async def run():
            handlers = {'m4': stream(), 'd1': reply(200, b'done')}
            async with run_busy_group(
                BACKLOG_S, document, **handlers
            ) as stopping:
                stopping.order()
                calls = []
                while stopping.count_s() < SERVED_S:
                    calls += [
                        stopping.call('/stream/1', X_Token_Count='100,10'),
                        stopping.call('/book/1'),
                        stopping.call('/look/1'),
                    ]
                    long = stopping.call(
                        '/stream/1', X_Token_Count=GROUP_PROMPT
                    )
                    await asyncio.sleep(INTERVAL_S)
                    check_refused((await wait_at_once(long)).answer)
                results = await asyncio.gather(*calls)
                assert {one.answer.status for one in results} == {200}
                assert all(one.answer.is_complete for one in results)

        asyncio.run(run())
