"""Fake instances on other loopback addresses."""

import asyncio
import socket

from attrs import define

from tests.gateway.documents import HOST
from trefoilhinge.dispatch.message_codec import encode_message
from trefoilhinge.dispatch.peers import Heartbeat
from trefoilhinge.standins.http_listener import serve_http


@define
class PeerStandIn:
    """A fake instance that announces a document and serves it.

    :ivar handle: coroutine that answers a request for the document.
    :ivar requests: number of requests that were received.
    """

    ip: str
    port: int
    handle: object
    requests: int = 0
    _server: object = None

    async def start(self):
        self._server = await serve_http(self.ip, self.port, self._answer)

    def stop(self):
        self._server.close()

    def send_heartbeat(self, version, revision=1):
        """Announce a document version to the instance under test."""
        heartbeat = Heartbeat(
            ip=self.ip,
            origin=f'{self.ip}/1',
            failure_domain='a',
            version=version,
            revision=revision,
            store_unreachable=False,
            known_peers=(),
        )
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.sendto(encode_message(heartbeat), (HOST, self.port))

    async def _answer(self, exchange):
        self.requests += 1
        await self.handle(exchange)


async def stall(exchange):
    """Accept a request and send nothing."""
    await asyncio.sleep(60)


async def answer_not_found(exchange):
    """Answer as an instance that has no document."""
    await exchange.respond(404)


def send(content):
    """Return a handler that sends a content."""

    async def handle(exchange):
        await exchange.respond(200, content)

    return handle
