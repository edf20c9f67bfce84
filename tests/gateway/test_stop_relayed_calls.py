"""Tests of relayed calls when one of their instances stops."""

import asyncio
import contextlib

import pytest
from attrs import define, evolve

from tests.gateway.stop_checks import check_failed, wait_at_once
from tests.gateway.stop_late_moments import take_turns
from tests.gateway.stop_networks import (
    ANSWER_MARGIN_S,
    EXIT_S,
    GRACE_S,
    GROUP_PROMPT,
    TIMEOUT_S,
    add_backlog,
    make_patient_document,
    make_stopping,
    record_tasks,
)
from tests.gateway.targets import never_answer, reply, stream
from tests.gateway.test_relayed_calls import run_cut_fleet
from trefoilhinge.gateway.relay_server import RelayServer

GROUP = {f'm{number}': stream() for number in range(1, 4)}
BACKLOG_S = TIMEOUT_S - 4
LONG_OBJECTIVE_MS = 9000  # longer than the grace, so that no target is silent
DONE = reply(200, b'done')


@define
class RelayingFleet:
    """An instance that reaches no target, and its peers.

    :ivar relaying: the instance that callers call.
    """

    relaying: object
    peers: list

    async def find_carrier(self, is_carrying):
        """Return the peer that serves a call, and the others."""
        await self.relaying.fleet.wait_for(
            lambda: any(is_carrying(one.fleet) for one in self.peers)
        )
        (carrier,) = [one for one in self.peers if is_carrying(one.fleet)]
        return carrier, [one for one in self.peers if one is not carrier]


@contextlib.asynccontextmanager
async def run_relaying(peers=2, **handlers):
    """Run instances, the first of which is cut off from all targets."""
    owned = record_tasks()
    document = make_patient_document(sloMs=LONG_OBJECTIVE_MS)
    async with run_cut_fleet(peers, document, **handlers) as (fleet, others, _):
        with contextlib.ExitStack() as stack:
            stopping = []
            for one in (fleet, *others):
                state = one.state
                bounds = evolve(state.settings.bounds, grace_s=GRACE_S)
                state.settings = evolve(state.settings, bounds=bounds)
                stopping.append(stack.enter_context(make_stopping(one, owned)))
            yield RelayingFleet(stopping[0], stopping[1:])


def is_serving(fleet):
    return fleet.gateway._service.active > 0


def is_waiting_to_send(fleet):
    return fleet.state.prefill_waiters.count() > 0


def check_logged_ends(*instances):
    """Check that no instance took its own cut for a departure."""
    for stopping in instances:
        lines = stopping.list_lines('call_ended')
        assert 'caller_gone' not in {line['outcome'] for line in lines}


class TestServingPeer:
    def test_call_that_waits_is_served_by_another_peer(self):
        """Guards against LOST: a call that waits at a peer past its exit."""

        async def run():
            async with run_relaying(**GROUP) as fleet:
                for one in fleet.peers:
                    add_backlog(one.fleet.state, GROUP, BACKLOG_S)
                call = fleet.relaying.call(
                    '/stream/1', X_Token_Count=GROUP_PROMPT
                )
                carrier, others = await fleet.find_carrier(is_waiting_to_send)
                for one in others:
                    state = one.fleet.state
                    state.loads.remove_origin('other', state.get_now_s())
                carrier.order()
                result = await wait_at_once(call)
                assert result.answer.status == 200
                assert result.answer.is_complete
                assert len(fleet.relaying.list_requests()) == 1
                check_logged_ends(carrier)

        asyncio.run(run())

    def test_call_that_may_run_once_is_not_sent_again(self):
        """Guards against REFUSED and TWICE after a peer has stopped."""

        async def run():
            handlers = {'d1': never_answer, 'd2': never_answer}
            async with run_relaying(**handlers) as fleet:
                call = fleet.relaying.call()
                await fleet.relaying.fleet.wait_for(
                    fleet.relaying.list_requests
                )
                carrier, _ = await fleet.find_carrier(is_serving)
                carrier.order()
                result = await call
                check_failed(result.answer)
                assert carrier.count_s() >= EXIT_S - ANSWER_MARGIN_S
                await carrier.ending
                assert len(fleet.relaying.list_requests()) == 1
                check_logged_ends(carrier)

        asyncio.run(run())

    def test_idempotent_call_is_sent_again_through_another_peer(self):
        """Guards against calls that end with the peer that serves them."""

        async def run():
            handle = take_turns(never_answer, DONE)
            async with run_relaying(d1=handle, d2=handle) as fleet:
                call = fleet.relaying.call('/look/1')
                await fleet.relaying.fleet.wait_for(
                    fleet.relaying.list_requests
                )
                carrier, _ = await fleet.find_carrier(is_serving)
                carrier.order()
                result = await call
                assert result.answer.content == b'done'
                assert carrier.count_s() >= EXIT_S - ANSWER_MARGIN_S
                await carrier.ending
                assert len(fleet.relaying.list_requests()) == 2
                check_logged_ends(carrier)

        asyncio.run(run())


