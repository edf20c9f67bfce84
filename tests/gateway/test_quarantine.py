"""Tests of calls that are kept from targets, by one instance or several."""

import asyncio
import json

import pytest

from tests.gateway.crashing_targets import CrashingFleet
from tests.gateway.documents import HOST
from tests.gateway.fleets import make_call, run_fleet, run_peers
from tests.gateway.targets import never_answer, reset, stream
from trefoilhinge.client.request_timeline import print_timeline
from trefoilhinge.dispatch.crash_evidence import CrashReport
from trefoilhinge.dispatch.messages import TargetCrashed, TraitQuarantined
from trefoilhinge.dispatch.quarantine import MAXIMUM_PROBES
from trefoilhinge.gateway.http_client import fetch
from trefoilhinge.gateway.quarantine import Quarantine
from trefoilhinge.gateway.run_tracker import RunTracker

TRAIT = 'part/bad'
PREFIX = 'aa:40,bad:900,ee:300'


def quarantine(fleet, trait=TRAIT, next_probe_s=float('inf'), probes=0):
    """Quarantine a trait at an instance."""
    state = fleet.state
    now_s = state.get_now_s()
    state.quarantine.record(trait, 3, now_s, now_s, probes)
    state.quarantine.get(trait).next_probe_s = next_probe_s
    fleet.gateway._peers.quarantine.revision += 1


def get_error(answer):
    return json.loads(answer.content)['error']


async def call_bad(fleet, number):
    """Make a call with a bad part; those of different numbers differ."""
    return await fleet.send_raw(
        make_call(
            body=b'%d' % number,
            X_Prompt_Prefix='bad:900,ee:300',
            X_Request_Id=f'r-{number}',
        )
    )


class TestRefusal:
    def test_call_is_refused_at_once(self):
        async def run():
            async with run_fleet(m1=stream()) as fleet:
                quarantine(fleet)
                answer = await fleet.call(X_Prompt_Prefix=PREFIX)
                assert answer.status == 503
                error = get_error(answer)
                assert error['code'] == 'request_quarantined'
                assert error['verdict'] == 'not_run'
                assert TRAIT in error['detail']
                assert float(answer.headers['retry-after']) > 0
                assert not fleet.targets['m1'].requests

        asyncio.run(run())

    @pytest.mark.parametrize('prefix', ['', 'aa:40,ee:300', 'aa:40,bad:900'])
    def test_other_calls_are_served(self, prefix):
        async def run():
            async with run_fleet(m1=stream()) as fleet:
                quarantine(fleet)
                answer = await fleet.call(X_Prompt_Prefix=prefix)
                assert answer.status == 200

        asyncio.run(run())

    def test_call_that_waits_is_refused_before_it_is_sent(self, monkeypatch):
        async def wait_and_learn(tracker):
            now_s = tracker._state.get_now_s()
            tracker._state.quarantine.record(TRAIT, 3, now_s, now_s)

        monkeypatch.setattr(RunTracker, 'wait_for_send_time', wait_and_learn)

        async def run():
            async with run_fleet(m1=stream()) as fleet:
                answer = await fleet.call(X_Prompt_Prefix=PREFIX)
                assert get_error(answer)['code'] == 'request_quarantined'
                assert not fleet.targets['m1'].requests
                assert not fleet.state.loads.get('m1').running

        asyncio.run(run())

    def test_call_whose_attempt_crashed_a_target_may_have_run(self):
        """Guards against a retry that is sent before the crash is known."""
        targets = CrashingFleet(lambda exchange: True)

        async def run():
            handlers = targets.make_handlers('m1', 'm2', 'm3', 'm4')
            async with run_fleet(**handlers) as fleet:
                targets.fleet = fleet
                answers = [
                    await fleet.call(X_Prompt_Prefix=PREFIX) for _ in range(3)
                ]
                assert [answer.status for answer in answers] == [502, 502, 503]
                error = get_error(answers[1])
                assert error['code'] == 'request_quarantined'
                assert error['verdict'] == 'may_have_run'
                assert len(targets.crash_times_s) == 3

        asyncio.run(run())

    def test_refusal_leads_to_the_trait_and_its_targets(self, capfd, tmp_path):
        targets = CrashingFleet(lambda exchange: True)

        async def run():
            handlers = targets.make_handlers('m1', 'm2', 'm3', 'm4')
            async with run_fleet(**handlers) as fleet:
                targets.fleet = fleet
                for number in range(4):
                    await call_bad(fleet, number)
                fleet.state.log.flush()

        asyncio.run(run())
        log = tmp_path / 'log'
        log.write_text(capfd.readouterr().out)
        print_timeline('r-3', [str(log)])
        cause = capfd.readouterr().out.splitlines()[0]
        assert cause.startswith('request_quarantined: ')
        assert cause.endswith('quarantined: part/bad after m1,m2,m3')


