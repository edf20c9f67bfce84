"""Tests of an instance whose peers read the store for it, or for which it does."""

import asyncio
import json
import time

import pytest

from tests.gateway.documents import make_document
from tests.gateway.store_reader_peers import run_large_fleet, wait_for_role
from tests.platform.test_decoding import SETTINGS
from trefoilhinge.dispatch.store_read_codec import TargetRemoved
from trefoilhinge.dispatch.store_readers import Role
from trefoilhinge.gateway.settings_files import (
    STORE_READERS_VARIABLE,
    load_settings,
)
from trefoilhinge.gateway.store_reads import PAUSE_S, POLL_INTERVAL_S
from trefoilhinge.platform.settings import SETTINGS_PATH_VARIABLE

LIMIT_S = 3.0


def list_serving(fleet):
    """Return the names of the targets that an instance uses."""
    directory = fleet.state.directory
    return [one.name for one in directory.list_serving('model')]


class TestFollower:
    def test_told_removal_is_in_force_without_a_read(self):
        """Guards against the price of reads, and a call to a removed target."""

        async def run():
            async with run_large_fleet() as (fleet, peers):
                await wait_for_role(fleet, Role.follower)
                calls = len(fleet.store.requested_paths)
                await asyncio.sleep(2)
                before = peers.revision
                fleet.store.remove('servers/m1')
                change = TargetRemoved('m1', before + 1)
                peers.tell(before, before + 1, change)
                await fleet.wait_for(lambda: list_serving(fleet) == ['m2'], 0.5)
                assert 'm1' not in fleet.state.directory.records
                assert len(fleet.store.requested_paths) <= calls + 1

        asyncio.run(run())

    def test_change_of_which_no_one_tells_is_in_force_in_time(self):
        """Guards against DRAIN: followers of readers that all went away."""

        async def run():
            async with run_large_fleet() as (fleet, peers):
                await wait_for_role(fleet, Role.follower)
                peers.tells = False
                fleet.store.remove('servers/m1')
                await fleet.wait_for(
                    lambda: list_serving(fleet) == ['m2'], LIMIT_S
                )

        asyncio.run(run())

    def test_gap_is_read_from_the_store(self):
        """Guards against a missed change under later ones that arrive."""

        async def run():
            async with run_large_fleet() as (fleet, peers):
                await wait_for_role(fleet, Role.follower)
                before = peers.revision
                fleet.store.remove('servers/m1')
                fleet.store.put('other', b'x')
                peers.tell(before + 1, before + 2)
                await fleet.wait_for(
                    lambda: list_serving(fleet) == ['m2'], LIMIT_S
                )
                counts = fleet.state.metrics.counts
                assert counts['store_reads', (('reason', 'gap'),)] == 1

        asyncio.run(run())

    def test_document_that_no_peer_serves_is_read(self):
        """Guards against a revoked key that stays in force."""

        async def run():
            async with run_large_fleet() as (fleet, peers):
                await wait_for_role(fleet, Role.follower)
                before = peers.revision
                fleet.store.put('op/config', make_document(version=2))
                peers.version = 2
                peers.tell(before, before + 1)
                await fleet.wait_for(
                    lambda: fleet.state.document.version == 2, LIMIT_S - 1.2
                )

        asyncio.run(run())

    def test_read_of_a_peer_does_not_show_that_the_store_answers(self):
        """Guards against RECOVER: an outage that a peer's read seems to end.

        Entries may have expired in it, and would count as removed.
        """

        async def run():
            async with run_large_fleet() as (fleet, peers):
                await wait_for_role(fleet, Role.follower)
                outages = fleet.state.directory.outages
                fleet.store.is_down = True
                await asyncio.sleep(1)
                assert outages.unreachable_since_s is None
                peers.tell(peers.revision + 1, peers.revision + 2)
                await fleet.wait_for(
                    lambda: outages.unreachable_since_s is not None
                )
                since_s = outages.unreachable_since_s
                change = TargetRemoved('m1', peers.revision + 1)
                peers.tell(peers.revision, peers.revision + 1, change)
                await fleet.wait_for(lambda: list_serving(fleet) == ['m2'], 0.5)
                await asyncio.sleep(1)
                assert outages.unreachable_since_s == since_s

        asyncio.run(run())

    def test_revision_that_the_store_never_had_is_corrected(self):
        """Guards against one wrong message that hides all later changes."""

        async def run():
            async with run_large_fleet() as (fleet, peers):
                await wait_for_role(fleet, Role.follower)
                peers.tells = False
                peers.tell(peers.revision, peers.revision + 1000)
                await asyncio.sleep(0.1)
                fleet.store.remove('servers/m1')
                await fleet.wait_for(lambda: list_serving(fleet) == ['m2'], 6)

        asyncio.run(run())

    def test_instance_that_was_frozen_reads_at_once(self):
        """Guards against old messages that seem new after a pause."""

        async def run():
            async with run_large_fleet() as (fleet, peers):
                await wait_for_role(fleet, Role.follower)
                peers.tells = False
                peers.tell(peers.revision, peers.revision)
                fleet.store.remove('servers/m1')
                time.sleep(PAUSE_S + 2 * POLL_INTERVAL_S)
                await fleet.wait_for(lambda: list_serving(fleet) == ['m2'], 1.2)

        asyncio.run(run())

    def test_restored_store_is_listed(self):
        """Guards against revisions of two eras that seem to be one history."""

        async def run():
            async with run_large_fleet() as (fleet, peers):
                await wait_for_role(fleet, Role.follower)
                fleet.store.restore(fleet.store.revision)
                fleet.store.remove('servers/m1')
                fleet.store.put_target('m3', fleet.targets['m1'].address)
                era = 2 * 10**15
                peers.tells = False
                revision = era + fleet.store.revision
                peers.tell(revision, revision)
                await fleet.wait_for(
                    lambda: 'm3' in list_serving(fleet), LIMIT_S
                )
                assert peers.revision >= era

        asyncio.run(run())


