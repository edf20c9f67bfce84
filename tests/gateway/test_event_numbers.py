"""Tests of streams whose targets spoil the numbers of events."""

import asyncio
import re

import pytest

from tests.gateway.fleets import run_fleet
from tests.gateway.numbered_streams import (
    join_pieces,
    stream_in_turn,
    stream_pieces,
)
from tests.gateway.test_relayed_calls import run_cut_fleet
from trefoilhinge.dispatch.calls import AnswerHead
from trefoilhinge.gateway.answer_relay import AnswerRelay
from trefoilhinge.gateway.progress import CallProgress
from trefoilhinge.gateway.target_connections import TargetConnection


def call(**handlers):
    """Call a fleet once; return the answer and the fleet."""

    async def run():
        async with run_fleet(**handlers) as fleet:
            answer = await fleet.call()
            fleet.state.log.flush()
            return answer, fleet

    return asyncio.run(run())


class TestLog:
    def test_line_tells_which_number_is_wrong(self, capfd):
        """Guards against spoiled streams that the log does not explain."""
        spoiling = stream_pieces({4: b'id: 5\n'})
        _, fleet = call(m1=spoiling, m2=stream_pieces())
        (line,) = [
            line
            for line in capfd.readouterr().out.splitlines()
            if 'event=offer_broken' in line
        ]
        assert re.search(r'event 5 after event \d; 2 events of the read', line)
        assert fleet.state.metrics.get_count('streams_misnumbered') == 1


class TestGoodEventsBeforeAWrongOne:
    """Guards against ORDER: a good event that arrives with a wrong one.

    It was counted as sent when it was read, and then dropped with the wrong
    one, so that the stream went on after it at another target.
    """

    @pytest.mark.parametrize('together', [2, 3, 4])
    def test_stream_lacks_none(self, together):
        wrong = 2 * together  # the last of its read
        spoiling = stream_pieces({wrong: b'id: 15\n'}, together)
        answer, _ = call(m1=spoiling, m2=stream_pieces())
        assert answer.is_complete
        assert answer.content == join_pieces()

    def test_stream_through_a_peer_lacks_none(self):
        async def run():
            spoiling = stream_pieces({4: b'id: 5\n'})
            handle = stream_in_turn(spoiling, stream_pieces())
            async with run_cut_fleet(m1=handle, m2=handle) as cut_fleet:
                answer = await cut_fleet[0].call()
                assert answer.is_complete
                assert answer.content == join_pieces()

        asyncio.run(run())


class StalledCaller:
    """A caller that never takes what is written."""

    def __init__(self):
        self.written = b''
        self.is_written = asyncio.Event()

    def start_answer(self, status, headers):
        """Do nothing: the head is not checked."""

    def hold(self, count):
        """Do nothing: the memory is not checked."""

    def write(self, content):
        self.written += content
        self.is_written.set()

    async def drain(self):
        await asyncio.Event().wait()


class TestSentEvents:
    def test_event_counts_once_it_is_written(self):
        """Guards against events that come twice.

        The attempt is cancelled while the caller is slow: what was written
        reaches the caller all the same.
        """
        head = AnswerHead(200, 'r-1', True, False, '', ())
        content = join_pieces(last=2)

        class Connection(TargetConnection):
            async def read_content(self):
                yield content
                await asyncio.Event().wait()

        async def run():
            caller = StalledCaller()
            progress = CallProgress(0)
            relay = AnswerRelay(caller, progress)
            connection = Connection('127.0.0.1:1', None, None)
            task = asyncio.ensure_future(
                relay.relay_stream(connection, head, lambda: None)
            )
            async with asyncio.timeout(2):
                await caller.is_written.wait()
            task.cancel()
            await asyncio.wait((task,))
            assert caller.written == content
            assert progress.last_event == 2

        asyncio.run(run())