class TestStatus:
    def test_suspects_and_quarantined_traits_are_shown(self):
        targets = CrashingFleet(lambda exchange: True)

        async def read_status(fleet):
            fetched = await fetch(fleet.settings.metrics, '/status', 1)
            return json.loads(fetched.content)

        async def run():
            handlers = targets.make_handlers('m1', 'm2', 'm3', 'm4')
            async with run_fleet(**handlers) as fleet:
                targets.fleet = fleet
                await call_bad(fleet, 1)
                suspect = (await read_status(fleet))['suspects'][0]
                assert suspect['trait'] == TRAIT
                assert suspect['organisation'] == 'mill'
                assert suspect['targets'] == ['m1', 'm2']
                await call_bad(fleet, 2)
                (entry,) = (await read_status(fleet))['quarantined']
                assert entry['trait'] == TRAIT
                assert entry['crashes'] == 3
                assert entry['owner'] == HOST

        asyncio.run(run())


class TestProbe:
    def test_probe_that_is_answered_frees_the_trait_everywhere(self):
        """Guards against sound work that is refused for ever."""

        async def run():
            async with (
                run_fleet(m1=stream()) as fleet,
                run_peers(fleet, 2) as peers,
            ):
                instances = [fleet, *peers]
                # Owners decide once they have settled.
                await asyncio.sleep(1)
                for one in instances:
                    quarantine(one, next_probe_s=0)
                answer = await peers[0].call(X_Prompt_Prefix=PREFIX)
                assert answer.status == 200
                await fleet.wait_for(
                    lambda: all(
                        one.state.quarantine.is_empty for one in instances
                    )
                )

        asyncio.run(run())

    def test_instances_together_send_few_probes(self):
        arrivals = []

        async def handle(exchange):
            arrivals.append(exchange)
            await never_answer(exchange)

        async def run():
            async with (
                run_fleet(m1=handle) as fleet,
                run_peers(fleet, 3) as peers,
            ):
                instances = [fleet, *peers]
                # Owners decide once they have settled.
                await asyncio.sleep(1)
                for one in instances:
                    quarantine(one, next_probe_s=0)
                await asyncio.gather(
                    *(
                        one.call(X_Prompt_Prefix=PREFIX, X_Deadline='500')
                        for one in instances * 5
                    )
                )
                assert len(arrivals) == 1
                assert {
                    one.state.quarantine.get(TRAIT).probes for one in instances
                } == {1}

        asyncio.run(run())

    def test_call_with_two_quarantined_traits_is_no_probe(self):
        async def run():
            async with run_fleet(m1=stream()) as fleet:
                quarantine(fleet, next_probe_s=0)
                quarantine(fleet, 'part/aa', next_probe_s=0)
                answer = await fleet.call(X_Prompt_Prefix=PREFIX)
                assert answer.status == 503

        asyncio.run(run())

    def test_request_may_be_a_probe_of_itself_and_its_part(self, monkeypatch):
        """Guards against a part of one sound request that is never freed."""

        async def run():
            async with run_fleet(m1=stream()) as fleet:
                fleet.state.started_s = float('-inf')
                quarantine(fleet, next_probe_s=0)
                call = make_call(X_Prompt_Prefix=PREFIX)
                cleared = []
                monkeypatch.setattr(
                    Quarantine,
                    'clear',
                    lambda _, traits: cleared.extend(traits),
                )
                await fleet.send_raw(call)
                own = cleared[-1]
                quarantine(fleet, next_probe_s=0)
                quarantine(fleet, own, next_probe_s=0)
                answer = await fleet.send_raw(call)
                assert answer.status == 200
                entries = fleet.state.quarantine.list_all()
                assert [entry.probes for entry in entries] == [2, 1]

        asyncio.run(run())

    def test_caller_is_sent_away_for_long_once_probes_are_used_up(self):
        async def run():
            async with run_fleet(m1=stream()) as fleet:
                quarantine(fleet, next_probe_s=0, probes=MAXIMUM_PROBES)
                answer = await fleet.call(X_Prompt_Prefix=PREFIX)
                assert answer.status == 503
                assert float(answer.headers['retry-after']) >= 30

        asyncio.run(run())


class TestRestartOfAll:
    @pytest.mark.parametrize(('age_s', 'probes'), [(10, 1), (100, 0)])
    def test_young_instances_grant_fewer_probes(self, age_s, probes):
        """Guards against probes that each restart of all grants anew."""
        targets = CrashingFleet(lambda exchange: True)

        async def run():
            handlers = targets.make_handlers('m1', 'm2', 'm3', 'm4')
            async with run_fleet(**handlers) as fleet:
                targets.fleet = fleet
                fleet.state.started_s = fleet.state.get_now_s() - age_s
                for number in range(3):
                    await call_bad(fleet, number)
                assert fleet.state.quarantine.get(TRAIT).probes == probes

        asyncio.run(run())

    def test_trait_that_peers_announced_keeps_its_probes(self):
        """Guards against a young instance that forgoes probes of others."""

        async def run():
            async with run_fleet(m1=stream()) as fleet:
                messages = fleet.gateway._peers.quarantine
                messages.apply_message(
                    TraitQuarantined(TRAIT, 3, 0.5, 0), '10.0.0.2'
                )
                now_s = fleet.state.get_now_s()
                for number in range(4):
                    crashed_s = now_s + number
                    report = CrashReport(
                        f't{number}',
                        1,
                        'mill',
                        (TRAIT,),
                        crashed_s - 0.2,
                        crashed_s,
                    )
                    messages.apply_message(
                        TargetCrashed(report, now_s), '10.0.0.2'
                    )
                assert fleet.state.quarantine.get(TRAIT).probes == 0

        asyncio.run(run())


