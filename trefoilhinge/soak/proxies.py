"""Loopback proxy that injects faults into the connections through it."""

import asyncio
import enum

from attrs import define, field

from trefoilhinge.dispatch.settings import Address

READ_BYTES = 65_536
DELAY_S = 0.15  # of each chunk while connections are delayed


class ConnectionFault(enum.Enum):
    """Fault of the connections through a proxy.

    ``delay`` delays each chunk by ``DELAY_S``, and ``one_way`` drops what the
    target sends.
    """

    none = 'none'
    delay = 'delay'
    silence = 'silence'
    one_way = 'one_way'


@define
class Proxy:
    """TCP proxy of one address.

    :ivar fault: fault of all open connections while it is set; connections
        that were silenced stay silent until they are closed.
    """

    listen: Address
    target: Address
    fault: ConnectionFault = ConnectionFault.none
    _writers: set[asyncio.StreamWriter] = field(factory=set)
    _silenced: set[asyncio.StreamWriter] = field(factory=set)
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(
            self._handle_connection, *self.listen
        )

    def stop(self) -> None:
        """Refuse connections and reset all that are open."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in tuple(self._writers):
            abort_connection(writer)

    def silence(self) -> None:
        """Forward nothing more on the connections that are open now."""
        self._silenced.update(self._writers)

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                *self.target
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers.update((writer, upstream_writer))
        try:
            await asyncio.gather(
                self._forward(reader, upstream_writer, is_response=False),
                self._forward(upstream_reader, writer, is_response=True),
            )
        except asyncio.CancelledError:
            return
        finally:
            self._writers.difference_update((writer, upstream_writer))
            abort_connection(writer)
            abort_connection(upstream_writer)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_response: bool,
    ) -> None:
        try:
            while content := await reader.read(READ_BYTES):
                if self.fault is ConnectionFault.delay:
                    await asyncio.sleep(DELAY_S)
                if writer in self._silenced:
                    continue
                if is_response and self.fault is ConnectionFault.one_way:
                    continue
                writer.write(content)
                await writer.drain()
        except OSError:
            return
        finally:
            writer.close()


def abort_connection(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, unless it has ended.

    A transport that was closed before its last bytes were written drops its
    event loop once they are, and ``abort`` fails from then on.
    """
    transport = writer.transport
    if not transport.is_closing() or transport.get_write_buffer_size():
        transport.abort()
