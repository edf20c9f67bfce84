"""Tests of time limits on targets that send no data."""

import asyncio

import pytest
from attrs import define

from tests.gateway.documents import HOST, find_port
from tests.gateway.fleets import run_fleet
from tests.gateway.targets import never_answer, reply, stream
from trefoilhinge.dispatch.loads import Run, RunPart
from trefoilhinge.gateway import liveness
from trefoilhinge.gateway.target_connections import AnswerBroken


@define
class MonitoredConnection:
    """A connection to a target that sends nothing."""

    address: str
    backlog_s: float
    silence_timeout_s: float = 0.05
    last_progress_s: float = 0
    waits_for_caller: bool = False

    def find_backlog_s(self):
        return self.backlog_s


class TestLiveness:
    def test_unresponsive_target_with_new_prompts_is_abandoned(
        self, monkeypatch
    ):
        """Guards against a wait that the backlog of new prompts extends forever."""
        monkeypatch.setattr(liveness, 'MAXIMUM_PREFILL_SILENCE_S', 0.3)

        async def run():
            port = find_port()
            server = await asyncio.start_server(
                lambda reader, writer: None, HOST, port
            )
            loop = asyncio.get_running_loop()
            connection = MonitoredConnection(
                f'{HOST}:{port}', 0.1, last_progress_s=loop.time()
            )
            try:
                await asyncio.wait_for(
                    liveness.await_answer(asyncio.sleep(30), connection), 5
                )
            finally:
                server.close()

        with pytest.raises(
            AnswerBroken, match='accepts connections but sends no data'
        ):
            asyncio.run(run())

    def test_dark_target_is_noticed_while_silence_is_expected(
        self, monkeypatch
    ):
        """Guards against memory that stays reserved for a dead prompt.

        A prompt whose first event was expected after 6.4 s was sent to a target
        that went dark at once. It was only to be probed after 10 s, and the
        memory reserved for it at another target was renewed meanwhile.
        """
        monkeypatch.setattr(liveness, 'LIVENESS_INTERVAL_S', 0.1)

        async def refuse():
            raise AnswerBroken('target does not accept connections')

        async def run():
            loop = asyncio.get_running_loop()
            connection = MonitoredConnection(
                'unused', 0, silence_timeout_s=20, last_progress_s=loop.time()
            )
            await asyncio.wait_for(
                liveness.await_answer(asyncio.sleep(30), connection, refuse), 2
            )

        with pytest.raises(AnswerBroken, match='does not accept'):
            asyncio.run(run())

    def test_probes_within_the_expected_silence_are_not_counted(
        self, monkeypatch
    ):
        """Guards against long prefills that are cut off for their silence."""
        monkeypatch.setattr(liveness, 'LIVENESS_INTERVAL_S', 0.05)
        probes = []

        async def accept():
            probes.append(1)

        async def run():
            loop = asyncio.get_running_loop()
            connection = MonitoredConnection(
                'unused', 0, silence_timeout_s=20, last_progress_s=loop.time()
            )
            await liveness.await_answer(asyncio.sleep(0.5), connection, accept)

        asyncio.run(run())
        assert len(probes) > liveness.MAXIMUM_SILENT_PROBES

    def test_silence_beyond_the_expected_one_ends_the_call(self, monkeypatch):
        """Only probes after the expected silence are counted."""
        monkeypatch.setattr(liveness, 'LIVENESS_INTERVAL_S', 0.05)
        probed_s = []

        async def run():
            loop = asyncio.get_running_loop()
            began_s = loop.time()

            async def accept():
                probed_s.append(loop.time() - began_s)

            connection = MonitoredConnection(
                'unused', 0, silence_timeout_s=0.4, last_progress_s=began_s
            )
            await asyncio.wait_for(
                liveness.await_answer(asyncio.sleep(30), connection, accept), 5
            )

        with pytest.raises(AnswerBroken, match='sends no data'):
            asyncio.run(run())
        assert probed_s[0] < 0.4
        # The answer is given up at the third time of silence that is too long.
        assert probed_s[-1] >= 0.4 * liveness.MAXIMUM_SILENT_PROBES

    def test_target_that_prefills_a_long_prompt_is_responsive(self):
        """Guards against cutting off streams during a long prefill.

        Seen in the scenario trouble-3 of the site Caroni.
        """

        async def pause(exchange):
            await asyncio.sleep(2.5)
            await stream(3)(exchange)

        async def run():
            async with run_fleet(m1=pause, m2=stream(3)) as fleet:
                loads = fleet.state.loads
                now_s = fleet.state.get_now_s()
                call = asyncio.ensure_future(
                    fleet.call('/stream/1', X_Deadline='9000')
                )
                await fleet.wait_for(
                    lambda: any(one.requests for one in fleet.targets.values())
                )
                for name in fleet.targets:
                    part = RunPart(name, 3, 0, has_slot=False)
                    run = Run('other', len(loads.targets), (part,), 0, 0, 0, 0)
                    loads.record_start(run, now_s + 9, now_s)
                assert (await call).status == 200
                request_count = sum(
                    len(one.requests) for one in fleet.targets.values()
                )
                assert request_count == 1

        asyncio.run(run())

    def test_call_moves_from_unresponsive_target_to_another(self):
        async def run():
            async with run_fleet(
                d1=never_answer, d2=reply(200, b'ok')
            ) as fleet:
                answer = await fleet.call('/look/1', 'GET')
                assert answer.content == b'ok'

        asyncio.run(run())
