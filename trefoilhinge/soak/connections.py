"""Connections of callers, which instances may close while they are unused."""

import asyncio
import socket
import time
from typing import TypeAlias

CONNECT_TIMEOUT_S = 0.5
# An instance that stops closes new connections that are unused for so long.
MINIMUM_UNUSED_S = 0.2

Connection: TypeAlias = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def connect(address: tuple[str, int]) -> Connection | None:
    """Open a connection for a call that is sent at once.

    :param address: host and port of an instance.
    :return: none if the instance cannot be reached, or closed the connection
        because the event loop was busy for too long to send a call on it.
    """
    began_s = time.monotonic()
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            connection = await asyncio.open_connection(*address)
    except OSError:
        return None
    is_late = time.monotonic() >= began_s + MINIMUM_UNUSED_S
    if is_late and has_ended(*connection):
        connection[1].close()
        return None
    return connection


def has_ended(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> bool:
    """Return whether the peer has closed a connection.

    Its end may have arrived while the event loop was busy, which has not read
    it then. Bytes that arrived before it have to be read first.
    """
    if reader.at_eof():
        return True
    try:
        with writer.get_extra_info('socket').dup() as peer:
            return not peer.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
