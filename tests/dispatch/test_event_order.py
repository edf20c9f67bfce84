"""Tests of the order of a stream's events."""

import pytest
from hypothesis import assume, given, settings
from hypothesis import strategies as st

from trefoilhinge.dispatch.event_order import (
    EventRun,
    EventsMisnumbered,
    StreamPosition,
)
from trefoilhinge.dispatch.events import EventSplitter

RUNS = 3  # that a call may take


def make_events(numbered):
    """Return events from pairs of a number's text and a piece."""
    return EventSplitter().split(
        b''.join(b'id: %b\ndata: %d\n\n' % pair for pair in numbered)
    )


def make_run(position=None, is_continued=False, is_resumable=True):
    return EventRun(position or StreamPosition(), is_continued, is_resumable)


def select(run, *numbers):
    """Return the numbers that one event after the other lets pass."""
    passed = []
    for number in numbers:
        events = run.select(make_events([(b'%d' % number, 0)]))
        run.record_written(events)
        passed.append([event.number for event in events])
    return passed


class Caller:
    """A caller of a stream, with the runs that it takes."""

    def __init__(self, numbers):
        self.numbers = numbers
        self.position = StreamPosition()
        self.pieces = []
        self.is_complete = False

    def play(self, spoiled, reads, crash):
        """Play a run; return whether the stream has ended for the caller.

        :param spoiled: text in place of a number, by position in the run.
        :param reads: number of events in each read.
        :param crash: number of reads after which the target crashes, if any.
        """
        last = self.position.last_event
        run = make_run(self.position, bool(self.pieces))
        numbered = [
            (spoiled.get(index, b'%d' % number), self.numbers.index(number))
            for index, number in enumerate(
                number
                for number in self.numbers
                if last is None or number > last
            )
        ]
        reads = reads + [1] * len(numbered)
        try:
            while numbered:
                if crash == 0:
                    return not self.can_go_on()
                crash = None if crash is None else crash - 1
                size = reads.pop(0)
                read, numbered = numbered[:size], numbered[size:]
                events = run.select(make_events(read))
                run.record_written(events)
                self.pieces.extend(int(one.content[-3:]) for one in events)
            run.check_end()
        except EventsMisnumbered:
            return not self.can_go_on()
        self.is_complete = True
        return True

    def can_go_on(self):
        return not self.pieces or self.position.is_proven


TEXTS = st.one_of(
    st.integers(0, 20).map(lambda number: b'%d' % number),
    st.sampled_from([b'', b'>', b'-1', b'\xb2', b'1 2', b'9' * 5_000]),
)


class TestOneWrongNumber:
    @settings(max_examples=2_000, deadline=None)
    @given(
        first=st.sampled_from([0, 1, 5]),
        pieces=st.integers(1, 9),
        spoiled=st.dictionaries(st.integers(0, 8), TEXTS, max_size=1),
        reads=st.lists(st.integers(1, 4), max_size=4),
        crash=st.one_of(st.none(), st.integers(0, 5)),
    )
    def test_caller_gets_each_piece_once(
        self, first, pieces, spoiled, reads, crash
    ):
        """Guards against streams that look whole and are not.

        One number of the first run is wrong, and its target may crash as well.
        A stream that begins with 0, whose first number becomes 1, looks like a
        sound one up to its second event.
        """
        assume(first or spoiled != {0: b'1'} or crash is None)
        caller = Caller(range(first, first + pieces))
        is_ended = caller.play(spoiled, list(reads), crash)
        for _ in range(RUNS - 1):
            if not is_ended:
                is_ended = caller.play({}, list(reads), None)
        assert caller.pieces == list(range(len(caller.pieces)))
        if caller.is_complete:
            assert len(caller.pieces) == pieces


class TestGaps:
    """Guards against sound streams that are broken off, or held back."""

    @given(
        numbers=st.lists(
            st.integers(0, 40), min_size=1, max_size=9, unique=True
        ).map(sorted),
        reads=st.lists(st.integers(1, 4), max_size=4),
    )
    def test_stream_with_gaps_is_whole(self, numbers, reads):
        caller = Caller(numbers)
        for _ in range(2):  # a gap before the last event is confirmed
            if not caller.is_complete:
                caller.play({}, list(reads), None)
        assert caller.is_complete
        assert caller.pieces == list(range(len(numbers)))

    def test_event_after_a_gap_is_held_until_the_next(self):
        passed = select(make_run(), 1, 2, 5, 6, 7)
        assert passed == [[1], [2], [], [5, 6], [7]]

    def test_nothing_is_held_in_a_stream_with_many_gaps(self):
        passed = select(make_run(), 10, 20, 30, 35)
        assert passed == [[], [10, 20], [30], [35]]

    def test_nothing_is_held_where_nothing_is_resumed(self):
        passed = select(make_run(is_resumable=False), 10, 11, 15)
        assert passed == [[10], [11], [15]]

    def test_gap_before_the_last_event_is_confirmed_by_another_run(self):
        position = StreamPosition()
        run = make_run(position)
        select(run, 1, 2, 9)
        with pytest.raises(EventsMisnumbered):
            run.check_end()
        run = make_run(position, is_continued=True)
        assert select(run, 9) == [[9]]
        run.check_end()

    def test_gap_between_runs_breaks_the_second(self):
        """Guards against ORDER: the target may have lost events."""
        position = StreamPosition()
        select(make_run(position), 1, 2)
        for _ in range(2):
            with pytest.raises(EventsMisnumbered):
                select(make_run(position, is_continued=True), 5)


class TestProvenPosition:
    """Guards against runs that go on at the wrong event."""

    @pytest.mark.parametrize(
        ('numbers', 'is_proven'),
        [
            ((1,), True),
            ((1, 2), True),
            ((5, 6), True),
            ((5, 7), False),
            ((10, 20, 30), False),
            ((10, 20, 30, 31), True),
        ],
    )
    def test_only_numbers_that_follow_each_other(self, numbers, is_proven):
        position = StreamPosition()
        select(make_run(position), *numbers)
        assert position.last_event == numbers[-1]
        assert position.is_proven is is_proven

    def test_no_run_goes_on_from_another_one(self):
        """Guards against a run that is made all the same."""
        position = StreamPosition()
        select(make_run(position), 5, 7)
        with pytest.raises(EventsMisnumbered):
            select(make_run(position, is_continued=True), 8)
        with pytest.raises(EventsMisnumbered):
            make_run(position, is_continued=True).check_end()

    def test_event_without_a_number(self):
        position = StreamPosition()
        run = make_run(position)
        run.record_written(run.select(EventSplitter().split(b'data: 0\n\n')))
        assert not position.is_proven

    def test_read_with_a_wrong_number_changes_nothing(self):
        position = StreamPosition()
        run = make_run(position)
        select(run, 1, 2)
        with pytest.raises(EventsMisnumbered):
            run.select(make_events([(b'3', 0), (b'4', 0), (b'4', 0)]))
        assert position == StreamPosition(2)
