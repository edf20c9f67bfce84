"""Targets and peers whose answers break off after a number of bytes."""

import asyncio
import contextlib
from collections import Counter

from attrs import define, field

from tests.gateway.documents import HOST, find_port
from tests.gateway.targets import SEAL_HEADER
from trefoilhinge.gateway.tcp import reset_tcp_connection

CUT_HEADER = 'X-Cut'
REQUEST_ID = b'r-0000'  # replaced in answers, without a change of length


async def close(reader, writer):
    """Close a connection."""
    writer.close()


async def half_close(reader, writer):
    """Close a connection in one direction, until the instance closes it."""
    writer.write_eof()
    await fall_silent(reader, writer)


async def reset(reader, writer):
    """Reset a connection, once what was sent has arrived."""
    await asyncio.sleep(0.002)
    reset_tcp_connection(writer.transport)


async def fall_silent(reader, writer):
    """Keep a connection until the instance closes it."""
    with contextlib.suppress(OSError):
        while await reader.read(65_536):
            continue


def make_request_id(number):
    """Return an identifier as long as the one that answers have."""
    return f'r-{number:04}'


@define
class BrokenTarget:
    """Sends as much of an answer as each call's header says, then ends it.

    A call without that header gets a whole answer of another kind.

    :ivar sent: number of requests of each call that were answered in part.
    :ivar reused: those of them on a connection that carried a call before.
    """

    content: bytes
    end: object = close
    sent: Counter = field(factory=Counter)
    reused: Counter = field(factory=Counter)
    _connections: set = field(factory=set)

    async def handle(self, exchange):
        """Answer a call."""
        cut = exchange.headers.get(CUT_HEADER.lower())
        is_reused = exchange.writer in self._connections
        self._connections.add(exchange.writer)
        if cut is None:
            await exchange.respond(200, b'yes', [SEAL_HEADER])
            return
        request_id = exchange.headers['x-request-id']
        self.sent[request_id] += 1
        self.reused[request_id] += is_reused
        content = self.content.replace(REQUEST_ID, request_id.encode())
        exchange.writer.write(content[: int(cut)])
        await exchange.writer.drain()
        await self.end(exchange.reader, exchange.writer)


@define
class BrokenPeer:
    """Asks for the body of each call, and sends a part of an answer.

    :ivar cut: number of bytes that are sent.
    :ivar sent: number of calls that were answered in part.
    """

    content: bytes
    end: object = close
    cut: int = 0
    sent: int = 0
    port: int = field(factory=find_port)

    @property
    def address(self):
        return f'{HOST}:{self.port}'

    async def serve(self, reader, writer):
        """Serve one connection."""
        head = await reader.readuntil(b'\r\n\r\n')
        fields = dict(
            line.split(b': ', 1) for line in head.lower().split(b'\r\n')[1:-2]
        )
        writer.write(b'HTTP/1.1 100 Continue\r\n\r\n')
        await reader.readexactly(int(fields[b'content-length']))
        self.sent += 1
        content = self.content.replace(REQUEST_ID, fields[b'x-request-id'])
        writer.write(content[: self.cut])
        await writer.drain()
        await self.end(reader, writer)
        writer.close()


@contextlib.asynccontextmanager
async def run_peer(peer):
    """Run a peer whose answers are broken."""
    server = await asyncio.start_server(peer.serve, HOST, peer.port)
    try:
        yield peer
    finally:
        server.close()
