"""Stand-ins of targets, whose answers a test scripts."""

import asyncio
import json

from attrs import define, field

from tests.gateway.documents import HOST, find_port
from trefoilhinge.platform.standins.published import SEAL
from trefoilhinge.standins.listeners import serve_http


@define
class TargetStandIn:
    """A target whose answers a test scripts.

    :ivar behave: coroutine that answers an asked request.
    :ivar asked: requests that it got, in order.
    :ivar orders: bodies of its orders, in order.
    """

    name: str
    behave: object = None
    port: int = field(factory=find_port)
    requests: list = field(factory=list)
    orders: list = field(factory=list)
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
            await exchange.reply(200, b'{"free": 1}')
            return
        self.requests.append(exchange)
        await self.behave(exchange)


def write_event(number):
    """Return an event of a stream."""
    return b'id: %d\ndata: words\n\n' % number


def stream(first=1, last=5, pause_s=0):
    """Return a behaviour that streams events to its end."""

    async def behave(exchange):
        begin = int(exchange.headers.get('last-event-id', first - 1)) + 1
        await exchange.begin(200, [SEAL, ('Content-Type', 'text/event-stream')])
        for number in range(begin, last + 1):
            await exchange.send(write_event(number))
            await asyncio.sleep(pause_s)
        await exchange.finish()

    return behave


def stream_torn(upto):
    """Return a behaviour that breaks off inside the event after one."""

    async def behave(exchange):
        await exchange.begin(200, [SEAL])
        for number in range(1, upto + 1):
            await exchange.send(write_event(number))
        await exchange.send(b'id: %d\nda' % (upto + 1))
        exchange.writer.transport.abort()

    return behave


def reply(status, content=b'{}', headers=(SEAL,)):
    """Return a behaviour that answers whole."""

    async def behave(exchange):
        await exchange.reply(status, content, headers)

    return behave


async def reset(exchange):
    """Run the call and lose the answer."""
    exchange.writer.transport.abort()


async def stay_mute(exchange):
    """Never answer."""
    await asyncio.sleep(60)
