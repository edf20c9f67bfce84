"""Tests of the soak: the daemon passes, its broken variants do not."""

import pytest

from trefoilhinge.soak.commands import SoakRequest, run_soak
from trefoilhinge.soak.plans import FaultKind, MaintenanceKind, PlannedEvent

# Seeds that once failed, with what was seen.
REGRESSIONS = ()


def make_plan(kind, count=4, duration_s=2.0, interval_s=1.5, first_s=1.0):
    """Return a plan in which one thing happens to several in turn."""
    return tuple(
        PlannedEvent(
            first_s + interval_s * number,
            duration_s,
            kind,
            (number + 0.5) / count,
        )
        for number in range(count)
    )


def soak(folder, seed, plan, *program, seconds=9):
    """Run a soak of a plan; return the promises that it broke."""
    request = SoakRequest(seed, seconds, folder, plan=plan)
    if program:
        request = SoakRequest(
            seed, seconds, folder, ('-m', 'tests.soak.variants', *program), plan
        )
    return {one.invariant for one in run_soak(request).violations}


class TestDaemon:
    @pytest.mark.parametrize('seed', [1, 2, *REGRESSIONS])
    def test_keeps_its_promises(self, tmp_path, seed):
        outcome = run_soak(SoakRequest(seed, 20, tmp_path))
        assert outcome.violations == []
        assert outcome.calls['whole'] > 100


class TestBrokenVariants:
    """Each would be found by the soak."""

    def test_call_that_is_sent_twice(self, tmp_path):
        plan = make_plan(FaultKind.lose_answers, count=7, interval_s=1)
        assert 'TWICE' in soak(tmp_path, 101, plan, 'send_twice')

    def test_refusal_that_is_false(self, tmp_path):
        plan = make_plan(FaultKind.lose_answers, count=7, interval_s=1)
        broken = soak(tmp_path, 102, plan, 'refuse_falsely')
        assert 'FALSE_REFUSAL' in broken

    def test_torn_stream_that_is_ended_as_whole(self, tmp_path):
        plan = make_plan(FaultKind.tear_streams, count=7, interval_s=1)
        assert 'WRONG_ANSWER' in soak(tmp_path, 103, plan, 'join_torn')

    def test_memory_that_is_kept(self, tmp_path):
        assert 'MEMORY' in soak(tmp_path, 104, (), 'keep_memory')

    def test_change_that_is_ignored(self, tmp_path):
        plan = make_plan(MaintenanceKind.revoke_key, count=1)
        assert 'REVOKED' in soak(tmp_path, 105, plan, 'ignore_changes')

    def test_stop_that_cuts_calls(self, tmp_path):
        plan = make_plan(MaintenanceKind.stop, count=4)
        assert 'CUT_AT_STOP' in soak(tmp_path, 106, plan, 'stop_at_once')
