"""Tests that an unexpected error stays with what caused it."""

import asyncio
import socket

import msgpack
import pytest

from tests.gateway.documents import HOST, OTHER_HOST, make_document
from tests.gateway.fleets import run_fleet
from tests.gateway.targets import reply, stream
from trefoilhinge.gateway import (
    attempts,
    peer_exchange,
    store_watcher,
)
from trefoilhinge.gateway.connections import pool


def fail_once(monkeypatch, module, name):
    """Let a function raise an error at its next call only."""
    function = getattr(module, name)
    failures = []

    def fail(*arguments, **named):
        if not failures:
            failures.append(name)
            raise RuntimeError('unexpected')
        return function(*arguments, **named)

    monkeypatch.setattr(module, name, fail)
    return failures


class TestBackgroundTasks:
    """Guards against a task that ends and leaves the process half alive."""

    def test_store_is_watched_after_an_unexpected_error(self, monkeypatch):
        async def run():
            async with run_fleet(m1=stream()) as fleet:
                failures = fail_once(
                    monkeypatch, store_watcher.store, 'decode_page'
                )
                fleet.store.put('op/config', make_document(2))
                await fleet.wait_for(lambda: failures)
                fleet.store.put('op/config', make_document(3))
                await fleet.wait_for(lambda: fleet.state.document.version == 3)

        asyncio.run(run())

    def test_heartbeats_go_on_after_an_unexpected_error(self, monkeypatch):
        async def run():
            async with run_fleet(m1=stream()) as fleet:
                failures = fail_once(
                    monkeypatch, peer_exchange.PeerExchange, 'send_heartbeats'
                )
                await fleet.wait_for(lambda: failures)
                sent = fleet.gateway._peers._heartbeats_sent
                await fleet.wait_for(
                    lambda: fleet.gateway._peers._heartbeats_sent > sent
                )

        asyncio.run(run())


class TestCalls:
    def test_call_with_an_unexpected_error_is_refused(self, monkeypatch):
        """Guards against a connection closed without an answer."""

        async def run():
            async with run_fleet(d1=reply(200, b'yes')) as fleet:
                fail_once(monkeypatch, pool, 'open_target_connection')
                answer = await fleet.call('/book/1')
                assert answer.status == 503
                assert b'"internal_error"' in answer.content
                assert b'"not_run"' in answer.content
                assert (await fleet.call('/book/1')).content == b'yes'

        asyncio.run(run())

    def test_call_that_was_sent_is_not_refused_as_not_run(self, monkeypatch):
        async def run():
            async with run_fleet(d1=reply(200, b'yes')) as fleet:
                fail_once(monkeypatch, attempts, 'record_named_rate')
                answer = await fleet.call('/book/1')
                assert answer.status == 502
                assert b'"may_have_run"' in answer.content

        asyncio.run(run())


MALFORMED_HEARTBEATS = [
    ['w', 'x' * 70, 'o/1', 'a', 1, 1, False, []],
    ['w', '', 'o/1', 'a', 1, 1, False, []],
    ['w', OTHER_HOST, 'o/1', 'a', 1, 1, False, ['x' * 70, '\0']],
    ['w', OTHER_HOST, 'o/1', 'a', 1, 1, False, ['name.example']],
    ['q', f'{"x" * 70}/1', 1, 'd1', 1000, 1, 0.0],
    ['q', '', 1, 'd1', 1000, 1, 0.0],
]


class TestDatagrams:
    """Guards against a datagram that closes the socket for all others.

    A message that is sent to a malformed address is a fatal error of the
    transport.
    """

    @pytest.mark.parametrize('fields', MALFORMED_HEARTBEATS)
    def test_malformed_address_does_not_close_the_socket(self, fields):
        async def run():
            async with run_fleet(d1=reply(200, b'yes')) as fleet:
                with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
                    address = (HOST, fleet.settings.first_port)
                    sender.sendto(msgpack.packb(fields), address)
                await asyncio.sleep(1.2)
                transport = fleet.gateway._peers._transport
                assert not transport.is_closing()
                assert fleet.state.peers.peers == {}

        asyncio.run(run())
