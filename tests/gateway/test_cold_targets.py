"""Tests of an instance whose targets have just started."""

import asyncio
import contextlib

from tests.gateway.documents import make_document
from tests.gateway.fleets import run_fleet
from tests.gateway.targets import never_answer, stream
from trefoilhinge.dispatch.calls import PrefillHelper
from trefoilhinge.gateway import reservations
from trefoilhinge.gateway.reservations import Reservations
from trefoilhinge.platform.standins.formats import SEAL_HEADER

BOUNDS = {'cold_ratio': 1.5, 'cold_slack': 5}
PUBLISHED_RATE = 4.0
COLD_MS = 3000


def make_cold_document(rate=PUBLISHED_RATE):
    """Return a document whose engines are cold after their start."""
    document = make_document()
    for service in document['services']:
        service.update(coldS=COLD_MS / 1000, coldPerS=rate)
    return document


def stream_cold(exchange):
    """Answer a stream and say that the target is cold."""
    return exchange.respond(
        200,
        b'id: 1\ndata: words\n\n',
        [SEAL_HEADER, ('X-Cold-Ms', str(COLD_MS))],
    )


@contextlib.asynccontextmanager
async def run_cold(rate=PUBLISHED_RATE, **handlers):
    """Run an instance of a deployment with cold targets."""
    async with run_fleet(
        make_cold_document(rate), bounds=BOUNDS, **handlers
    ) as fleet:
        yield fleet


async def call_often(fleet, count):
    """Make calls at once; return their statuses."""
    answers = await asyncio.gather(
        *(
            fleet.call(X_Request_Id=f'r-{number}', X_Deadline='600')
            for number in range(count)
        )
    )
    return [answer.status for answer in answers]


class TestColdTargets:
    def test_warm_target_is_preferred_to_one_that_just_started(self):
        """Guards against all calls going to an idle domain that returns."""

        async def run():
            async with run_cold(m1=stream(), m2=stream()) as fleet:
                target = fleet.targets['m1']
                fleet.store.put_target('m1', target.address, born=5000)
                await fleet.wait_for(lambda: not fleet.state.cold.is_empty)
                assert set(await call_often(fleet, 6)) == {200}
                assert not target.requests

        asyncio.run(run())

    def test_cold_target_without_others_gets_few_requests(self):
        """Guards against more requests than a cold target takes."""

        async def run():
            async with run_cold(m1=stream()) as fleet:
                target = fleet.targets['m1']
                fleet.store.put_target('m1', target.address, coldLeftMs=COLD_MS)
                await fleet.wait_for(lambda: not fleet.state.cold.is_empty)
                statuses = await call_often(fleet, 30)
                assert len(target.requests) <= PUBLISHED_RATE * 1.5 + 5
                assert statuses.count(200) == len(target.requests) > 0
                assert set(statuses) == {200, 503}
                # Served in full once it is warm.
                await asyncio.sleep(COLD_MS / 1000)
                assert set(await call_often(fleet, 6)) == {200}

        asyncio.run(run())

    def test_answer_that_says_so_makes_a_target_cold(self):
        async def run():
            async with run_cold(m1=stream_cold, m2=stream()) as fleet:
                assert (await fleet.call()).status == 200
                await fleet.wait_for(lambda: not fleet.state.cold.is_empty)
                assert set(await call_often(fleet, 6)) == {200}
                assert len(fleet.targets['m1'].requests) == 1

        asyncio.run(run())

    def test_services_without_a_cold_phase_are_not_limited(self):
        """Guards against new behaviour at deployments that did not ask."""

        async def run():
            async with run_cold(rate=0, m1=stream_cold) as fleet:
                target = fleet.targets['m1']
                fleet.store.put_target(
                    'm1', target.address, coldLeftMs=COLD_MS, born=5000
                )
                await fleet.wait_for(
                    lambda: (
                        fleet.state.directory.records['m1'].started_ms == 5000
                    )
                )
                assert set(await call_often(fleet, 30)) == {200}
                assert fleet.state.cold.is_empty

        asyncio.run(run())


class TestOrders:
    def test_release_is_not_repeated_at_a_cold_target(self, monkeypatch):
        """Guards against FAILBACK: late releases beside the quota of calls.

        A soak saw a cold target get six orders in a second where four
        requests were allowed (seed 140).
        """
        monkeypatch.setattr(reservations, 'ORDER_TIMEOUT_S', 0.05)
        monkeypatch.setattr(reservations, 'RELEASE_DELAYS_S', (0, 0.05, 0.05))
        monkeypatch.setattr(reservations, 'LATE_RELEASE_DELAYS_S', (0.05,) * 3)

        async def run():
            async with run_cold(m1=stream()) as fleet:
                fleet.targets['m1'].handle_order = never_answer
                record = fleet.state.directory.records['m1']
                now_s = fleet.state.get_now_s()
                fleet.state.cold.mark(record.incarnation, 10, now_s)
                helper = PrefillHelper(record.address, 'r-1')
                held = Reservations(
                    fleet.state, fleet.gateway._peers, (helper,), (1000,)
                )
                held.release()
                await asyncio.sleep(0.6)
                assert len(fleet.targets['m1'].orders) == 1

        asyncio.run(run())
