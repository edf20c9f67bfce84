"""Tests of what the log tells of a planned stop."""

import asyncio
import os
import threading
import time

import logbook

from tests.gateway.fleets import make_call, run_fleet
from tests.gateway.targets import never_answer, reply, stream
from trefoilhinge.gateway.logs import EventLog

LINES = 600  # more than a pipe holds


def record_events(fleet):
    """Return the handler that keeps the lines of an instance."""
    handler = logbook.TestHandler(bubble=True)
    fleet.state.log._logger.handlers.insert(0, handler)
    return handler


def find(events, name):
    """Return the fields of the events of a name."""
    found = [
        dict(pair.split('=', 1) for pair in record.message.split())
        for record in events.records
    ]
    return [fields for fields in found if fields['event'] == name]


async def send_call(fleet, path):
    """Send a call and leave its connection open."""
    reader, writer = await asyncio.open_connection(*fleet.settings.entry)
    writer.write(make_call(path, 'POST', X_Deadline='60000'))
    return reader, writer


class TestEndOfCalls:
    def test_caller_that_is_cut_is_not_said_to_have_gone(self):
        """Guards against a log that blames callers for the exit."""

        async def run():
            async with run_fleet(m1=never_answer) as fleet:
                events = record_events(fleet)
                _, writer = await send_call(fleet, '/stream/1')
                await fleet.wait_for(lambda: fleet.targets['m1'].requests)
                for task in asyncio.all_tasks():
                    if 'CallService' in repr(task.get_coro()):
                        task.cancel()
                await fleet.wait_for(lambda: find(events, 'call_ended'))
                writer.close()
                ended = find(events, 'call_ended')[0]
                assert ended['outcome'] == 'cut'
                assert ended['stage'] == 'sent'

        asyncio.run(run())

    def test_caller_that_leaves_has_gone(self):
        async def run():
            async with run_fleet(m1=never_answer) as fleet:
                events = record_events(fleet)
                _, writer = await send_call(fleet, '/stream/1')
                await fleet.wait_for(lambda: fleet.targets['m1'].requests)
                writer.close()
                await fleet.wait_for(lambda: find(events, 'call_ended'))
                ended = find(events, 'call_ended')[0]
                assert ended['outcome'] == 'caller_gone'

        asyncio.run(run())

    def test_caller_that_resets_a_stream_has_gone(self):
        """Guards against a call that ends without a line.

        An error of the caller's connection while an event was written to it
        ended the call unrecorded.
        """

        async def run():
            async with run_fleet(m1=stream(last=2000, gap_s=0.001)) as fleet:
                events = record_events(fleet)
                reader, writer = await send_call(fleet, '/stream/1')
                await reader.read(1)
                writer.transport.abort()
                await fleet.wait_for(lambda: find(events, 'call_ended'))
                ended = find(events, 'call_ended')[0]
                assert ended['outcome'] == 'caller_gone'

        asyncio.run(run())


class TestStopLines:
    def test_lines_count_the_calls_at_each_stage(self):
        """Guards against a stop that does not say what it left."""

        async def run():
            async with run_fleet(
                m1=stream(last=200, gap_s=0.05), d1=reply(200, b'yes')
            ) as fleet:
                events = record_events(fleet)
                reader, writer = await send_call(fleet, '/stream/1')
                await reader.read(1)
                fleet.gateway._begin_stop()
                assert (await fleet.call('/book/1')).status == 200
                ordered = find(events, 'stop_ordered')[0]
                assert (ordered['active'], ordered['begun']) == ('1', '1')
                assert (ordered['waiting'], ordered['sent']) == ('0', '0')
                writer.close()
                await fleet.gateway._stopped.wait()
                stopped = find(events, 'stopped')[0]
                assert stopped['active'] == '0'
                assert stopped['answered_calls'] == '1'
                assert stopped['caller_gone_calls'] == '1'
                assert stopped['cut_calls'] == '0'

        asyncio.run(run())


class TestLinesAtTheExit:
    def test_lines_that_wait_are_written(self):
        """Guards against lines that are lost with the end of the process."""
        reader, writer = os.pipe()
        log = EventLog('entry-1', writer)
        for number in range(LINES):
            log.write('call_ended', request=f'r-{number}', text='x' * 300)
        assert log.buffered_lines
        text = []
        thread = threading.Thread(
            target=lambda: text.extend(
                iter(lambda: os.read(reader, 4096), b'')
            ),
            daemon=True,
        )
        thread.start()
        log.flush(10)
        os.close(writer)
        thread.join()
        assert b'request=r-%d ' % (LINES - 1) in b''.join(text)

    def test_reader_that_has_stopped_delays_the_exit_by_the_limit_only(self):
        _, writer = os.pipe()
        log = EventLog('entry-1', writer)
        for number in range(LINES):
            log.write('call_ended', request=f'r-{number}', text='x' * 300)
        began_s = time.monotonic()
        log.flush(0.05)
        assert time.monotonic() - began_s < 5
        assert log.buffered_lines
