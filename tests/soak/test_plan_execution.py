"""Tests of the events of a soak that overlap."""

import asyncio

from attrs import evolve

from tests.soak.test_soak import make_plan
from trefoilhinge.soak.crashes import CrashSource
from trefoilhinge.soak.event_kinds import CrashKind, NeedKind
from trefoilhinge.soak.fleets import make_fleet
from trefoilhinge.soak.plan_execution import execute_event
from trefoilhinge.soak.records import CrashingTrait


class TestLimits:
    def test_limit_of_the_next_incarnation_lasts(self, tmp_path, monkeypatch):
        """Guards against a limit that ends before its time.

        A limit that was named before the target crashed ended one that it
        named after its start.
        """
        fleet = make_fleet(tmp_path)
        target = fleet.targets[0]
        source = CrashSource(CrashKind.part, CrashingTrait('bad', 5), 'key-0')
        (event,) = make_plan(NeedKind.name_limit, count=1, duration_s=0.2)
        selector = 0.5 / len(fleet.targets)
        monkeypatch.setattr('trefoilhinge.soak.fleets.RESTART_S', 0)

        async def run():
            first = asyncio.ensure_future(
                execute_event(fleet, evolve(event, selector=selector))
            )
            await asyncio.sleep(0.1)
            fleet.crash_target(target, source)
            second = asyncio.ensure_future(
                execute_event(fleet, evolve(event, selector=selector))
            )
            await first
            assert target.requests_per_s is not None
            await second
            assert target.requests_per_s is None
            fleet.close()

        asyncio.run(run())
        ended, lasted = fleet.observations.limits
        assert ended.end_s == target.crashed_s
        assert lasted.end_s - lasted.begin_s >= 0.2
