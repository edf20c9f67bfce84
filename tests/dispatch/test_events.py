"""Tests of splitting a stream into events."""

from hypothesis import given
from hypothesis import strategies as st

from trefoilhinge.dispatch.events import EventSplitter

STREAM = b''.join(b'id: %d\ndata: words\n\n' % number for number in range(1, 9))


class TestEventSplitter:
    @given(st.lists(st.integers(0, len(STREAM)), max_size=6))
    def test_events_are_the_same_wherever_bytes_are_cut(self, cuts):
        splitter = EventSplitter()
        edges = [0, *sorted(cuts), len(STREAM)]
        events = []
        for begin, end in zip(edges, edges[1:]):
            events.extend(splitter.split(STREAM[begin:end]))
        assert [event.number for event in events] == list(range(1, 9))
        assert b''.join(event.content for event in events) == STREAM
        assert splitter.remainder == b''

    def test_incomplete_event_is_held_back(self):
        splitter = EventSplitter()
        assert not splitter.split(b'id: 1\nda')
        assert splitter.remainder == b'id: 1\nda'

    def test_event_without_a_number_has_none(self):
        event = EventSplitter().split(b'data: words\n\n')[0]
        assert event.number is None
