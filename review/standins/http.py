"""A small HTTP/1.1 server and client, written with the standard library."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field

READ_BYTES = 65_536
REASONS = {
    200: 'OK',
    202: 'Accepted',
    404: 'Not Found',
    409: 'Conflict',
    421: 'Misdirected Request',
    503: 'Service Unavailable',
}


@dataclass
class Exchange:
    """One request that a server received, and the connection it came on."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def respond(
        self, status: int, body: bytes = b'', headers: Mapping[str, str] = {}
    ) -> None:
        """Send a complete response."""
        fields = {'Content-Length': str(len(body)), **headers}
        self.writer.write(encode_head(status, fields) + body)
        await self.writer.drain()

    async def start_chunks(
        self, status: int, headers: Mapping[str, str]
    ) -> None:
        """Send the head of a response in chunks."""
        fields = {'Transfer-Encoding': 'chunked', **headers}
        self.writer.write(encode_head(status, fields))
        await self.writer.drain()

    async def send_chunk(self, content: bytes) -> None:
        """Send one chunk; an empty one ends the response."""
        self.writer.write(b'%x\r\n%s\r\n' % (len(content), content))
        await self.writer.drain()

    def reset(self) -> None:
        """End the connection at once."""
        self.writer.transport.abort()


def encode_head(status: int, headers: Mapping[str, str]) -> bytes:
    """Return the status line and headers of a response."""
    lines = [f'HTTP/1.1 {status} {REASONS.get(status, "Status")}']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers, names in lower case."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').rstrip().split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def serve(
    host: str, port: int, handle: Callable[[Exchange], Awaitable[None]]
) -> asyncio.Server:
    """Serve requests at an address, one after the other on a connection."""

    async def serve_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(' ')
                length = int(headers.get('content-length', 0))
                body = await reader.readexactly(length)
                exchange = Exchange(
                    method, target, headers, body, reader, writer
                )
                await handle(exchange)
                if headers.get('connection', '').lower() == 'close':
                    return
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    return await asyncio.start_server(serve_connection, host, port, backlog=512)


@dataclass
class Answer:
    """What a client received.

    ``problem`` says how an answer ended that is not complete.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''
    problem: str = ''


async def request(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: Mapping[str, str],
    body: bytes = b'',
    timeout_s: float = 15.0,
) -> Answer:
    """Send one request on a new connection and read the answer."""
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(encode_request(method, target, headers, body))
            await read_answer(reader, answer)
    except TimeoutError:
        answer.problem = 'timeout'
    except ConnectionRefusedError:
        answer.problem = 'refused connection'
    except (OSError, asyncio.IncompleteReadError) as problem:
        answer.problem = type(problem).__name__
    finally:
        if writer is not None:
            writer.transport.abort()
    return answer


def encode_request(
    method: str, target: str, headers: Mapping[str, str], body: bytes
) -> bytes:
    """Return the bytes of a request."""
    fields = dict(headers)
    if body:
        fields['Content-Length'] = str(len(body))
    lines = [f'{method} {target} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in fields.items()]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


async def read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    """Read a complete answer; what has arrived stays if it breaks off."""
    first, answer.headers = await read_head(reader)
    answer.status = int(first.split(' ')[1])
    if answer.headers.get('transfer-encoding') == 'chunked':
        while True:
            size = int((await reader.readuntil(b'\r\n')).strip(), 16)
            chunk = await reader.readexactly(size + 2)
            answer.body += chunk[:-2]
            if not size:
                return
    length = int(answer.headers.get('content-length', 0))
    answer.body = await reader.readexactly(length)
