"""Tests of the events of a target's stream."""

import pytest

from trefoilhinge.core.sse import StreamEvent, encode_event, parse_event

ODD_NUMBERS = ['', '-1', '+1', ' 1', '\u00b2', '\u0661', '1' * 5_000]


class TestParseEvent:
    def test_encoded_event(self):
        event = StreamEvent('call.1', 7, 'word')
        assert parse_event(encode_event(event).removesuffix(b'\n\n')) == event

    @pytest.mark.parametrize('number', ODD_NUMBERS)
    def test_event_with_an_odd_offset_is_none(self, number):
        """Guards against a call that ends with an error of the program.

        The stream is gone on with at a new connection instead, as one of the
        offsets is missing.
        """
        block = f'id: call.1:{number}\ndata: word'.encode()
        assert parse_event(block) is None
