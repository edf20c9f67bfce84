"""Stand-ins of targets, whose answers a test scripts."""

import asyncio
import json

from attrs import define, field

from tests.gateway.documents import HOST, find_port
from trefoilhinge.platform.standins.formats import SEAL_HEADER
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
    asked: list = field(factory=list)
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

    async def _answer(self, asked):
        if asked.path == '/order':
            self.orders.append(json.loads(asked.body))
            await asked.reply(200, b'{"free": 1}')
            return
        self.asked.append(asked)
        await self.behave(asked)


def write_event(number):
    """Return an event of a stream."""
    return b'id: %d\ndata: words\n\n' % number


def stream(first=1, last=5, pause_s=0):
    """Return a behaviour that streams events to its end."""

    async def behave(asked):
        begin = int(asked.headers.get('last-event-id', first - 1)) + 1
        await asked.begin(
            200, [SEAL_HEADER, ('Content-Type', 'text/event-stream')]
        )
        for number in range(begin, last + 1):
            await asked.send(write_event(number))
            await asyncio.sleep(pause_s)
        await asked.finish()

    return behave


def stream_torn(upto):
    """Return a behaviour that breaks off inside the event after one."""

    async def behave(asked):
        await asked.begin(200, [SEAL_HEADER])
        for number in range(1, upto + 1):
            await asked.send(write_event(number))
        await asked.send(b'id: %d\nda' % (upto + 1))
        asked.writer.transport.abort()

    return behave


def reply(status, content=b'{}', headers=(SEAL_HEADER,)):
    """Return a behaviour that answers whole."""

    async def behave(asked):
        await asked.reply(status, content, headers)

    return behave


async def reset(asked):
    """Run the call and lose the answer."""
    asked.writer.transport.abort()


async def stay_mute(asked):
    """Never answer."""
    await asyncio.sleep(60)
