"""Tests of the event log, which must never block a call."""

import os

import pytest

from trefoilhinge.gateway.logs import (
    MAXIMUM_BUFFERED_LINES,
    MAXIMUM_ROUTINE_LINES_PER_S,
    EventLog,
)


class TestEventLog:
    def test_line_holds_pairs(self):
        reader, writer = os.pipe()
        EventLog('entry-1', writer).write('call_ended', request='r', took=0.5)
        line = os.read(reader, 1000).decode()
        assert line.endswith('event=call_ended request=r took=0.5\n')

    def test_values_with_spaces_are_quoted(self):
        reader, writer = os.pipe()
        EventLog('entry-1', writer).write('lost', problem='a "b"\nc')
        assert b'problem="a \'b\' c"\n' in os.read(reader, 1000)

    def test_stalled_reader_does_not_block_and_memory_is_bounded(self):
        reader, writer = os.pipe()
        log = EventLog('entry-1', writer)
        for number in range(MAXIMUM_BUFFERED_LINES * 3):
            log.write('call_ended', request=f'r-{number}', text='x' * 100)
        assert log.buffered_lines <= MAXIMUM_BUFFERED_LINES
        text = b''
        while log.buffered_lines or b'lines_dropped' not in text:
            text += os.read(reader, 65536)
            log.flush()
        assert b'event=lines_dropped count=' in text

    def test_closed_reader_is_no_error(self):
        reader, writer = os.pipe()
        os.close(reader)
        EventLog('entry-1', writer).write('started')

    @pytest.mark.parametrize('event', ['call_offered', 'caller_shed'])
    def test_routine_lines_are_limited_in_rate(self, event):
        """Guards against a log that a load, or a crowd, fills."""
        reader, writer = os.pipe()
        log = EventLog('entry-1', writer)
        for number in range(MAXIMUM_ROUTINE_LINES_PER_S * 3):
            log.write(event, request=number)
            if number % 100 == 0:
                log.write('call_ended', request=number, outcome='failed')
        log.flush()
        text = os.read(reader, 1_000_000).decode()
        # The test may span two of the one-second windows.
        assert text.count(f'event={event}') <= MAXIMUM_ROUTINE_LINES_PER_S * 2
        assert text.count('outcome=failed') == 12
        assert 'event=lines_dropped count=' in text
