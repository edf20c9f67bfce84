"""Listener for callers that can stop without resetting a connection."""

import asyncio
import errno
import socket
from collections.abc import Awaitable, Callable
from typing import Protocol

from attrs import define, field

from trefoilhinge.dispatch.settings import Address
from trefoilhinge.gateway.tcp import CountingReader, SharedBufferProtocol

BACKLOG = 1_024  # connections that wait to be accepted
# In one turn of the event loop: those that make room end after it.
ACCEPT_BATCH = 8
# Pause after the process ran out of descriptors or memory for a connection.
EXHAUSTED_PAUSE_S = 0.5
# Until connections that make room for others have ended.
ENDING_PAUSE_S = 0.005
_EXHAUSTED_ERRORS = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
)

# A reader pauses at twice that.
READ_AHEAD_LIMIT_BYTES = 4_096

ConnectionHandler = Callable[
    [CountingReader, asyncio.StreamWriter], Awaitable[None]
]


class Room(Protocol):
    """A bound on the connections of a listener."""

    @property
    def is_ending(self) -> bool:
        """Return whether so many connections end that others should wait."""
        ...

    def admit(self) -> bool:
        """Make room for a connection; return whether there is any."""
        ...


@define(eq=False)
class CallerListener:
    """Accepts connections until it is stopped.

    Closing a listening socket resets the connections that wait to be
    accepted, and callers may have sent requests on them. ``asyncio`` closes
    its servers in this way, so the socket is kept here.

    :ivar listening: the socket that listens.
    """

    _handle: ConnectionHandler
    listening: socket.socket
    _room: Room
    _tasks: set[asyncio.Task[None]] = field(factory=set)
    _is_stopped: bool = False

    def start(self) -> None:
        """Accept connections from now on."""
        if not self._is_stopped:
            loop = asyncio.get_running_loop()
            loop.add_reader(self.listening, self._accept_waiting)

    def stop(self) -> None:
        """Accept what waits, then refuse connections."""
        if self._is_stopped:
            return
        self._is_stopped = True
        asyncio.get_running_loop().remove_reader(self.listening)
        self._accept_waiting(BACKLOG)
        self.listening.close()

    async def wait_until_handed_over(self) -> None:
        """Wait until all accepted connections have reached their handler."""
        if self._tasks:
            await asyncio.wait(self._tasks)

    def _accept_waiting(self, limit: int = ACCEPT_BATCH) -> None:
        for _ in range(limit):
            if self._room.is_ending and not self._is_stopped:
                self._pause(ENDING_PAUSE_S)
                return
            try:
                accepted, _address = self.listening.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as problem:
                if problem.errno not in _EXHAUSTED_ERRORS:
                    raise
                self._pause(EXHAUSTED_PAUSE_S)
                return
            if not self._room.admit():
                accepted.close()
                continue
            accepted.setblocking(False)
            task = asyncio.ensure_future(self._hand_over(accepted))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _pause(self, pause_s: float) -> None:
        loop = asyncio.get_running_loop()
        loop.remove_reader(self.listening)
        loop.call_later(pause_s, self.start)

    async def _hand_over(self, accepted: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        reader = CountingReader(READ_AHEAD_LIMIT_BYTES)
        protocol = SharedBufferProtocol(
            reader,
            lambda _, writer: self._handle(reader, writer),
            loop=loop,
        )
        await loop.connect_accepted_socket(lambda: protocol, accepted)


def listen(
    address: Address,
    handle: ConnectionHandler,
    room: Room,
    receive_bytes: int = 0,
) -> CallerListener:
    """Return a listener at an address that accepts nothing yet.

    :param handle: coroutine function that serves one connection.
    :param room: bound on the connections.
    :param receive_bytes: size of the kernel's buffer for what a connection
        receives; zero for its default.
    :raises OSError: the address is in use.
    """
    listening = socket.create_server(address, backlog=BACKLOG)
    listening.setblocking(False)
    if receive_bytes:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    return CallerListener(handle, listening, room)
