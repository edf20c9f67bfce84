"""Tests of what a stopping instance expects of calls."""

import asyncio

import pytest

from tests.gateway.stop_late_moments import take_turns
from tests.gateway.stop_moments import GROUP
from tests.gateway.stop_networks import (
    add_backlog,
    make_patient_document,
    run_stopping,
)
from tests.gateway.targets import stream
from trefoilhinge.platform.standins.formats import NOT_RUN_HEADER

GRACE_S = {'grace_s': 8}
# One target prefills it for longer than the instance lives, three do not.
LARGE_PROMPT = '300000,700'
REJECTED_S = 3.9  # after the order
BACKLOG_S = 3


class TestEstimates:
    def test_large_prompt_is_shared_by_targets(self):
        """Guards against refusing prompts that a group can take in time."""

        async def run():
            async with run_stopping(None, GRACE_S, handlers=GROUP) as stopping:
                stopping.order()
                result = await stopping.call(
                    '/stream/1', X_Token_Count=LARGE_PROMPT
                )
                assert result.answer.status == 200
                stopping.ending.cancel()

        asyncio.run(run())

    @pytest.mark.parametrize('backlog_s', [0, BACKLOG_S])
    def test_earlier_placement_does_not_decide_on_the_next(self, backlog_s):
        """Guards against a refusal for a backlog that has passed."""

        async def run():
            async def reject(exchange):
                await stopping.wait_until(REJECTED_S)
                await exchange.respond(503, b'', [NOT_RUN_HEADER])

            handlers = {
                name: take_turns(reject, stream()) for name in ('m1', 'm2')
            }
            async with run_stopping(
                make_patient_document(sloMs=9000), GRACE_S, handlers=handlers
            ) as stopping:
                for name in handlers:
                    add_backlog(stopping.fleet.state, [name], backlog_s)
                stopping.order()
                await stopping.wait_until(0.1)
                result = await stopping.call(
                    '/stream/1', X_Token_Count='100,10'
                )
                assert result.answer.status == 200
                stopping.ending.cancel()

        asyncio.run(run())
