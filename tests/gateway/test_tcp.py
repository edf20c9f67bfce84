"""Tests of the options of TCP connections."""

import asyncio
import socket

from tests.gateway.documents import HOST, find_port
from trefoilhinge.gateway.tcp import (
    KEEPALIVE_IDLE_S,
    USER_TIMEOUT_MS,
    open_tcp_connection,
)


class TestOptions:
    def test_user_timeout_is_longer_than_the_first_probe_takes(self):
        """Guards against a limit that ends idle connections unprobed."""

        async def run():
            port = find_port()
            server = await asyncio.start_server(
                lambda reader, writer: None, HOST, port
            )
            _, writer = await open_tcp_connection((HOST, port), 1)
            raw = writer.get_extra_info('socket')
            timeout_ms = raw.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
            )
            idle_s = raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE)
            writer.close()
            server.close()
            assert (timeout_ms, idle_s) == (USER_TIMEOUT_MS, KEEPALIVE_IDLE_S)
            assert timeout_ms > 1000 * idle_s

        asyncio.run(run())
