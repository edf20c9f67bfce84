"""Tests of the connections of callers of a soak."""

import asyncio
import contextlib
import socket
import struct
import threading

import pytest

from trefoilhinge.soak import connections

# Closes a connection with a reset.
LINGER_OF_RESET = struct.pack('ii', 1, 0)


@contextlib.asynccontextmanager
async def open_pair():
    """Open a connection to a peer that the event loop does not serve."""
    with socket.create_server(('127.0.0.1', 0)) as server:
        reader, writer = await asyncio.open_connection(*server.getsockname())
        peer, _ = server.accept()
        with contextlib.closing(writer), peer:
            yield reader, writer, peer


def close_first(server):
    """Close the first connection at once."""
    peer, _ = server.accept()
    peer.close()


class TestConnect:
    """Guards against CUT_AT_STOP of calls sent on closed connections.

    The event loop of the soak was busy with a crowd, and an instance that
    stopped closed what the callers left unused meanwhile.
    """

    @pytest.mark.parametrize(
        ('minimum_unused_s', 'is_returned'), [(60, True), (0, False)]
    )
    def test_new_connection_is_closed(
        self, monkeypatch, minimum_unused_s, is_returned
    ):
        """What is closed before it can be used stays a violation."""
        monkeypatch.setattr(connections, 'MINIMUM_UNUSED_S', minimum_unused_s)

        async def run():
            with socket.create_server(('127.0.0.1', 0)) as server:
                closer = threading.Thread(target=close_first, args=(server,))
                closer.start()
                # The event loop is busy until the connection is closed.
                asyncio.get_running_loop().call_soon(closer.join)
                connection = await connections.connect(server.getsockname())
                assert (connection is not None) is is_returned
                if connection is not None:
                    connection[1].close()

        asyncio.run(run())

    def test_new_connection_stays_open(self, monkeypatch):
        monkeypatch.setattr(connections, 'MINIMUM_UNUSED_S', 0)

        async def run():
            with socket.create_server(('127.0.0.1', 0)) as server:
                connection = await connections.connect(server.getsockname())
                assert connection is not None
                connection[1].close()

        asyncio.run(run())


class TestHasEnded:
    @pytest.mark.parametrize('is_reset', [False, True])
    def test_end_that_the_event_loop_has_not_read(self, is_reset):
        """Guards against calls on kept connections that have been closed."""

        async def run():
            async with open_pair() as (reader, writer, peer):
                if is_reset:
                    peer.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, LINGER_OF_RESET
                    )
                peer.close()
                assert not reader.at_eof()
                assert connections.has_ended(reader, writer)

        asyncio.run(run())

    def test_end_that_the_event_loop_has_read(self):
        async def run():
            async with open_pair() as (reader, writer, peer):
                peer.close()
                await reader.read()
                assert connections.has_ended(reader, writer)

        asyncio.run(run())

    def test_open_connection(self):
        async def run():
            async with open_pair() as (reader, writer, _):
                assert not connections.has_ended(reader, writer)

        asyncio.run(run())

    def test_bytes_before_the_end(self):
        """Guards against hiding an answer that nobody asked for."""

        async def run():
            async with open_pair() as (reader, writer, peer):
                peer.send(b'HTTP/1.1 200 OK\r\n')
                peer.close()
                assert not connections.has_ended(reader, writer)

        asyncio.run(run())
