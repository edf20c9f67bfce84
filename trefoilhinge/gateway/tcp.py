"""TCP connections with keepalive, to detect a peer that is gone."""

import asyncio
import socket
import struct

from trefoilhinge.dispatch.settings import Address

KEEPALIVE_IDLE_S = 1  # silence before the first keepalive probe
KEEPALIVE_INTERVAL_S = 1  # between two probes
# Limit on data that stays unacknowledged. It also decides when unanswered
# probes end a connection, whatever their number.
USER_TIMEOUT_MS = 2_500
# The limit applies also to data that a sound caller has not read yet.
CALLER_USER_TIMEOUT_MS = 10_000
READ_BYTES = 65_536


def set_tcp_timeouts(
    transport: asyncio.BaseTransport,
    user_timeout_ms: int = USER_TIMEOUT_MS,
) -> None:
    """Let the kernel close a connection whose peer no longer answers.

    :param user_timeout_ms: limit on data that stays unacknowledged or unread.
    """
    raw = transport.get_extra_info('socket')
    if raw is None:
        return
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms),
    )
    for level, name, value in options:
        raw.setsockopt(level, name, value)


def reset_tcp_connection(transport: asyncio.WriteTransport) -> None:
    """Close a connection so that its peer sees that its data is incomplete."""
    raw = transport.get_extra_info('socket')
    if raw is not None:
        # On, with no time to send what is left.
        linger = struct.pack('ii', 1, 0)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    transport.abort()


async def open_tcp_connection(
    address: Address,
    timeout_s: float,
    source: Address | None = None,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection with keepalive.

    :param source: local address that the peer is to see; none for any.
    :raises OSError: it could not be opened within the timeout.
    """
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(
            *address, local_addr=source
        )
    set_tcp_timeouts(writer.transport)
    return reader, writer
