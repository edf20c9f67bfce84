"""Tests of the transfer of a newer document between instances."""

import asyncio
import json
import os

from tests.gateway.documents import OTHER_HOST, THIRD_HOST, make_document
from tests.gateway.fleets import read_answer, run_fleet
from tests.gateway.peers import PeerStandIn, answer_not_found, send, stall
from trefoilhinge.gateway.logs import EventLog

# Well within the time in which a document must be in force.
PROMPT_S = 1.2


async def request_document(fleet):
    """Request the document; return the connection."""
    address = (fleet.settings.ip, fleet.settings.first_port)
    reader, writer = await asyncio.open_connection(*address)
    writer.write(b'GET /document HTTP/1.1\r\nHost: peer\r\n\r\n')
    return reader, writer


class TestReceiver:
    def test_document_is_fetched_elsewhere_when_a_peer_sends_nothing(self):
        """Guards against waiting for one overloaded peer.

        In an incident all instances asked the peer that had announced a
        document first. Its link was saturated, and they asked no other one
        until the timeout.
        """

        async def run():
            async with run_fleet() as fleet:
                port = fleet.settings.first_port
                content = json.dumps(make_document(9)).encode()
                stalled = PeerStandIn(OTHER_HOST, port, stall)
                other = PeerStandIn(THIRD_HOST, port, send(content))
                fleet.store.is_down = True
                await fleet.wait_for(
                    lambda: (
                        fleet.state.directory.outages.unreachable_since_s
                        is not None
                    )
                )
                await stalled.start()
                await other.start()
                stalled.send_heartbeat(9)
                await fleet.wait_for(lambda: stalled.requests)
                other.send_heartbeat(9)
                await fleet.wait_for(
                    lambda: fleet.state.document.version == 9, PROMPT_S
                )
                stalled.stop()
                other.stop()

        asyncio.run(run())

    def test_peer_is_asked_again_at_once_for_the_next_document(self):
        """Guards against a pause after a document that was accepted."""

        async def run():
            async with run_fleet() as fleet:
                port = fleet.settings.first_port
                content = json.dumps(make_document(9)).encode()
                peer = PeerStandIn(OTHER_HOST, port, send(content))
                await peer.start()
                fleet.store.is_down = True
                await fleet.wait_for(
                    lambda: (
                        fleet.state.directory.outages.unreachable_since_s
                        is not None
                    )
                )
                peer.send_heartbeat(9)
                await fleet.wait_for(lambda: fleet.state.document.version == 9)
                peer.handle = send(json.dumps(make_document(10)).encode())
                peer.send_heartbeat(10)
                await fleet.wait_for(
                    lambda: fleet.state.document.version == 10, PROMPT_S
                )
                peer.stop()

        asyncio.run(run())

    def test_peer_that_lost_the_document_is_logged(self):
        """Guards against the content of an error taken for a document."""

        async def run():
            async with run_fleet() as fleet:
                reader, writer = os.pipe()
                fleet.state.log = EventLog('entry-1', writer)
                port = fleet.settings.first_port
                peer = PeerStandIn(OTHER_HOST, port, answer_not_found)
                await peer.start()
                peer.send_heartbeat(9)
                await fleet.wait_for(lambda: peer.requests)
                await asyncio.sleep(0.1)
                lines = os.read(reader, 100_000).decode()
                assert 'path=/document problem="status 404"' in lines
                assert 'document_refused' not in lines
                peer.stop()

        asyncio.run(run())


class TestSender:
    def test_number_of_concurrent_transfers_is_limited(self):
        """Guards against one instance sending its document to all others.

        In an incident 35 instances shared the link of one peer, and none
        received the whole document before the timeout.
        """

        async def run():
            async with run_fleet() as fleet:
                connections = [await request_document(fleet) for _ in range(8)]
                answers = [
                    await read_answer(reader) for reader, _ in connections
                ]
                statuses = [answer.status for answer in answers]
                assert statuses.count(200) == 2
                assert statuses.count(503) == 6
                for _, writer in connections:
                    writer.close()
                await asyncio.sleep(0.1)
                reader, writer = await request_document(fleet)
                assert (await read_answer(reader)).status == 200
                writer.close()

        asyncio.run(run())
