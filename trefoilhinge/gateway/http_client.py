"""HTTP client that sends one request on each connection."""

import asyncio
from collections.abc import Mapping
from typing import cast

import h11
from attrs import field, frozen

from trefoilhinge.dispatch.settings import Address
from trefoilhinge.exceptions import TrefoilhingeError
from trefoilhinge.gateway.tcp import READ_BYTES, open_tcp_connection

CONNECT_TIMEOUT_S = 1.0  # a reachable machine accepts within milliseconds


class FetchFailed(TrefoilhingeError):
    """No complete response arrived; the message says why."""


@frozen
class FetchedResponse:
    """A complete response.

    :ivar headers: values by lower-case name.
    """

    status: int
    content: bytes
    headers: Mapping[str, str] = field(factory=dict)


async def fetch(
    address: Address,
    path: str,
    timeout_s: float,
    body: bytes | None = None,
    silence_timeout_s: float | None = None,
) -> FetchedResponse:
    """Send a GET, or a POST with a JSON body, and read the response.

    :param timeout_s: limit on connecting, sending and reading together.
    :param body: JSON to post, ``None`` for a GET.
    :param silence_timeout_s: limit on connecting, and on each wait for data;
        ``None`` for no other limit than ``timeout_s``.
    :raises FetchFailed: no complete response arrived within the limit.
    """
    try:
        async with asyncio.timeout(timeout_s):
            return await _exchange(
                address, path, silence_timeout_s or timeout_s, body
            )
    except (OSError, h11.ProtocolError) as problem:
        kind = type(problem).__name__
        raise FetchFailed(f'{kind}: {problem}') from problem


async def _exchange(
    address: Address,
    path: str,
    silence_timeout_s: float,
    body: bytes | None,
) -> FetchedResponse:
    reader, writer = await open_tcp_connection(
        address, min(CONNECT_TIMEOUT_S, silence_timeout_s)
    )
    try:
        writer.write(_encode(address, path, body))
        return await _read(reader, silence_timeout_s)
    finally:
        writer.transport.abort()


def _encode(address: Address, path: str, body: bytes | None) -> bytes:
    connection = h11.Connection(h11.CLIENT)
    headers = [('Host', f'{address[0]}:{address[1]}'), ('Connection', 'close')]
    if body is not None:
        headers.append(('Content-Type', 'application/json'))
        headers.append(('Content-Length', str(len(body))))
    request = h11.Request(
        method='GET' if body is None else 'POST',
        target=path,
        headers=headers,
    )
    data = connection.send(request) or b''
    return data + (body or b'')


async def _read(
    reader: asyncio.StreamReader, silence_timeout_s: float
) -> FetchedResponse:
    connection = h11.Connection(h11.CLIENT)
    # h11 reads a response only after a request was passed through it.
    sent = h11.Request(method='GET', target='/', headers=[('Host', '-')])
    connection.send(sent)
    connection.send(h11.EndOfMessage())
    status = 0
    headers: dict[str, str] = {}
    content = bytearray()
    event = await _read_event(reader, connection, silence_timeout_s)
    while not isinstance(event, h11.EndOfMessage):
        if isinstance(event, h11.Response):
            status = event.status_code
            headers = {
                name.decode('latin-1'): text.decode('latin-1')
                for name, text in event.headers
            }
        elif isinstance(event, h11.Data):
            content += event.data
        event = await _read_event(reader, connection, silence_timeout_s)
    return FetchedResponse(status, bytes(content), headers)


async def _read_event(
    reader: asyncio.StreamReader,
    connection: h11.Connection,
    silence_timeout_s: float,
) -> h11.Event:
    event = connection.next_event()
    while event is h11.NEED_DATA:
        async with asyncio.timeout(silence_timeout_s):
            connection.receive_data(await reader.read(READ_BYTES))
        event = connection.next_event()
    if isinstance(event, h11.ConnectionClosed):
        raise FetchFailed('connection closed before the end of the response')
    return cast(h11.Event, event)
