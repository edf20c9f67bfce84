"""Fake targets with scripted answers."""

import asyncio
import json

from attrs import define, field

from tests.gateway.documents import HOST, find_port
from trefoilhinge.platform.standins.formats import SEAL_HEADER
from trefoilhinge.standins.http_listener import serve_http


@define
class TargetStandIn:
    """A fake target with scripted answers.

    :ivar handle: coroutine that answers a request.
    :ivar requests: calls that were received, in order.
    :ivar orders: bodies of the orders that were received, in order.
    :ivar handle_order: coroutine that answers an order, if it is scripted.
    """

    name: str
    handle: object = None
    port: int = field(factory=find_port)
    requests: list = field(factory=list)
    orders: list = field(factory=list)
    handle_order: object = None
    gone: int = 0
    _server: object = None

    @property
    def address(self):
        return f'{HOST}:{self.port}'

    async def start(self):
        self._server = await serve_http(HOST, self.port, self._answer)

    async def stop(self):
        self._server.close()

    async def _answer(self, exchange):
        if exchange.path == '/order':
            self.orders.append(json.loads(exchange.body))
            if self.handle_order is not None:
                await self.handle_order(exchange)
                return
            await exchange.respond(200, b'{"free": 1}')
            return
        self.requests.append(exchange)
        await self.handle(exchange)


def make_event(number):
    """Return a stream event with a number."""
    return b'id: %d\ndata: words\n\n' % number


def stream(first=1, last=5, gap_s=0):
    """Return a handler that streams events, resuming where asked to."""

    async def handle(exchange):
        begin = int(exchange.headers.get('last-event-id', first - 1)) + 1
        await exchange.send_headers(
            200, [SEAL_HEADER, ('Content-Type', 'text/event-stream')]
        )
        for number in range(begin, last + 1):
            await exchange.send_body(make_event(number))
            await asyncio.sleep(gap_s)
        await exchange.end_response()

    return handle


def stream_truncated(last_complete):
    """Return a handler that aborts within the event after a number."""

    async def handle(exchange):
        await exchange.send_headers(200, [SEAL_HEADER])
        for number in range(1, last_complete + 1):
            await exchange.send_body(make_event(number))
        await exchange.send_body(b'id: %d\nda' % (last_complete + 1))
        exchange.writer.transport.abort()

    return handle


def reply(status, content=b'{}', headers=(SEAL_HEADER,)):
    """Return a handler that sends a complete answer."""

    async def handle(exchange):
        await exchange.respond(status, content, headers)

    return handle


async def reset(exchange):
    """Abort the connection without an answer."""
    exchange.writer.transport.abort()


async def never_answer(exchange):
    """Never answer."""
    await asyncio.sleep(60)


def send_without_end(begin, filler, sent=None):
    """Return a handler that sends bytes until its connection is closed.

    :param begin: bytes that are sent once, before the filler.
    :param sent: list that receives the number of bytes of each write.
    """

    async def handle(exchange):
        exchange.writer.write(begin)
        while True:
            exchange.writer.write(filler)
            if sent is not None:
                sent.append(len(filler))
            await exchange.writer.drain()
            await asyncio.sleep(0)

    return handle
