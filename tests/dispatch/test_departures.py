"""Tests of what shows that a target has left, and what takes that back."""

import pytest

from tests.dispatch.samples import make_record
from trefoilhinge.dispatch.departures import MAXIMUM_DEPARTURES
from trefoilhinge.dispatch.targets import TargetDirectory

WRITTEN_AT = 10
GONE_AT = 20
AGAIN_AT = 30
RESTORED_AT = 1000  # first revision of a restored store


def make_directory():
    """Return a directory with a target, whose store answers."""
    directory = TargetDirectory()
    directory.outages.mark_reachable(0)
    directory.apply_record(make_record('t01', revision=WRITTEN_AT))
    return directory


def remove(directory):
    """Remove the entry of the target."""
    directory.mark_removed('t01', 100, GONE_AT)


def report(directory):
    """Let another instance say that the target has left."""
    directory.mark_reported(('t01', 1000), GONE_AT)


def drain(directory):
    """Let the target say that it leaves."""
    directory.apply_record(
        make_record('t01', is_leaving=True, revision=GONE_AT)
    )


def answer_leaving(directory):
    """Let an answer of the target say that it leaves."""
    directory.mark_departed(make_record('t01', revision=WRITTEN_AT))


def apply(directory, revision, **fields):
    """Apply an entry; return whether its target is used."""
    directory.apply_record(make_record('t01', revision=revision, **fields))
    return bool(directory.list_serving('model'))


class TestReturn:
    @pytest.mark.parametrize('depart', [remove, report])
    def test_entry_that_is_written_again_takes_it_back(self, depart):
        """Guards against RECOVER: a living target that is never used again.

        It had lost the store for longer than its entry lasts.
        """
        directory = make_directory()
        depart(directory)
        assert not directory.list_serving('model')
        assert apply(directory, AGAIN_AT)

    @pytest.mark.parametrize('depart', [remove, report, drain, answer_leaving])
    def test_entry_of_before_takes_nothing_back(self, depart):
        directory = make_directory()
        depart(directory)
        assert not apply(directory, GONE_AT - 1)

    @pytest.mark.parametrize('depart', [drain, answer_leaving])
    def test_target_that_said_so_has_left(self, depart):
        directory = make_directory()
        depart(directory)
        assert not apply(directory, AGAIN_AT)

    @pytest.mark.parametrize('depart', [remove, report])
    def test_target_that_said_so_stays_departed(self, depart):
        directory = make_directory()
        drain(directory)
        depart(directory)
        assert not apply(directory, AGAIN_AT)

    def test_target_that_left_without_an_entry_returns(self):
        directory = TargetDirectory()
        report(directory)
        assert not apply(directory, WRITTEN_AT)
        assert apply(directory, AGAIN_AT)

    def test_report_that_is_older_than_the_entry_is_ignored(self):
        """Guards against an instance that has seen less than this one."""
        directory = make_directory()
        remove(directory)
        assert apply(directory, AGAIN_AT)
        report(directory)
        assert directory.list_serving('model')


class TestRestoredStore:
    """Guards against an entry of a copy, written before the departure."""

    @pytest.mark.parametrize('depart', [remove, report])
    def test_entry_of_the_copy_takes_nothing_back(self, depart):
        directory = make_directory()
        depart(directory)
        directory.departures.history_began = RESTORED_AT
        assert not apply(directory, RESTORED_AT + WRITTEN_AT)

    @pytest.mark.parametrize('depart', [remove, report])
    def test_target_that_lives_on_returns(self, depart):
        directory = make_directory()
        depart(directory)
        directory.departures.history_began = RESTORED_AT
        assert apply(directory, RESTORED_AT + WRITTEN_AT, sequence=99)

    def test_report_of_before_is_not_compared(self):
        directory = TargetDirectory()
        directory.departures.history_began = RESTORED_AT
        directory.apply_record(make_record('t01', revision=RESTORED_AT + 1))
        report(directory)
        assert not directory.list_serving('model')


class TestBounds:
    def test_departures_are_bounded(self):
        directory = TargetDirectory()
        for number in range(MAXIMUM_DEPARTURES + 100):
            directory.mark_reported(('t01', number), GONE_AT)
        assert len(directory.departed) == MAXIMUM_DEPARTURES
        assert ('t01', MAXIMUM_DEPARTURES) in directory.departed
