"""Clients that nobody controls, many at a time."""

import asyncio
import contextlib

import h11
from attrs import define, field

from tests.gateway.fleets import make_call

WRITE_BYTES = 65_536
# Time for a crowd to send what the process takes of it.
SEND_LIMIT_S = 6
READ_LIMIT_S = 12  # for refusals of those that wait for them


@define
class Client:
    """One client on one connection.

    :ivar received: all bytes of the answer.
    :ivar is_sent: whether everything was sent.
    :ivar is_ended: whether the other side has ended the connection.
    :ivar is_reset: whether the connection was reset.
    """

    received: bytearray = field(factory=bytearray)
    is_sent: bool = False
    is_ended: bool = False
    is_reset: bool = False
    _reader: asyncio.StreamReader | None = None
    _writer: asyncio.StreamWriter | None = None
    _reading: asyncio.Task | None = None

    @property
    def status(self):
        """Return the status of a complete answer, zero if there is none."""
        parser = h11.Connection(h11.CLIENT)
        parser.send(
            h11.Request(method='GET', target='/', headers=[('Host', 'h')])
        )
        parser.send(h11.EndOfMessage())
        parser.receive_data(bytes(self.received))
        status = 0
        with contextlib.suppress(h11.RemoteProtocolError):
            while True:
                event = parser.next_event()
                if isinstance(event, h11.Response):
                    status = event.status_code
                elif isinstance(event, h11.EndOfMessage):
                    return status
                elif event is h11.NEED_DATA or not isinstance(
                    event, (h11.Data, h11.InformationalResponse)
                ):
                    return 0
        return 0

    async def send(self, address, pieces):
        """Connect, and send pieces until the other side takes no more."""
        try:
            self._reader, self._writer = await asyncio.open_connection(
                *address, limit=WRITE_BYTES
            )
            self._reading = asyncio.ensure_future(self._read())
            for piece in pieces:
                for begin in range(0, len(piece), WRITE_BYTES):
                    self._writer.write(piece[begin : begin + WRITE_BYTES])
                    await self._writer.drain()
        except OSError:
            self.is_reset = True
            return
        self.is_sent = True

    async def _read(self):
        try:
            while data := await self._reader.read(WRITE_BYTES):
                self.received += data
        except OSError:
            self.is_reset = True
        self.is_ended = True

    def close(self):
        if self._reading is not None:
            self._reading.cancel()
        if self._writer is not None:
            self._writer.transport.abort()


@contextlib.asynccontextmanager
async def run_crowd(address, count, make_pieces, limit_s=SEND_LIMIT_S):
    """Run clients that stay connected; yield them once they have sent.

    :param make_pieces: returns the pieces that a client of a number sends.
    :param limit_s: how long they may take to send, in seconds.
    """
    clients = [Client() for _ in range(count)]
    tasks = [
        asyncio.ensure_future(client.send(address, make_pieces(number)))
        for number, client in enumerate(clients)
    ]
    try:
        await asyncio.wait(tasks, timeout=limit_s)
        yield clients
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for client in clients:
            client.close()


async def wait_for_ends(clients, limit_s=READ_LIMIT_S):
    """Wait until all connections have ended, for a time."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(limit_s):
            while not all(client.is_ended for client in clients):
                await asyncio.sleep(0.05)


def make_head(number, path='/book/1', **headers):
    """Return the head of a request without a length."""
    named = {'X_Request_Id': f'crowd-{number}', 'X_Deadline': '60000'}
    call = make_call(path, 'GET', **{**named, **headers})
    return call.replace(b'GET', b'POST', 1)


def add_length(head, length):
    """Return a head that announces a length."""
    return head[:-2] + b'Content-Length: %d\r\n\r\n' % length


def make_whole(length, sent=None, **headers):
    """Return a factory of requests with a length.

    :param sent: bytes of the body that are sent; all but one by default.
    """
    body = b'.' * (length - 1 if sent is None else sent)
    return lambda number: [
        add_length(make_head(number, **headers), length) + body
    ]


def make_chunked(chunk, count, end=b'', **headers):
    """Return a factory of requests in chunks that have no last chunk."""
    content = (b'%x\r\n%b\r\n' % (len(chunk), chunk)) * count + end
    headers = {'Transfer_Encoding': 'chunked', **headers}
    return lambda number: [make_head(number, **headers), content]


def repeat_forever(piece):
    """Yield a piece without end."""
    while True:
        yield piece
