"""Tests of streams whose targets spoil the numbers of events."""

import asyncio
import itertools
import re

import pytest

from tests.gateway.documents import make_document
from tests.gateway.fleets import make_call, run_fleet
from tests.gateway.numbered_streams import (
    PIECES,
    break_off,
    is_sound,
    is_whole,
    join_pieces,
    make_piece,
    stream_in_turn,
    stream_pieces,
)
from tests.gateway.targets import SEAL_HEADER
from tests.gateway.test_relayed_calls import count_requests, run_cut_fleet
from trefoilhinge.dispatch.calls import AnswerHead
from trefoilhinge.gateway.answer_relay import AnswerRelay
from trefoilhinge.gateway.progress import CallProgress
from trefoilhinge.gateway.target_connections import TargetConnection


# Lines in place of the ``id`` field of an event.
SPOILED = {
    'larger': b'id: 30\n',
    'zero': b'id: 0\n',
    'padded': b'id: 00\n',
    'one': b'id: 1\n',
    'no digit': b'id: >\n',
    'superscript': b'id: \xb2\n',
    'signed': b'id: -4\n',
    'empty': b'id:\n',
    'missing': b'',
    'misspelt': b'if: 4\n',
    'two': b'id: 4\nid: 5\n',
    'endless': b'id: %b\n' % (b'4' * 5_000),
}


def call(document=None, **handlers):
    """Call a fleet once; return the answer and the fleet."""

    async def run():
        async with run_fleet(document, **handlers) as fleet:
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
                relay.relay_stream(
                    connection, head, lambda: None, is_resumable=True
                )
            )
            async with asyncio.timeout(2):
                await caller.is_written.wait()
            task.cancel()
            await asyncio.wait((task,))
            assert caller.written == content
            assert progress.last_event == 2

        asyncio.run(run())


class TestWrongNumbers:
    """Guards against ORDER: streams that look whole and are not.

    A number that does not grow was taken for an event that the caller has, also
    where nothing was resumed. One that cannot be read, or is missing, was
    passed on uncounted, so that the same event came again.
    """

    @pytest.mark.parametrize('together', [1, 2, 4])
    @pytest.mark.parametrize('number', [1, 2, 4, PIECES])
    @pytest.mark.parametrize('name', SPOILED)
    def test_stream_is_whole_or_visibly_broken(self, name, number, together):
        spoiling = stream_pieces({number: SPOILED[name]}, together)
        handle = stream_in_turn(spoiling, stream_pieces())
        answer, _ = call(m1=handle, m2=handle)
        assert answer.status == 200
        assert is_sound(answer)

    @pytest.mark.parametrize(
        ('name', 'number'),
        sorted(set(itertools.product(SPOILED, [2, 4, PIECES])) - {('one', 2)}),
    )
    def test_another_target_goes_on(self, name, number):
        """Where the first two events have one number, either may be wrong."""
        spoiling = stream_pieces({number: SPOILED[name]})
        handle = stream_in_turn(spoiling, stream_pieces())
        answer, _ = call(m1=handle, m2=handle)
        assert answer.is_complete
        assert answer.content == join_pieces()

    @pytest.mark.parametrize('number', [1, 4, PIECES])
    @pytest.mark.parametrize('name', SPOILED)
    def test_stream_through_a_peer(self, name, number):
        async def run():
            spoiling = stream_pieces({number: SPOILED[name]})
            handle = stream_in_turn(spoiling, stream_pieces())
            async with run_cut_fleet(m1=handle, m2=handle) as cut_fleet:
                assert is_sound(await cut_fleet[0].call())

        asyncio.run(run())

    @pytest.mark.parametrize('number', [1, 4, PIECES])
    @pytest.mark.parametrize('name', SPOILED)
    def test_stream_that_may_not_be_resumed(self, name, number):
        document = make_document()
        document['routes'][0]['resumable'] = False
        handle = stream_pieces({number: SPOILED[name]})
        answer, fleet = call(document, m1=handle, m2=handle)
        assert is_sound(answer)
        assert count_requests(fleet) == 1

    @pytest.mark.parametrize('number', [4, 5, PIECES])
    @pytest.mark.parametrize('name', SPOILED)
    def test_resumed_stream(self, name, number):
        """The first target breaks off after the third event."""
        handle = stream_in_turn(
            break_off(3), stream_pieces({number: SPOILED[name]})
        )
        answer, _ = call(m1=handle, m2=handle)
        assert is_sound(answer)

    @pytest.mark.parametrize('number', [4, 5, PIECES])
    @pytest.mark.parametrize('name', SPOILED)
    def test_stream_that_the_caller_resumes(self, name, number):
        async def run():
            spoiling = stream_pieces({number: SPOILED[name]})
            handle = stream_in_turn(spoiling, stream_pieces())
            async with run_fleet(m1=handle, m2=handle) as fleet:
                answer = await fleet.call(Last_Event_Id='3')
                answer.content = join_pieces(last=3) + answer.content
                assert is_sound(answer)

        asyncio.run(run())

    def test_stream_whose_position_is_unknown_is_not_resumed(self):
        """Guards against runs for nothing.

        The caller has an event without a number, so that no run can go on.
        """
        spoiling = stream_pieces({1: b''}, together=1)
        handle = stream_in_turn(spoiling, stream_pieces())
        answer, fleet = call(m1=handle, m2=handle)
        assert not answer.is_complete
        assert count_requests(fleet) == 1


