"""A loopback proxy that harms the connections through it."""

import asyncio
import enum

from attrs import define, field

from trefoilhinge.dispatch.settings import Address

READ_BYTES = 65_536
DELAY_S = 0.15  # of each piece while connections are delayed


class ConnectionFault(enum.Enum):
    """What is done to connections."""

    none = 'none'
    delay = 'delay'
    silence = 'silence'
    one_way = 'one_way'


@define
class Proxy:
    """Passes connections on to one address.

    :ivar harm: done to the connections that are open, for as long as it is
        set; those that were silenced stay so for good.
    """

    listen: Address
    target: Address
    fault: ConnectionFault = ConnectionFault.none
    _writers: set[asyncio.StreamWriter] = field(factory=set)
    _silenced: set[asyncio.StreamWriter] = field(factory=set)
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        """Serve."""
        self._server = await asyncio.start_server(
            self._handle_connection, *self.listen
        )

    def reset(self) -> None:
        """Reset the connections that are open."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    def silence(self) -> None:
        """Pass nothing more on connections that are open, for good."""
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
            writer.transport.abort()
            upstream_writer.transport.abort()

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
