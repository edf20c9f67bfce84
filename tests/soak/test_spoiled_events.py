"""Tests of the spoiled streams of a soak."""

import asyncio
from types import SimpleNamespace

import pytest

from trefoilhinge.dispatch.event_order import (
    EventRun,
    EventsMisnumbered,
    StreamPosition,
)
from trefoilhinge.dispatch.events import EventSplitter
from trefoilhinge.soak.event_kinds import StreamKind
from trefoilhinge.soak.fleets import MODEL_TARGETS
from trefoilhinge.soak.plans import PlannedEvent
from trefoilhinge.soak.records import make_event
from trefoilhinge.soak.spoiled_events import (
    SpoiledEvent,
    Spoiling,
    choose_spoiled_event,
    make_writes,
)
from trefoilhinge.soak.spoiled_streams import spoil_streams

EVENTS = 12


def list_excesses():
    """Return by how much the model targets make numbers too large."""
    targets = [SimpleNamespace() for _ in range(MODEL_TARGETS)]
    for index in range(MODEL_TARGETS):
        event = PlannedEvent(
            0, 0, StreamKind.spoil, (index + 0.5) / MODEL_TARGETS
        )
        asyncio.run(spoil_streams(SimpleNamespace(targets=targets), event))
    return [one.number_excess for one in targets]


class TestSpoiledEvents:
    @pytest.mark.parametrize('spoiling', Spoiling)
    @pytest.mark.parametrize('number', [2, 5, EVENTS])
    @pytest.mark.parametrize('excess', [1, 4])
    def test_run_is_seen_to_be_wrong(self, spoiling, number, excess):
        """Guards against a soak whose spoiled streams are sound."""
        spoiled = SpoiledEvent(number, spoiling, excess)
        run = EventRun(StreamPosition(), is_continued=False, is_resumable=True)
        splitter = EventSplitter()
        with pytest.raises(EventsMisnumbered):
            for _, content in make_writes('r', range(1, EVENTS + 1), spoiled):
                run.select(splitter.split(content))
            run.check_end()

    def test_two_targets_do_not_agree_on_a_wrong_number(self):
        """Guards against WRONG_ANSWER of a stream with a gap.

        The last event had the same wrong number from two targets in
        succession, as from sound ones that have a gap there.
        """
        position = StreamPosition()
        for excess in list_excesses()[:2]:
            first = (position.last_event or 0) + 1
            run = EventRun(position, is_continued=first > 1, is_resumable=True)
            splitter = EventSplitter()
            spoiled = SpoiledEvent(EVENTS, Spoiling.larger, excess)
            writes = make_writes('r', range(first, EVENTS + 1), spoiled)
            with pytest.raises(EventsMisnumbered):
                for _, content in writes:
                    run.record_written(run.select(splitter.split(content)))
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
