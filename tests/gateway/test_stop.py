"""Tests of a planned stop."""

import asyncio

from tests.gateway.fleets import make_call, read_answer, run_fleet
from tests.gateway.targets import reply, stay_mute, stream
from trefoilhinge.gateway.daemon import DRAIN_MINIMUM_S
from trefoilhinge.gateway.http_client import fetch

# From then on after the order, a call that was taken counts as lost if it is cut.
CUT_COUNTS_S = 3.0


async def ask_ready(fleet):
    """Return the status that the platform is given."""
    return (await fetch(fleet.settings.readiness, '/ready', 1)).status


class TestStop:
    def test_instance_is_ready_until_the_order(self):
        async def run():
            async with run_fleet(m1=stream()) as fleet:
                assert await ask_ready(fleet) == 200
                fleet.gateway._begin_stop()
                assert await ask_ready(fleet) == 503

        asyncio.run(run())

    def test_calls_that_still_arrive_are_served_and_closed(self):
        async def run():
            async with run_fleet(d1=reply(200, b'yes')) as fleet:
                fleet.gateway._begin_stop()
                answer = await fleet.call('/book/1')
                assert answer.content == b'yes'
                assert answer.headers['connection'] == 'close'

        asyncio.run(run())

    def test_running_stream_is_finished(self):
        async def run():
            async with run_fleet(m1=stream(last=30, pause_s=0.02)) as fleet:
                reader, writer = await asyncio.open_connection(
                    *fleet.settings.entry
                )
                writer.write(make_call())
                await fleet.wait_for(lambda: fleet.targets['m1'].requests)
                fleet.gateway._begin_stop()
                answer = await read_answer(reader)
                assert answer.is_whole
                assert answer.content.count(b'id:') == 30
                writer.close()

        asyncio.run(run())

    def test_late_call_that_could_not_end_is_refused(self):
        """Hunted: LOST, a stream taken 5.3 s after SIGTERM and cut."""

        async def run():
            async with run_fleet(m1=stream()) as fleet:
                fleet.gateway._begin_stop()
                now_s = fleet.state.get_now_s()
                await asyncio.sleep(0.01)
                fleet.state.admission_restricted_at_s = now_s
                fleet.state.exit_at_s = now_s + 2
                answer = await fleet.call()
                assert answer.status == 503
                assert b'"not_run"' in answer.content
                assert not fleet.targets['m1'].requests

        asyncio.run(run())

    def test_call_that_comes_after_three_seconds_is_not_cut(self):
        """Hunted: LOST, a stream taken 3.4 s after SIGTERM and cut."""

        async def run():
            async with run_fleet(m1=stream()) as fleet:
                fleet.gateway._begin_stop()
                await asyncio.sleep(CUT_COUNTS_S)
                fleet.state.exit_at_s = fleet.state.get_now_s() + 2
                answer = await fleet.call()
                assert answer.status == 503
                assert not fleet.targets['m1'].requests

        asyncio.run(run())

    def test_late_call_that_can_end_is_served(self):
        """An incident: a zone whose instances all stop still gets calls."""

        async def run():
            async with run_fleet(m1=stream()) as fleet:
                fleet.gateway._begin_stop()
                await asyncio.sleep(0.01)
                now_s = fleet.state.get_now_s()
                fleet.state.admission_restricted_at_s = now_s
                fleet.state.exit_at_s = now_s + 3.5
                assert (await fleet.call()).status == 200

        asyncio.run(run())

    def test_call_that_comes_at_the_very_end_is_refused_not_cut(self):
        """Hunted: LOST, a call taken within the last tenth of a second."""

        async def run():
            async with run_fleet(d1=stay_mute) as fleet:
                loop = asyncio.get_running_loop()
                fleet.gateway._begin_stop()
                await asyncio.sleep(DRAIN_MINIMUM_S - 0.1)
                reader, writer = await asyncio.open_connection(
                    *fleet.settings.entry
                )
                data = make_call('/look/1', 'GET')
                writer.write(data[:-2])
                async with asyncio.timeout(1):
                    while fleet.state.exit_at_s > loop.time():
                        await asyncio.sleep(0.005)
                writer.write(data[-2:])
                answer = await read_answer(reader)
                assert (answer.status, answer.is_whole) == (503, True)
                assert not fleet.targets['d1'].requests

        asyncio.run(run())
