"""HTTP for stand-ins, each answer written by a test's coroutine."""

import asyncio

import h11
from attrs import define


async def serve_http(host, port, answer):
    """Serve with a coroutine that gets each request and a writer."""

    async def handle(reader, writer):
        parser = h11.Connection(h11.SERVER)
        request = None
        body = b''
        try:
            while True:
                event = parser.next_event()
                if event is h11.NEED_DATA:
                    parser.receive_data(await reader.read(65536))
                elif isinstance(event, h11.Request):
                    request, body = event, b''
                elif isinstance(event, h11.Data):
                    body += bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    await answer(Asked(request, body, parser, writer, reader))
                    if parser.our_state is not h11.DONE:
                        return
                    parser.start_next_cycle()
                else:
                    return
        except (OSError, h11.ProtocolError):
            return
        finally:
            writer.close()

    return await asyncio.start_server(handle, host, port)


@define
class Asked:
    """A request with the means to answer it."""

    request: h11.Request
    body: bytes
    parser: h11.Connection
    writer: asyncio.StreamWriter
    reader: asyncio.StreamReader

    @property
    def path(self):
        return self.request.target.decode()

    @property
    def headers(self):
        return {
            name.decode(): value.decode()
            for name, value in self.request.headers
        }

    async def reply(self, status, content=b'', headers=()):
        """Send a whole answer."""
        length = ('Content-Length', str(len(content)))
        await self.begin(status, [*headers, length])
        self.writer.write(self.parser.send(h11.Data(data=content)) or b'')
        await self.finish()

    async def begin(self, status, headers=()):
        """Send a head."""
        echo = ('X-Request-Id', self.headers.get('x-request-id', ''))
        event = h11.Response(status_code=status, headers=[echo, *headers])
        self.writer.write(self.parser.send(event))
        await self.writer.drain()

    async def send(self, content):
        """Send a part of the content."""
        self.writer.write(self.parser.send(h11.Data(data=content)))
        await self.writer.drain()

    async def finish(self):
        """End the answer."""
        self.writer.write(self.parser.send(h11.EndOfMessage()) or b'')
        await self.writer.drain()
