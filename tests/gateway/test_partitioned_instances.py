"""Tests of instances that reach no target while their peers do."""

import asyncio

import pytest

from tests.gateway.fleets import run_fleet, run_peers
from tests.gateway.partitions import CutKind, partition
from tests.gateway.targets import reply, stream

CALL_INTERVAL_S = 0.25
CALLS = 12
PATHS = ('/stream/1', '/look/1', '/book/1')


async def call_in_turn(fleet, name, count=CALLS):
    """Make calls of all routes in turn, each from a new connection.

    :return: their answers.
    """
    calls = []
    for number in range(count):
        path = PATHS[number % len(PATHS)]
        request_id = f'{name}-{number}'
        calls.append(
            asyncio.ensure_future(
                fleet.call(path, X_Request_Id=request_id, X_Deadline='1500')
            )
        )
        await asyncio.sleep(CALL_INTERVAL_S)
    return await asyncio.gather(*calls)


def count_served(answers):
    """Return the number of complete and signed answers."""
    return sum(
        answer.is_complete
        and answer.status == 200
        and 'x-server-seal' in answer.headers
        for answer in answers
    )


def make_handlers():
    """Return handlers of three targets of each service."""
    return {
        **{f'm{number}': stream() for number in range(3)},
        **{f'd{number}': reply(200, b'done') for number in range(3)},
    }


class TestFirstAttempts:
    @pytest.mark.parametrize('kind', list(CutKind), ids=lambda kind: kind.value)
    def test_instance_without_targets_serves_calls_through_a_peer(self, kind):
        """Guards against callers failing at an instance that is cut off.

        Targets and all other instances are sound.
        """

        async def run():
            async with (
                run_fleet(**make_handlers()) as fleet,
                run_peers(fleet, 2) as peers,
            ):
                with partition(fleet) as cut:
                    cut.cut(kind, fleet.settings.ip)
                    # Traffic shows the instance that it is cut off.
                    await call_in_turn(fleet, 'early')
                    answers, others = await asyncio.gather(
                        call_in_turn(fleet, 'cut'),
                        call_in_turn(peers[0], 'sound'),
                    )
                    assert count_served(others) == CALLS
                    assert count_served(answers) == CALLS

        asyncio.run(run())
