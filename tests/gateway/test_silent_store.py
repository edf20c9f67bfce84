"""Tests of an instance whose store is silent for a moment."""

import asyncio
import contextlib

import pytest
from attrs import evolve

from tests.gateway.documents import make_document
from tests.gateway.fleets import run_fleet
from tests.gateway.targets import stream
from trefoilhinge.dispatch.outages import REREGISTRATION_GRACE_S

STABLE_S = 3.0
INTERVAL_S = 1.2
OUTAGE_S = 0.2
LONG_OUTAGE_S = 2.9  # entries may expire in it
MARGIN_S = 0.1  # for the clocks of a test
# Around the begin of a watch, and within its wait.
DELAYS_S = (0.1, 0.55, 0.7, 1.2)


def run_silent_fleet():
    """Return a fleet with the bounds of a deployment."""
    return run_fleet(
        bounds={'stable_s': STABLE_S},
        settings_fields={'registration_interval_s': INTERVAL_S},
        m1=stream(),
        m2=stream(),
    )


async def be_silent(store, seconds):
    """Let the store lose all answers for a time; return the end of it."""
    store.begin_silence()
    await asyncio.sleep(seconds)
    store.end_silence()
    return asyncio.get_running_loop().time()


async def wait_until(fleet, condition, at_s):
    """Wait until a condition holds, at most until a time."""
    left_s = at_s - asyncio.get_running_loop().time()
    with contextlib.suppress(TimeoutError):
        await fleet.wait_for(condition, left_s)
    return condition()


async def settle(fleet, delay_s):
    """Wait for a time after a change was read, when a watch begins."""
    before = fleet.state.directory.revision
    fleet.store.put('other', b'x')
    await fleet.wait_for(lambda: fleet.state.directory.revision > before)
    await asyncio.sleep(delay_s)


class TestShortSilence:
    @pytest.mark.parametrize('delay_s', DELAYS_S)
    def test_document_is_in_force_when_machines_are_in_touch(self, delay_s):
        """Guards against CONFIG: a watch that lost its answer hides changes.

        It was given up after 3.5 s, though the store was silent for a moment.
        """

        async def run():
            async with run_silent_fleet() as fleet:
                await settle(fleet, delay_s)
                returned_s = await be_silent(fleet.store, OUTAGE_S)
                fleet.store.put('op/config', make_document(2))
                assert await wait_until(
                    fleet,
                    lambda: fleet.state.document.version == 2,
                    returned_s + STABLE_S - MARGIN_S,
                )

        asyncio.run(run())

    @pytest.mark.parametrize('delay_s', DELAYS_S)
    def test_removed_target_is_not_used_when_machines_are_in_touch(
        self, delay_s
    ):
        """Guards against DRAIN: the own silence counts as an outage.

        An entry that was removed before it was used for the grace period, as
        if it might have expired.
        """

        async def run():
            async with run_silent_fleet() as fleet:
                await settle(fleet, delay_s)
                fleet.store.begin_silence()
                fleet.store.remove('servers/m1')
                returned_s = await be_silent(fleet.store, OUTAGE_S)
                directory = fleet.state.directory
                assert await wait_until(
                    fleet,
                    lambda: len(directory.list_serving('model')) == 1,
                    returned_s + STABLE_S - MARGIN_S,
                )

        asyncio.run(run())

    def test_second_silence_hides_no_change_for_longer(self):
        """Guards against a repeated read that is lost as well."""

        async def run():
            async with run_silent_fleet() as fleet:
                await settle(fleet, 0.5)
                begin_s = await be_silent(fleet.store, OUTAGE_S)
                fleet.store.put('op/config', make_document(2))
                overdue = 'store_reads_overdue', ()
                counts = fleet.state.metrics.counts
                await fleet.wait_for(lambda: counts.get(overdue))
                returned_s = await be_silent(fleet.store, OUTAGE_S)
                assert returned_s - begin_s > 1
                assert await wait_until(
                    fleet,
                    lambda: fleet.state.document.version == 2,
                    returned_s + STABLE_S - MARGIN_S,
                )

        asyncio.run(run())

    def test_lost_answer_does_not_make_the_store_away(self, capfd):
        """Guards against an outage that is declared for one lost answer."""

        async def run():
            async with run_silent_fleet() as fleet:
                await settle(fleet, 0.7)
                await be_silent(fleet.store, OUTAGE_S)
                fleet.store.put('op/config', make_document(2))
                await fleet.wait_for(lambda: fleet.state.document.version == 2)

        asyncio.run(run())
        events = capfd.readouterr().out
        assert 'event=store_lost' not in events
        assert 'event=store_read_overdue' in events
        assert 'event=store_answered_again' in events


class TestLongSilence:
    def test_removed_target_is_not_used_when_machines_are_in_touch(self):
        """Guards against DRAIN: a grace period that begins and ends too late."""

        async def run():
            async with run_silent_fleet() as fleet:
                await settle(fleet, 0.5)
                fleet.store.begin_silence()
                fleet.store.remove('servers/m1')
                returned_s = await be_silent(fleet.store, LONG_OUTAGE_S)
                directory = fleet.state.directory
                assert await wait_until(
                    fleet,
                    lambda: len(directory.list_serving('model')) == 1,
                    returned_s + STABLE_S - MARGIN_S,
                )

        asyncio.run(run())

    @pytest.mark.parametrize('delay_s', DELAYS_S)
    def test_entry_that_expired_is_used_until_it_is_registered_again(
        self, delay_s
    ):
        """Guards against RECOVER: a living target that is taken for removed."""

        async def run():
            async with run_silent_fleet() as fleet:
                await settle(fleet, delay_s)
                fleet.store.begin_silence()
                fleet.store.remove('servers/m1')
                directory = fleet.state.directory
                returned_s = await be_silent(fleet.store, LONG_OUTAGE_S)
                end_s = returned_s + REREGISTRATION_GRACE_S - MARGIN_S
                assert not await wait_until(
                    fleet,
                    lambda: len(directory.list_serving('model')) == 1,
                    end_s,
                )
                fleet.store.put_target('m1', fleet.targets['m1'].address, seq=9)
                await asyncio.sleep(2 * REREGISTRATION_GRACE_S)
                assert len(directory.list_serving('model')) == 2

        asyncio.run(run())


class TestReload:
    def test_waits_follow_the_settings_in_force(self):
        """Guards against bounds that an instance has only at its start."""

        async def run():
            async with run_silent_fleet() as fleet:
                client = fleet.gateway._store_watcher._client
                before_s = client.timing.longest_wait_s
                bounds = evolve(fleet.settings.bounds, stable_s=2.5)
                fleet.state.settings = evolve(fleet.settings, bounds=bounds)
                assert client.timing.longest_wait_s < before_s

        asyncio.run(run())
