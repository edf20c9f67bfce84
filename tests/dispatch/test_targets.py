"""Tests of the target directory."""

from tests.dispatch.samples import make_record
from trefoilhinge.dispatch.outages import REREGISTRATION_GRACE_S
from trefoilhinge.dispatch.targets import TargetDirectory

REMOVED_AT = 5  # revision


def list_names(directory):
    """Return the names of the targets that may receive calls."""
    return [record.name for record in directory.list_serving('model')]


class TestTargetDirectory:
    def test_ready_target_serves(self):
        directory = TargetDirectory()
        directory.apply_record(make_record('t01'))
        assert list_names(directory) == ['t01']

    def test_leaving_target_is_reported_once(self):
        directory = TargetDirectory()
        directory.apply_record(make_record('t01'))
        leaving = make_record('t01', is_leaving=True, revision=2)
        assert directory.apply_record(leaving)
        assert not directory.apply_record(leaving)
        assert not list_names(directory)

    def test_later_record_of_a_departed_incarnation_is_ignored(self):
        directory = TargetDirectory()
        directory.apply_record(make_record('t01', revision=1))
        directory.apply_record(make_record('t01', is_leaving=True, revision=5))
        directory.apply_record(make_record('t01', revision=6))
        assert not list_names(directory)

    def test_new_incarnation_serves_again(self):
        directory = TargetDirectory()
        directory.apply_record(make_record('t01', is_leaving=True))
        directory.apply_record(make_record('t01', started_ms=2000, revision=2))
        assert list_names(directory) == ['t01']

    def test_late_record_of_an_earlier_incarnation_is_ignored(self):
        directory = TargetDirectory()
        directory.apply_record(make_record('t01', started_ms=2000, revision=2))
        directory.apply_record(make_record('t01', started_ms=1000, revision=3))
        assert directory.records['t01'].started_ms == 2000

    def test_removed_target_departs_at_once(self):
        directory = TargetDirectory()
        directory.outages.mark_reachable(0)
        directory.apply_record(make_record('t01'))
        assert directory.mark_removed('t01', 10, REMOVED_AT) is not None
        assert not list_names(directory)

    def test_entry_that_expired_with_the_store_may_return(self):
        directory = TargetDirectory()
        directory.apply_record(make_record('t01'))
        directory.outages.mark_unreachable(10)
        directory.outages.mark_reachable(15)
        assert directory.mark_removed('t01', 15, REMOVED_AT) is None
        assert list_names(directory) == ['t01']
        assert not directory.expire_missing(15 + REREGISTRATION_GRACE_S / 2)
        gone = directory.expire_missing(15 + REREGISTRATION_GRACE_S + 0.1)
        assert [record.name for record in gone] == ['t01']
        assert not list_names(directory)

    def test_entry_that_returned_stays(self):
        directory = TargetDirectory()
        directory.apply_record(make_record('t01'))
        directory.outages.mark_unreachable(10)
        directory.outages.mark_reachable(15)
        directory.mark_removed('t01', 15, REMOVED_AT)
        directory.apply_record(make_record('t01', revision=9))
        assert not directory.expire_missing(20)
        assert list_names(directory) == ['t01']

    def test_entry_is_kept_while_the_store_is_unreachable(self):
        directory = TargetDirectory()
        directory.apply_record(make_record('t01'))
        directory.outages.mark_unreachable(10)
        assert not directory.expire_missing(100)

    def test_reused_address_belongs_to_the_later_incarnation(self):
        directory = TargetDirectory()
        directory.apply_record(make_record('t01', address='10.0.0.9:80'))
        directory.apply_record(
            make_record('t02', address='10.0.0.9:80', started_ms=5000)
        )
        assert list_names(directory) == ['t02']

    def test_departure_reported_by_a_peer_needs_no_store(self):
        directory = TargetDirectory()
        record = make_record('t01')
        directory.apply_record(record)
        directory.outages.mark_unreachable(10)
        assert directory.mark_departed(record)
        assert not list_names(directory)


class TestSharedAddresses:
    """Guards against an entry that hides a living target."""

    ADDRESS = '10.0.0.9:80'

    def make_directory(self):
        """Return a living target and a foreign entry with a later start."""
        directory = TargetDirectory()
        directory.apply_record(make_record('t02'))
        directory.apply_record(make_record('t01', address=self.ADDRESS))
        self.foreign = make_record(
            'x01',
            address=self.ADDRESS,
            service='desk',
            started_ms=5000,
            revision=2,
        )
        directory.apply_record(self.foreign)
        return directory

    def test_entry_that_is_written_again_is_kept(self):
        directory = self.make_directory()
        assert list_names(directory) == ['t02']
        directory.apply_record(
            make_record('t01', address=self.ADDRESS, revision=3)
        )
        assert list_names(directory) == ['t01', 't02']

    def test_target_that_answers_is_kept(self):
        directory = self.make_directory()
        directory.claims.record_answer(directory.records['t01'])
        assert list_names(directory) == ['t01', 't02']

    def test_refuted_entry_hides_nothing(self):
        directory = self.make_directory()
        assert directory.refute(self.foreign, 0)
        assert list_names(directory) == ['t01', 't02']
        assert not directory.list_serving('desk')

    def test_refuted_entry_is_tried_ever_less(self):
        """A stale entry costs calls a refusal each time that it is tried."""
        directory = self.make_directory()
        tried_s = []
        for now_s in range(100):
            directory.expire_claims(now_s)
            if directory.list_serving('desk'):
                tried_s.append(now_s)
                directory.refute(self.foreign, now_s)
        assert tried_s == [0, 2, 6, 14, 30, 62]

    def test_target_whose_every_entry_is_refuted_is_used(self):
        """A target that is the likeliest one at its address is kept."""
        directory = self.make_directory()
        directory.refute(self.foreign, 0)
        directory.expire_claims(2)
        directory.refute(self.foreign, 2)
        directory.refute(directory.records['t01'], 2)
        assert list_names(directory) == ['t01', 't02']

    def test_only_entry_of_an_address_is_not_refuted(self):
        directory = TargetDirectory()
        record = make_record('t01')
        directory.apply_record(record)
        assert not directory.refute(record, 0)

    def test_outdated_entry_is_better_than_none(self):
        directory = self.make_directory()
        directory.mark_departed(directory.records['t02'])
        assert list_names(directory) == ['t01']
