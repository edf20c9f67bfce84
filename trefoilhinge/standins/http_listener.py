"""Asyncio HTTP listener that passes each request to a coroutine."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable

import h11
from attrs import define

READ_SIZE_BYTES = 65_536

Header = tuple[str, str]


@define
class HttpExchange:
    """A request and the connection that its response is sent on."""

    request: h11.Request
    body: bytes
    parser: h11.Connection
    writer: asyncio.StreamWriter
    reader: asyncio.StreamReader

    @property
    def path(self) -> str:
        """Return the request target: path and query."""
        return bytes(self.request.target).decode()

    @property
    def headers(self) -> dict[str, str]:
        """Return the headers by lower-case name."""
        return {
            name.decode(): value.decode()
            for name, value in self.request.headers
        }

    async def respond(
        self,
        status: int,
        content: bytes = b'',
        headers: Iterable[Header] = (),
    ) -> None:
        """Send a complete response."""
        length = ('Content-Length', str(len(content)))
        await self.send_headers(status, [*headers, length])
        self._write(h11.Data(data=content))
        await self.end_response()

    async def send_headers(
        self, status: int, headers: Iterable[Header] = ()
    ) -> None:
        """Send the status and the headers, echoing ``X-Request-Id``."""
        echo = ('X-Request-Id', self.headers.get('x-request-id', ''))
        self._write(h11.Response(status_code=status, headers=[echo, *headers]))
        await self.writer.drain()

    async def send_body(self, content: bytes) -> None:
        """Send a part of the body."""
        self._write(h11.Data(data=content))
        await self.writer.drain()

    async def end_response(self) -> None:
        """End the response."""
        self._write(h11.EndOfMessage())
        await self.writer.drain()

    def _write(self, event: h11.Event) -> None:
        self.writer.write(self.parser.send(event) or b'')


Handler = Callable[[HttpExchange], Awaitable[None]]


async def serve_http(host: str, port: int, handler: Handler) -> asyncio.Server:
    """Listen on an address and call a coroutine for each request."""

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
    """Read a request and its body; none once the connection is closed."""
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
