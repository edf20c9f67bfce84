"""HTTP server for GETs of the platform, other instances and operators."""

import asyncio
from collections.abc import Callable

import h11
from attrs import frozen

from trefoilhinge.dispatch.settings import Address
from trefoilhinge.gateway.tcp import READ_BYTES, set_tcp_timeouts

IDLE_TIMEOUT_S = 20.0  # of a kept-alive connection
REQUEST_TIMEOUT_S = 5.0  # from the first byte of a request to its last
RECEIPT_TIMEOUT_S = 6.0  # longer than clients wait for a response
LISTEN_BACKLOG = 128


@frozen
class HttpResponse:
    """The response to a GET.

    :ivar on_received: called once the client has closed the connection, which
        it does after the whole response arrived.
    """

    status: int
    content: bytes = b''
    content_type: str = 'text/plain'
    on_received: Callable[[], None] | None = None


RequestHandler = Callable[[str], HttpResponse]


async def serve_http(
    address: Address, handler: RequestHandler
) -> asyncio.Server:
    """Serve GETs at an address.

    :param handler: returns the response for a path.
    """

    async def serve_connection(  # noqa: WPS430
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        set_tcp_timeouts(writer.transport)
        try:
            is_open = True
            while is_open:
                is_open = await _serve_request(reader, writer, handler)
        except (OSError, h11.ProtocolError):
            return
        finally:
            writer.close()

    return await asyncio.start_server(
        serve_connection, *address, backlog=LISTEN_BACKLOG
    )


async def _serve_request(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    handler: RequestHandler,
) -> bool:
    """Answer one request; return whether the connection stays open."""
    connection = h11.Connection(h11.SERVER)
    path = await _read_path(reader, connection)
    if path is None:
        return False
    response = handler(path)
    try:
        await _send_response(writer, connection, response)
        if response.on_received is None:
            return connection.our_state is h11.DONE
        # Data that was drained may still wait in the kernel's buffer.
        await _await_close(reader)
    finally:
        if response.on_received is not None:
            response.on_received()
    return False


async def _send_response(
    writer: asyncio.StreamWriter,
    connection: h11.Connection,
    response: HttpResponse,
) -> None:
    head = h11.Response(
        status_code=response.status,
        headers=[
            ('Content-Type', response.content_type),
            ('Content-Length', str(len(response.content))),
        ],
    )
    for event in (head, h11.Data(data=response.content), h11.EndOfMessage()):
        writer.write(connection.send(event) or b'')
    await writer.drain()


async def _await_close(reader: asyncio.StreamReader) -> None:
    async with asyncio.timeout(RECEIPT_TIMEOUT_S):
        await reader.read(1)


async def _read_path(
    reader: asyncio.StreamReader,
    connection: h11.Connection,
) -> str | None:
    """Return the path of the next request, ``None`` at the end of input."""
    path: str | None = None
    loop = asyncio.get_running_loop()
    latest_s = None
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            async with asyncio.timeout_at(
                latest_s or loop.time() + IDLE_TIMEOUT_S
            ):
                connection.receive_data(await reader.read(READ_BYTES))
            latest_s = latest_s or loop.time() + REQUEST_TIMEOUT_S
        elif isinstance(event, h11.Request):
            path = event.target.decode('latin-1')
        elif not isinstance(event, h11.Data):
            return path
