"""TCP connections with keepalive, to detect a peer that is gone."""

import asyncio
import select
import socket
import struct
from collections.abc import Callable, Iterable
from typing import SupportsIndex

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


def set_user_timeout(
    transport: asyncio.BaseTransport, user_timeout_ms: int
) -> None:
    """Limit the time for which sent data stays unacknowledged or unread."""
    raw = transport.get_extra_info('socket')
    if raw is not None and not transport.is_closing():
        raw.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms
        )


def has_input(transport: asyncio.BaseTransport) -> bool:
    """Return whether anything has arrived that the loop has not read yet.

    That may be data, the end of the connection or an error.
    """
    raw = transport.get_extra_info('socket')
    if raw is None or transport.is_closing():
        return True
    poll = select.poll()
    poll.register(raw.fileno(), select.POLLIN | select.POLLRDHUP)
    return bool(poll.poll(0))


def reset_tcp_connection(transport: asyncio.WriteTransport) -> None:
    """Close a connection so that its peer sees that its data is incomplete."""
    raw = transport.get_extra_info('socket')
    if raw is not None:
        # On, with no time to send what is left.
        linger = struct.pack('ii', 1, 0)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    transport.abort()


class CountingReader(asyncio.StreamReader):
    """A reader that counts what arrives, also while nobody reads.

    :ivar received_bytes: bytes that arrived so far.
    :ivar on_input: called when anything arrives, or the connection ends.
    """

    def __init__(self) -> None:
        """Create a reader of the running loop."""
        super().__init__(loop=asyncio.get_running_loop())
        self.received_bytes = 0
        self.on_input: Callable[[], None] | None = None

    @property
    def is_ended(self) -> bool:
        """Return whether the connection ended, and all was read before."""
        return self.at_eof() or self.exception() is not None

    def feed_data(self, data: Iterable[SupportsIndex]) -> None:
        """Take data from the transport."""
        content = bytes(data)
        self.received_bytes += len(content)
        super().feed_data(content)
        self._report()

    def feed_eof(self) -> None:
        """Take the end of the connection."""
        super().feed_eof()
        self._report()

    def set_exception(self, exc: Exception) -> None:
        """Take an error of the connection."""
        super().set_exception(exc)
        self._report()

    def _report(self) -> None:
        if self.on_input is not None:
            self.on_input()


async def open_connection(
    host: str, port: int, local_addr: Address | None = None
) -> tuple[CountingReader, asyncio.StreamWriter]:
    """Open a connection, like ``asyncio.open_connection``.

    :raises OSError: it could not be opened.
    """
    loop = asyncio.get_running_loop()
    reader = CountingReader()
    protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
    transport, _ = await loop.create_connection(
        lambda: protocol, host, port, local_addr=local_addr
    )
    writer = asyncio.StreamWriter(transport, protocol, reader, loop)
    return reader, writer


async def open_tcp_connection(
    address: Address,
    timeout_s: float,
    source: Address | None = None,
) -> tuple[CountingReader, asyncio.StreamWriter]:
    """Open a connection with keepalive.

    :param source: local address that the peer is to see; none for any.
    :raises OSError: it could not be opened within the timeout.
    """
    async with asyncio.timeout(timeout_s):
        reader, writer = await open_connection(*address, local_addr=source)
    set_tcp_timeouts(writer.transport)
    return reader, writer