class TestRelayingInstance:
    @pytest.mark.parametrize('stops_peer', [False, True])
    def test_calls_get_whole_answers(self, stops_peer):
        """Guards against LOST: calls that a peer serves for an instance.

        :param stops_peer: whether the peer is ordered to stop as well.
        """

        async def run():
            handlers = {'d1': never_answer, **GROUP}
            async with run_relaying(1, **handlers) as fleet:
                (peer,) = fleet.peers
                add_backlog(peer.fleet.state, GROUP, BACKLOG_S)
                sent = fleet.relaying.call()
                waiting = fleet.relaying.call(
                    '/stream/1', X_Token_Count=GROUP_PROMPT
                )
                await fleet.relaying.fleet.wait_for(
                    lambda: (
                        fleet.relaying.list_requests()
                        and is_waiting_to_send(peer.fleet)
                    )
                )
                stopping = [fleet.relaying]
                if stops_peer:
                    stopping.append(peer)
                for one in stopping:
                    one.order()
                result = await sent
                check_failed(result.answer)
                assert result.at_s >= EXIT_S - ANSWER_MARGIN_S
                answer = (await waiting).answer
                assert answer.status in {502, 503, 504}
                assert answer.is_complete
                for one in stopping:
                    await one.ending
                assert len(fleet.relaying.list_requests()) == 1
                check_logged_ends(*stopping)

        asyncio.run(run())


class TestPassingStates:
    def test_call_that_a_peer_refused_is_refused_at_once(self):
        """Guards against a call that is held to the exit.

        Its refusal by a peer left it counted as sent, while it waited for a
        target of this instance.
        """

        async def run():
            async with run_relaying(1, **GROUP) as instances:
                (peer,) = instances.peers
                stopping = instances.relaying
                state = stopping.fleet.state
                for one in (peer, stopping):
                    add_backlog(one.fleet.state, GROUP, BACKLOG_S)
                call = stopping.call('/stream/1', X_Token_Count=GROUP_PROMPT)
                await instances.find_carrier(is_waiting_to_send)
                state.reach.record_reached('model', state.get_now_s())
                peer.order()
                await stopping.fleet.wait_for(
                    lambda: is_waiting_to_send(stopping.fleet)
                )
                stopping.order()
                result = await wait_at_once(call)
                assert result.answer.status == 503
                assert b'"not_run"' in result.answer.content

        asyncio.run(run())

    def test_call_that_waits_for_a_document_is_refused_by_its_peer(
        self, monkeypatch
    ):
        """Guards against a carried call that ends with the process.

        Its caller was told that it may have run, though no target had it.
        """

        async def run():
            async with run_relaying(1, d1=DONE, d2=DONE) as instances:
                (peer,) = instances.peers
                peer.order()
                await peer.wait_until(EXIT_S - 0.15)
                monkeypatch.setattr(RelayServer, '_get_version', lambda _: 0)
                result = await instances.relaying.call('/book/1')
                assert result.answer.status == 503
                assert b'"not_run"' in result.answer.content
                assert not instances.relaying.list_requests()

        asyncio.run(run())
