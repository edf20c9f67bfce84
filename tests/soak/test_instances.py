"""Tests of the processes that a soak starts."""

import asyncio
import os

from tests.soak.test_soak import make_plan
from trefoilhinge.soak.event_kinds import FaultKind
from trefoilhinge.soak.fleets import NETWORKS, SUBNETS, make_fleet, make_network
from trefoilhinge.soak.plan_execution import execute_event

WAITING_PROGRAM = ('-c', 'import time; time.sleep(60)')


def is_alive(process_id):
    """Return whether a process exists."""
    try:
        os.kill(process_id, 0)
    except ProcessLookupError:
        return False
    return True


class TestInstance:
    def test_overlapping_kills_leave_no_process_behind(
        self, tmp_path, monkeypatch
    ):
        """Guards against a process that outlives the soak.

        Two overlapping kills of one instance both started it again; only the
        second process was known.
        """
        fleet = make_fleet(tmp_path, WAITING_PROGRAM, 1)
        (instance,) = fleet.instances
        started = []
        start = type(instance).start

        def start_and_note(self):
            start(self)
            started.append(self._process.pid)

        monkeypatch.setattr(type(instance), 'start', start_and_note)
        events = make_plan(FaultKind.kill, count=2, duration_s=0.2)

        async def run():
            instance.start()
            await asyncio.gather(
                *(execute_event(fleet, event) for event in events)
            )

        asyncio.run(run())
        fleet.close()
        assert len(started) == 3
        assert not any(map(is_alive, started))


class TestNetworks:
    def test_processes_share_no_address(self):
        """Guards against two test runs at a time that bind one address.

        Networks were numbered by seed, which both runs have in common.
        """
        networks = {make_network(1 + one) for one in range(NETWORKS * SUBNETS)}
        assert len(networks) == NETWORKS * SUBNETS
