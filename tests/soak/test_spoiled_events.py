"""Tests of the spoiled streams of a soak."""

import pytest

from trefoilhinge.dispatch.event_order import (
    EventRun,
    EventsMisnumbered,
    StreamPosition,
)
from trefoilhinge.dispatch.events import EventSplitter
from trefoilhinge.soak.records import make_event
from trefoilhinge.soak.spoiled_events import (
    SpoiledEvent,
    Spoiling,
    choose_spoiled_event,
    make_writes,
)

EVENTS = 12


class TestSpoiledEvents:
    @pytest.mark.parametrize('spoiling', Spoiling)
    @pytest.mark.parametrize('number', [2, 5, EVENTS])
    def test_run_is_seen_to_be_wrong(self, spoiling, number):
        """Guards against a soak whose spoiled streams are sound."""
        spoiled = SpoiledEvent(number, spoiling)
        run = EventRun(StreamPosition(), is_continued=False, is_resumable=True)
        splitter = EventSplitter()
        with pytest.raises(EventsMisnumbered):
            for _, content in make_writes('r', range(1, EVENTS + 1), spoiled):
                run.select(splitter.split(content))
            run.check_end()

    def test_event_before_the_spoiled_one_comes_with_it(self):
        spoiled = SpoiledEvent(5, Spoiling.missing)
        writes = dict(make_writes('r', range(1, EVENTS + 1), spoiled))
        assert 4 not in writes
        assert writes[5] == make_event('r', 4) + b'data: r\n\n'

    def test_each_kind_is_chosen(self):
        chosen = {choose_spoiled_event(str(one), EVENTS) for one in range(500)}
        assert {one.number for one in chosen} == set(range(1, EVENTS + 1))
        assert {one.spoiling for one in chosen} == set(Spoiling)