class TestSoundNumbers:
    """Guards against sound streams that are broken off."""

    @pytest.mark.parametrize('separator', [b': ping\n\n', b'retry: 50\n\n'])
    def test_comments_between_events(self, separator):
        content = separator.join(
            make_piece(number) for number in range(1, PIECES + 1)
        )

        async def handle(exchange):
            await exchange.send_headers(200, [SEAL_HEADER])
            await exchange.send_body(content)
            await exchange.end_response()

        answer, _ = call(m1=handle)
        assert answer.is_complete
        assert answer.content == content

    def test_stream_without_numbers(self):
        spoiled = {number: b'' for number in range(1, PIECES + 1)}
        answer, _ = call(m1=stream_pieces(spoiled))
        assert is_whole(answer)

    @pytest.mark.parametrize('first', [0, 5])
    def test_stream_that_begins_with_another_number(self, first):
        numbers = {
            number: b'id: %d\n' % (first + number - 1)
            for number in range(1, PIECES + 1)
        }
        answer, fleet = call(m1=stream_pieces(numbers, together=1))
        assert is_whole(answer)
        assert count_requests(fleet) == 1

    def test_resumed_stream_that_begins_anew(self):
        handle = stream_in_turn(break_off(3), stream_pieces(begin=1))
        answer, _ = call(m1=handle, m2=handle)
        assert answer.is_complete
        assert answer.content == join_pieces()

    def test_resumed_stream_that_had_ended(self):
        """The first target breaks off after the last event."""
        handle = stream_in_turn(break_off(PIECES), stream_pieces())
        answer, _ = call(m1=handle, m2=handle)
        assert answer.is_complete
        assert answer.content == join_pieces()


GAPS = {
    'tens': range(10, 90, 10),
    'one gap': (1, 2, 3, 7, 8, 9, 10, 11),
    'some gaps': (1, 2, 5, 6, 9, 10, 12, 20),
}


class TestGaps:
    """Guards against sound streams that are broken off: ids have only to grow.

    A number that was not the next one ended the stream with 502, or cut it.
    """

    @pytest.mark.parametrize('is_resumable', [True, False])
    @pytest.mark.parametrize('together', [1, 3, PIECES])
    @pytest.mark.parametrize('name', GAPS)
    def test_stream_is_whole(self, name, together, is_resumable):
        document = make_document()
        document['routes'][0]['resumable'] = is_resumable
        numbers = dict(enumerate((b'id: %d\n' % one for one in GAPS[name]), 1))
        handle = stream_pieces(numbers, together)
        answer, fleet = call(document, m1=handle, m2=handle)
        assert is_whole(answer)
        assert count_requests(fleet) == 1

    def test_stream_through_a_peer_is_whole(self):
        async def run():
            numbers = dict(
                enumerate((b'id: %d\n' % one for one in GAPS['tens']), 1)
            )
            handle = stream_pieces(numbers)
            async with run_cut_fleet(m1=handle, m2=handle) as cut_fleet:
                answer = await cut_fleet[0].call()
                assert is_whole(answer)

        asyncio.run(run())

    def test_events_are_not_held_to_the_end(self):
        """Guards against events that are kept back for more than one."""

        async def run():
            is_sent = asyncio.Event()

            async def handle(exchange):
                await exchange.send_headers(200, [SEAL_HEADER])
                await exchange.send_body(make_piece(10) + make_piece(20))
                await is_sent.wait()
                await exchange.end_response()

            async with run_fleet(m1=handle) as fleet:
                reader, writer = await asyncio.open_connection(
                    *fleet.settings.entry
                )
                writer.write(make_call())
                async with asyncio.timeout(2):
                    await reader.readuntil(b'data: piece 20\n\n')
                is_sent.set()
                writer.close()

        asyncio.run(run())


class TestLastEventId:
    """Guards against streams that begin anew where a caller asked to go on.

    A header that could not be read was ignored, so that the caller got the
    events again that it had.
    """

    @pytest.mark.parametrize('value', ['x', '-3', '3.0', '\xb2', '3' * 5_000])
    def test_odd_one_is_refused(self, value):
        async def run():
            async with run_fleet(m1=stream_pieces()) as fleet:
                answer = await fleet.send_raw(
                    make_call(Last_Event_Id='@').replace(
                        b'@', value.encode('latin-1')
                    )
                )
                assert answer.status == 400
                assert b'last-event-id' in answer.content
                assert count_requests(fleet) == 0

        asyncio.run(run())

    def test_two_are_refused(self):
        async def run():
            async with run_fleet(m1=stream_pieces()) as fleet:
                call = make_call(Last_Event_Id='3')
                twice = call.replace(
                    b'Last-Event-Id: 3', b'Last-Event-Id: 3\r\nLast-Event-Id: 4'
                )
                assert (await fleet.send_raw(twice)).status == 400
                assert count_requests(fleet) == 0

        asyncio.run(run())

    @pytest.mark.parametrize('value', ['', '0'])
    def test_none_asks_for_the_whole_stream(self, value):
        async def run():
            async with run_fleet(m1=stream_pieces()) as fleet:
                call = make_call(Last_Event_Id='@').replace(
                    b'@', value.encode()
                )
                assert is_whole(await fleet.send_raw(call))

        asyncio.run(run())