class TestMetrics:
    def test_suspected_and_quarantined_traits_are_counted(self):
        targets = CrashingFleet(lambda exchange: True)

        async def run():
            handlers = targets.make_handlers('m1', 'm2', 'm3', 'm4')
            async with run_fleet(**handlers) as fleet:
                targets.fleet = fleet
                gauges = fleet.state.metrics.gauges
                await call_bad(fleet, 1)
                # The part, and the request that was sent twice.
                await fleet.wait_for(
                    lambda: gauges.get('traits_suspected') == 2
                )
                assert gauges['traits_quarantined'] == 0
                await call_bad(fleet, 2)
                await fleet.wait_for(lambda: gauges['traits_quarantined'] == 1)

        asyncio.run(run())


class TestPeers:
    def test_instance_that_starts_is_told(self):
        async def run():
            async with run_fleet(m1=stream()) as fleet:
                quarantine(fleet, probes=1)
                async with run_peers(fleet, 1) as (peer,):
                    await fleet.wait_for(
                        lambda: not peer.state.quarantine.is_empty
                    )
                    assert peer.state.quarantine.get(TRAIT).probes == 1

        asyncio.run(run())

    def test_announcement_of_a_cleared_trait_is_answered(self):
        async def run():
            async with (
                run_fleet(m1=stream()) as fleet,
                run_peers(fleet, 1) as (peer,),
            ):
                quarantine(peer)
                await asyncio.sleep(0.01)
                now_s = fleet.state.get_now_s()
                fleet.state.crash_evidence.clear(TRAIT, now_s)
                await peer.call(X_Prompt_Prefix=PREFIX)
                await fleet.wait_for(lambda: peer.state.quarantine.is_empty)
                assert fleet.state.quarantine.is_empty

        asyncio.run(run())

    def test_announcements_do_not_make_a_crash_look_newer(self):
        """Guards against a quarantine that outlasts what cleared it.

        Each announcement added its time on the way.
        """

        async def run():
            async with (
                run_fleet(m1=stream()) as fleet,
                run_peers(fleet, 1) as (peer,),
            ):
                quarantine(fleet)
                crashed_s = fleet.state.quarantine.get(TRAIT).crashed_s
                for one in (fleet, peer) * 3:
                    for entry in one.state.quarantine.list_all():
                        entry.announced_s = float('-inf')
                    await one.call(X_Prompt_Prefix=PREFIX)
                    await asyncio.sleep(0.02)
                for one in (fleet, peer):
                    entry = one.state.quarantine.get(TRAIT)
                    assert entry.crashed_s <= crashed_s

        asyncio.run(run())

    def test_announcements_do_not_come_come_with_each_refusal(self):
        async def run():
            async with (
                run_fleet(m1=stream()) as fleet,
                run_peers(fleet, 1) as (peer,),
            ):
                quarantine(fleet)
                sent = []
                fleet.gateway._peers.quarantine.broadcast = sent.append
                for _ in range(20):
                    await fleet.call(X_Prompt_Prefix=PREFIX)
                assert len(sent) == 1
                assert peer.state.quarantine.is_empty

        asyncio.run(run())


class TestNoEvidence:
    async def call_and_find_evidence(self, handle, leave=None):
        async with run_fleet(m1=handle) as fleet:
            if leave is not None:
                await leave(fleet)
            else:
                await fleet.call(X_Prompt_Prefix=PREFIX)
            await asyncio.sleep(0.1)
            return fleet.state.crash_evidence.list_suspects()

    def test_answer_that_a_target_breaks_off(self):
        assert not asyncio.run(self.call_and_find_evidence(reset))

    def test_caller_that_leaves_before_the_target_ends(self):
        async def leave(fleet):
            _, writer = await asyncio.open_connection(*fleet.settings.entry)
            writer.write(make_call(X_Prompt_Prefix=PREFIX))
            await fleet.wait_for(lambda: fleet.targets['m1'].requests)
            writer.close()
            await asyncio.sleep(0.05)
            await fleet.targets['m1'].stop()

        assert not asyncio.run(self.call_and_find_evidence(never_answer, leave))

    def test_target_that_was_leaving(self):
        targets = CrashingFleet(lambda exchange: True)

        async def run():
            handlers = targets.make_handlers('m1')
            async with run_fleet(**handlers) as fleet:
                targets.fleet = fleet
                call = asyncio.ensure_future(fleet.call(X_Prompt_Prefix=PREFIX))
                await fleet.wait_for(lambda: fleet.targets['m1'].requests)
                record = fleet.state.directory.records['m1']
                fleet.state.directory.mark_departed(record)
                await call
                await asyncio.sleep(0.1)
                assert targets.crash_times_s
                assert fleet.state.crash_evidence.is_empty

        asyncio.run(run())