class TestReader:
    def test_reader_tells_the_change_that_it_read(self):
        """Guards against followers that all read the store themselves."""

        async def run():
            async with run_large_fleet(Role.reader) as (fleet, peers):
                await wait_for_role(fleet, Role.reader)
                fleet.store.remove('servers/m1')
                await fleet.wait_for(
                    lambda: any(one.changes for one in peers.list_reads()), 2
                )
                changed = next(one for one in peers.list_reads() if one.changes)
                assert changed.changes[0].name == 'm1'
                assert changed.before < changed.changes[0].revision

        asyncio.run(run())

    def test_read_in_a_grace_period_is_not_told(self):
        """Guards against RECOVER: expired entries told as removed ones."""

        async def run():
            async with run_large_fleet(Role.reader) as (fleet, peers):
                await wait_for_role(fleet, Role.reader)
                outages = fleet.state.directory.outages
                fleet.store.is_down = True
                await fleet.wait_for(
                    lambda: outages.unreachable_since_s is not None
                )
                await asyncio.sleep(1)
                fleet.store.is_down = False
                await fleet.wait_for(
                    lambda: outages.unreachable_since_s is None
                )
                await asyncio.sleep(0.2)
                fleet.store.remove('servers/m1')
                await fleet.wait_for(lambda: fleet.state.directory.missing)
                await asyncio.sleep(1)
                assert not any(one.changes for one in peers.list_reads())

        asyncio.run(run())


class TestSwitch:
    @pytest.mark.parametrize(('text', 'expected'), [('', True), ('off', False)])
    def test_environment_disables_readers(
        self, monkeypatch, tmp_path, text, expected
    ):
        """Guards against a comparison of two builds that are the same."""
        path = tmp_path / 'settings.json'
        path.write_text(json.dumps(SETTINGS))
        monkeypatch.setenv(SETTINGS_PATH_VARIABLE, str(path))
        monkeypatch.setenv(STORE_READERS_VARIABLE, text)
        assert load_settings().allows_store_readers is expected

    def test_nothing_changes_with_the_switch_off(self):
        """Guards against deployments that did not ask for it."""

        async def run():
            async with run_large_fleet(
                Role.reader, allows_store_readers=False
            ) as (fleet, peers):
                await wait_for_role(fleet, Role.independent)
                fleet.store.remove('servers/m1')
                await fleet.wait_for(lambda: list_serving(fleet) == ['m2'], 2)
                await asyncio.sleep(1)
                assert peers.received
                assert not peers.list_reads()

        asyncio.run(run())
