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
RECEIVE_BYTES = 16_384  # by one read of a listener's connection


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
    :ivar is_discarding: whether what arrives is only counted.
    """

    _buffer: bytearray

    def __init__(self, limit_bytes: int = READ_BYTES) -> None:
        """Create a reader of the running loop.

        :param limit_bytes: half of what is read ahead.
        """
        super().__init__(limit_bytes, asyncio.get_running_loop())
        self.received_bytes = 0
        self.on_input: Callable[[], None] | None = None
        self.is_discarding = False

    def discard(self) -> None:
        """Drop what arrived and was not read, and what will arrive."""
        self.is_discarding = True
        self._buffer.clear()
        self._maybe_resume_transport()  # type: ignore[attr-defined]

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

    async def wait_for_input(self) -> None:
        """Wait until anything can be read, or the connection has ended."""
        if not self._buffer and not self.at_eof():
            await self._wait_for_data(  # type: ignore[attr-defined]
                'wait_for_input'
            )

    def count_discarded(self, count: int) -> None:
        """Take the length of data that is discarded."""
        self.received_bytes += count
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


class SharedBufferProtocol(
    asyncio.StreamReaderProtocol, asyncio.BufferedProtocol
):
    """Receives into one buffer for all connections.

    Each read of a plain protocol allocates a buffer of 256 KB, of which the
    allocator may keep the part that was not filled.
    """

    _buffer = bytearray(RECEIVE_BYTES)

    def get_buffer(self, sizehint: int) -> bytearray:  # noqa: WPS615
        """Return the buffer for the next read."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Take what was read."""
        reader = self._stream_reader  # type: ignore[attr-defined]
        if isinstance(reader, CountingReader) and reader.is_discarding:
            reader.count_discarded(nbytes)
        else:
            self.data_received(bytes(memoryview(self._buffer)[:nbytes]))


async def open_connection(
    host: str,
    port: int,
    local_addr: Address | None = None,
    read_ahead_bytes: int = 0,
) -> tuple[CountingReader, asyncio.StreamWriter]:
    """Open a connection, like ``asyncio.open_connection``.

    :param read_ahead_bytes: bound on what is kept unread, beside one read of
        ``RECEIVE_BYTES``; zero for that of asyncio, which reads 256 KB at once.
    :raises OSError: it could not be opened.
    """
    loop = asyncio.get_running_loop()
    protocol: asyncio.StreamReaderProtocol
    if read_ahead_bytes:
        reader = CountingReader(read_ahead_bytes // 2)
        protocol = SharedBufferProtocol(reader, loop=loop)
    else:
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
    read_ahead_bytes: int = 0,
) -> tuple[CountingReader, asyncio.StreamWriter]:
    """Open a connection with keepalive.

    :param source: local address that the peer is to see; none for any.
    :param read_ahead_bytes: as of ``open_connection``.
    :raises OSError: it could not be opened within the timeout.
    """
    async with asyncio.timeout(timeout_s):
        reader, writer = await open_connection(
            *address, local_addr=source, read_ahead_bytes=read_ahead_bytes
        )
    set_tcp_timeouts(writer.transport)
    return reader, writer
