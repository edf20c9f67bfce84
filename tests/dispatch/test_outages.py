"""Tests of the store's outages, and of entries that may expire in them."""

from tests.dispatch.samples import make_record
from trefoilhinge.dispatch.outages import (
    REREGISTRATION_GRACE_S,
    StoreOutages,
)
from trefoilhinge.dispatch.targets import TargetDirectory

REMOVED_AT = 5  # revision
INTERVAL_S = 1.0
EXPIRY_S = 2 * INTERVAL_S


def make_directory():
    """Return a directory with a target, whose store answers."""
    directory = TargetDirectory(outages=StoreOutages(INTERVAL_S))
    directory.outages.mark_reachable(0)
    directory.apply_record(make_record('t01'))
    return directory


def lose_store(directory, since_s, until_s):
    """Let the store be away for a time."""
    directory.outages.mark_unreachable(since_s)
    directory.outages.mark_reachable(until_s)


class TestRemovalAfterInterruption:
    def test_entry_cannot_expire_in_a_short_interruption(self):
        """Guards against a removed target that is used after a lost read."""
        directory = make_directory()
        lose_store(directory, 10, 10 + EXPIRY_S / 2)
        assert (
            directory.mark_removed('t01', 10 + EXPIRY_S / 2, REMOVED_AT)
            is not None
        )

    def test_cut_watch_is_no_outage(self):
        """Guards against a removed target that is used while watches are cut.

        The platform's store may cut a waiting watch at any time.
        """
        directory = make_directory()
        directory.outages.mark_silent(10, 10 + EXPIRY_S / 2)
        assert (
            directory.mark_removed('t01', 10 + EXPIRY_S / 2, REMOVED_AT)
            is not None
        )

    def test_entry_may_expire_while_a_cut_watch_was_silent_for_long(self):
        directory = make_directory()
        directory.outages.mark_silent(10, 10 + EXPIRY_S)
        assert directory.mark_removed('t01', 10 + EXPIRY_S, REMOVED_AT) is None
        assert 't01' in directory.missing

    def test_cut_watch_proves_nothing_if_the_interval_is_unknown(self):
        directory = TargetDirectory()
        directory.outages.mark_reachable(0)
        directory.apply_record(make_record('t01'))
        directory.outages.mark_silent(10, 20)
        assert directory.mark_removed('t01', 20, REMOVED_AT) is not None


class TestGrace:
    def test_it_ends_at_one_time_for_all_entries(self):
        directory = make_directory()
        lose_store(directory, 10, 15)
        late_s = 15 + REREGISTRATION_GRACE_S * 0.9
        assert directory.mark_removed('t01', late_s, REMOVED_AT) is None
        end_s = 15 + REREGISTRATION_GRACE_S
        assert not directory.expire_missing(end_s)
        assert directory.expire_missing(end_s + 0.01)

    def test_further_interruptions_do_not_prolong_it(self):
        """Guards against a removed target that is used without end."""
        directory = make_directory()
        lose_store(directory, 10, 15)
        directory.mark_removed('t01', 15, REMOVED_AT)
        for began_s in range(16, 30, 2):
            lose_store(directory, began_s, began_s + 1)
        assert directory.expire_missing(30)

    def test_further_outages_do_not_prolong_it(self):
        directory = make_directory()
        lose_store(directory, 10, 15)
        directory.mark_removed('t01', 15, REMOVED_AT)
        lose_store(directory, 16, 21)
        assert directory.mark_removed('t01', 21, REMOVED_AT) is None
        assert not directory.expire_missing(21.9)
        assert directory.expire_missing(22.1)

    def test_time_without_the_store_is_not_counted(self):
        """Guards against a target that had no time to register again."""
        directory = make_directory()
        lose_store(directory, 10, 15)
        directory.mark_removed('t01', 15, REMOVED_AT)
        directory.outages.mark_unreachable(16)
        assert not directory.expire_missing(100)

    def test_peer_removes_an_entry_during_an_outage(self):
        directory = make_directory()
        directory.outages.mark_unreachable(10)
        assert directory.mark_removed('t01', 10 + EXPIRY_S, REMOVED_AT) is None
        directory.outages.mark_reachable(30)
        assert not directory.expire_missing(30 + REREGISTRATION_GRACE_S)
        assert directory.expire_missing(30.1 + REREGISTRATION_GRACE_S)

    def test_list_of_a_peer_does_not_end_it(self):
        """Guards against DRAIN: a removed target that is used for good.

        Another instance lists a target whose entry it misses itself, with the
        record of before; that it repeats it is no registration.
        """
        directory = make_directory()
        lose_store(directory, 10, 15)
        directory.mark_removed('t01', 15, REMOVED_AT)
        directory.apply_record(make_record('t01'))
        assert directory.expire_missing(15.1 + REREGISTRATION_GRACE_S)

    def test_removal_that_is_older_than_the_record_is_ignored(self):
        """Guards against a target that registered again and departs.

        The instance has the later record from another one, and reads the
        removal when it reads the store again.
        """
        directory = make_directory()
        directory.apply_record(make_record('t01', revision=REMOVED_AT + 1))
        assert directory.mark_removed('t01', 100, REMOVED_AT) is None
        assert not directory.missing
        assert directory.list_serving('model')

    def test_it_begins_when_the_store_was_restored(self):
        directory = make_directory()
        directory.outages.mark_restored(10)
        assert directory.mark_removed('t01', 10, REMOVED_AT) is None


class TestStart:
    def test_entry_may_have_expired_before_the_start(self):
        """Guards against RECOVER: a start that empties the whole fleet.

        The instance takes targets from a peer, and does not find those in the
        store that register again after an outage which it has not seen.
        """
        directory = TargetDirectory(outages=StoreOutages(INTERVAL_S))
        directory.apply_record(make_record('t01'))
        directory.outages.mark_reachable(10)
        assert directory.mark_removed('t01', 10, REMOVED_AT) is None
        assert directory.list_serving('model')
        assert directory.expire_missing(10.1 + REREGISTRATION_GRACE_S)

    def test_peer_removes_an_entry_before_the_first_answer(self):
        directory = TargetDirectory(outages=StoreOutages(INTERVAL_S))
        directory.apply_record(make_record('t01'))
        assert directory.mark_removed('t01', 10, REMOVED_AT) is None
        assert not directory.expire_missing(100)
