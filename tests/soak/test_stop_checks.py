"""Tests of what a soak checks around a planned stop."""

import pytest

from trefoilhinge.soak.observations import ObservationLog
from trefoilhinge.soak.records import CallKind, ObservedCall, ObservedRun

# The order to stop comes at 10 s, so that the last sixth begins at 16.67 s.
CUT = {
    'request_id': 'one',
    'kind': CallKind.stream,
    'instance': 'instance-0',
    'sent_s': 12.0,
    'whole_s': 12.0,
    'deadline_s': 14.0,
    'ended_s': 17.5,
    'is_stopping': True,
    'stop_ordered_s': 10.0,
    'may_outlast_stop': True,
}
CUT_STREAM = {**CUT, 'status': 200}


def is_found(fields, *, has_run=False, finished_s=None):
    """Return whether a call counts as cut at a stop."""
    log = ObservationLog(calls=[ObservedCall(**fields)])
    if has_run:
        log.runs.append(ObservedRun('one', 'model', 12.5, 'a'))
    if finished_s is not None:
        log.finished_s['one'] = finished_s
    return 'CUT_AT_STOP' in {one.invariant for one in log.find_violations()}


class TestCallsCutAtStops:
    """Guards against a check that misses calls cut at a stop, or invents some.

    Calls that are not marked as lasting longer than a stop are never excused.
    """

    @pytest.mark.parametrize('has_run', [True, False])
    def test_call_without_an_answer(self, has_run):
        assert is_found(CUT, has_run=has_run)

    def test_complete_refusal(self):
        assert not is_found({**CUT, 'status': 503, 'is_complete': True})

    def test_request_that_crosses_the_close(self):
        crossing = {**CUT, 'whole_s': 17.4}
        assert not is_found(crossing)
        assert is_found(crossing, has_run=True)
        assert is_found({**CUT, 'whole_s': 17.2})

    def test_request_that_is_not_whole(self):
        assert not is_found({**CUT, 'whole_s': None})

    def test_request_after_an_announced_close(self):
        following = {**CUT, 'follows_close': True}
        assert not is_found(following)
        assert is_found(following, has_run=True)

    def test_stream_that_its_target_still_produced(self):
        assert not is_found(CUT_STREAM, has_run=True)
        assert not is_found(CUT_STREAM, has_run=True, finished_s=17.0)

    @pytest.mark.parametrize(
        'change',
        [
            {'whole_s': 13.1},
            {'ended_s': 16.6},
            {'kind': CallKind.non_idempotent},
            {'may_outlast_stop': False},
        ],
    )
    def test_stream_that_had_to_be_finished(self, change):
        assert is_found({**CUT_STREAM, **change}, has_run=True)

    def test_stream_that_its_target_had_finished(self):
        assert is_found(CUT_STREAM, has_run=True, finished_s=16.6)
