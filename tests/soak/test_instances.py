"""Tests of the processes that a soak starts."""

import asyncio
import os
import pathlib
import signal
import subprocess
import sys
import time

import pytest

from tests.soak.test_soak import make_plan
from trefoilhinge.soak.event_kinds import FaultKind
from trefoilhinge.soak.fleets import (
    INSTANCES,
    NETWORKS,
    SUBNETS,
    make_fleet,
    make_network,
)
from trefoilhinge.soak.plan_execution import execute_event

WAITING_PROGRAM = ('-c', 'import time; time.sleep(60)')
START_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.1


def is_alive(process_id):
    """Return whether a process exists."""
    try:
        os.kill(process_id, 0)
    except ProcessLookupError:
        return False
    return True


def list_children(process_id):
    """Return the identifiers of the processes that a process has started."""
    path = pathlib.Path(f'/proc/{process_id}/task/{process_id}/children')
    return [int(word) for word in path.read_text().split()]


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

    def test_fleet_that_is_closed_starts_no_process(self, tmp_path):
        """Guards against a process that an event starts as the soak ends."""
        fleet = make_fleet(tmp_path, WAITING_PROGRAM, 1)
        (instance,) = fleet.instances
        instance.start()
        fleet.close()
        instance.start()
        assert not instance.is_running


class TestEndSignals:
    @pytest.mark.parametrize('number', [signal.SIGTERM, signal.SIGHUP])
    def test_signal_ends_the_instances_of_a_soak(self, tmp_path, number):
        """Guards against instances that outlive a soak ended from outside."""
        soak = subprocess.Popen(
            [
                sys.executable,
                '-m',
                'trefoilhinge',
                'soak',
                f'--folder={tmp_path}',
            ]
        )
        latest_s = time.monotonic() + START_TIMEOUT_S
        instances = []
        while len(instances) < INSTANCES and time.monotonic() < latest_s:
            time.sleep(POLL_INTERVAL_S)
            instances = list_children(soak.pid)
        soak.send_signal(number)
        assert soak.wait(START_TIMEOUT_S) == -number
        left = [one for one in instances if is_alive(one)]
        for process_id in left:
            os.kill(process_id, signal.SIGKILL)
        assert len(instances) == INSTANCES
        assert left == []


class TestNetworks:
    def test_processes_share_no_address(self):
        """Guards against two test runs at a time that bind one address.

        Networks were numbered by seed, which both runs have in common.
        """
        networks = {make_network(1 + one) for one in range(NETWORKS * SUBNETS)}
        assert len(networks) == NETWORKS * SUBNETS
