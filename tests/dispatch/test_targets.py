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
