"""HTTP listeners of stand-ins: each request goes to a coroutine."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable

import h11
from attrs import define

READ_SIZE_BYTES = 65_536

Header = tuple[str, str]


@define
class HttpExchange:
    """A request with the means to answer it."""

    request: h11.Request
    body: bytes
    parser: h11.Connection
    writer: asyncio.StreamWriter
    reader: asyncio.StreamReader

    @property
    def path(self) -> str:
        """Return the request's target."""
        return bytes(self.request.target).decode()

    @property
    def headers(self) -> dict[str, str]:
        """Return the headers, their names in lower case."""
        return {
            name.decode(): value.decode()
            for name, value in self.request.headers
        }

    async def reply(
        self,
        status: int,
        content: bytes = b'',
        headers: Iterable[Header] = (),
    ) -> None:
        """Send a whole answer."""
        length = ('Content-Length', str(len(content)))
        await self.begin(status, [*headers, length])
        self._write(h11.Data(data=content))
        await self.finish()

    async def begin(self, status: int, headers: Iterable[Header] = ()) -> None:
        """Send a head; the request's identifier is echoed."""
        echo = ('X-Request-Id', self.headers.get('x-request-id', ''))
        self._write(h11.Response(status_code=status, headers=[echo, *headers]))
        await self.writer.drain()

    async def send(self, content: bytes) -> None:
        """Send a part of the content."""
        self._write(h11.Data(data=content))
        await self.writer.drain()

    async def finish(self) -> None:
        """End the answer."""
        self._write(h11.EndOfMessage())
        await self.writer.drain()

    def _write(self, event: h11.Event) -> None:
        self.writer.write(self.parser.send(event) or b'')


Handler = Callable[[HttpExchange], Awaitable[None]]


async def serve_http(host: str, port: int, handler: Handler) -> asyncio.Server:
    """Serve with a coroutine that gets each request."""

    async def serve_connection(  # noqa: WPS430
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await _serve_requests(reader, writer, handler)
        except (OSError, h11.ProtocolError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    return await asyncio.start_server(serve_connection, host, port)


async def _serve_requests(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    handler: Handler,
) -> None:
    parser = h11.Connection(h11.SERVER)
    while True:
        request, body = await _read_request(parser, reader)
        if request is None:
            return
        await handler(HttpExchange(request, body, parser, writer, reader))
        if parser.our_state is not h11.DONE:
            return
        parser.start_next_cycle()


async def _read_request(
    parser: h11.Connection, reader: asyncio.StreamReader
) -> tuple[h11.Request | None, bytes]:
    request = None
    body = bytearray()
    while True:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            parser.receive_data(await reader.read(READ_SIZE_BYTES))
        elif isinstance(event, h11.Request):
            request = event
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            return request, bytes(body)
        else:
            return None, b''
