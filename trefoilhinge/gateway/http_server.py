"""HTTP server for GETs of the platform, other instances and operators."""

import asyncio
import socket
from collections.abc import Callable

import h11
from attrs import define, field, frozen

from trefoilhinge.dispatch.settings import Address
from trefoilhinge.gateway.connection_table import (
    ConnectionTable,
    make_unbounded_table,
)
from trefoilhinge.gateway.listeners import CallerListener, listen
from trefoilhinge.gateway.tcp import READ_BYTES, set_tcp_timeouts

IDLE_TIMEOUT_S = 20.0  # of a kept-alive connection
REQUEST_TIMEOUT_S = 5.0  # from the first byte of a request to its last
RECEIPT_TIMEOUT_S = 6.0  # longer than clients wait for a response


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


@define(eq=False)
class ServedConnection:
    """A connection of the platform, an instance or an operator."""

    _writer: asyncio.StreamWriter

    def make_room(self) -> None:
        """Close the connection in favour of another one."""
        self._writer.close()

    def close_refused(self) -> None:
        """Close the connection, whose request was refused."""
        self._writer.close()


@define(eq=False)
class HttpServer:
    """Serves GETs on a bounded number of connections.

    A request takes no time, so that a new connection can take the place of any
    other.
    """

    _handler: RequestHandler
    _table: ConnectionTable[ServedConnection]
    _listener: CallerListener = field(init=False)

    @property
    def sockets(self) -> tuple[socket.socket, ...]:
        """Return the sockets that listen."""
        return (self._listener.listening,)

    def start(self, address: Address) -> None:
        """Serve at an address.

        :raises OSError: the address is in use.
        """
        self._listener = listen(address, self._serve, self._table)
        self._listener.start()

    def close(self) -> None:
        """Accept no further connections."""
        self._listener.stop()

    def report(self) -> bool:
        """Write how many connections found no room since the last report."""
        return self._table.report()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        set_tcp_timeouts(writer.transport)
        connection = ServedConnection(writer)
        self._table.add(connection)
        try:
            is_open = True
            while is_open:
                is_open = await _serve_request(reader, writer, self._handler)
        except (OSError, h11.ProtocolError):
            return
        finally:
            self._table.remove(connection)
            writer.close()


async def serve_http(
    address: Address,
    handler: RequestHandler,
    table: ConnectionTable[ServedConnection] | None = None,
) -> HttpServer:
    """Serve GETs at an address.

    :param handler: returns the response for a path.
    :param table: bounds the connections; none for no bound.
    """
    # An empty table is false.
    if table is None:
        table = make_unbounded_table()
    server = HttpServer(handler, table)
    server.start(address)
    return server


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


def _refuse_body(request: h11.Request) -> None:
    """Refuse a request with a body, which would be read for nothing.

    :raises h11.RemoteProtocolError: it has one.
    """
    for name, value in request.headers:
        has_length = name == b'content-length' and value != b'0'
        if has_length or name == b'transfer-encoding':
            raise h11.RemoteProtocolError('a GET has no body')


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
            _refuse_body(event)
            path = event.target.decode('latin-1')
        elif not isinstance(event, h11.Data):
            return path
