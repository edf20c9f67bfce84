"""HTTP client that sends one request on each connection."""

import asyncio
from collections.abc import Callable, Mapping
from typing import cast

import h11
from attrs import define, field, frozen

from trefoilhinge.dispatch.settings import Address
from trefoilhinge.exceptions import TrefoilhingeError
from trefoilhinge.gateway.response_framing import (
    MAXIMUM_FRAMING_BYTES,
    ResponseFraming,
)
from trefoilhinge.gateway.tcp import READ_BYTES, open_tcp_connection

# A list of all targets or several documents in one response.
MAXIMUM_RESPONSE_BYTES = 33_554_432
MAXIMUM_INTERIM_RESPONSES = 16  # before the head of a response
CONNECT_TIMEOUT_S = 1.0  # a reachable machine accepts within milliseconds


class FetchFailed(TrefoilhingeError):
    """No complete response arrived; the message says why."""


class ConnectionCut(FetchFailed):
    """The connection ended after the request and before the response."""


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
    maximum_bytes: int | None = None,
    on_data: Callable[[], None] | None = None,
) -> FetchedResponse:
    """Send a GET, or a POST with a JSON body, and read the response.

    :param timeout_s: limit on connecting, sending and reading together.
    :param body: JSON to post, ``None`` for a GET.
    :param silence_timeout_s: limit on connecting, and on each wait for data;
        ``None`` for no other limit than ``timeout_s``.
    :param maximum_bytes: limit on the content, ``None`` for
        ``MAXIMUM_RESPONSE_BYTES``.
    :param on_data: called when data arrives, ``None`` for nothing.
    :raises ConnectionCut: the connection ended before the response did.
    :raises FetchFailed: no complete response arrived within the limit.
    """
    try:
        async with asyncio.timeout(timeout_s):
            return await _exchange(
                address,
                path,
                body,
                _ResponseReader(
                    silence_timeout_s or timeout_s,
                    maximum_bytes or MAXIMUM_RESPONSE_BYTES,
                    on_data,
                ),
            )
    except (OSError, h11.ProtocolError) as problem:
        kind = type(problem).__name__
        raise FetchFailed(f'{kind}: {problem}') from problem


async def _exchange(
    address: Address,
    path: str,
    body: bytes | None,
    response: '_ResponseReader',
) -> FetchedResponse:
    reader, writer = await open_tcp_connection(
        address, min(CONNECT_TIMEOUT_S, response.silence_timeout_s)
    )
    try:
        writer.write(_encode(address, path, body))
        return await response.read(reader)
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


@define
class _ResponseReader:
    """Reads one response within its limits.

    :ivar silence_timeout_s: limit on each wait for data.
    :ivar maximum_bytes: limit on the content.
    :ivar on_data: called when data arrives.
    """

    silence_timeout_s: float
    maximum_bytes: int
    on_data: Callable[[], None] | None = None
    _parser: h11.Connection = field(factory=lambda: h11.Connection(h11.CLIENT))
    _status: int = 0
    _headers: dict[str, str] = field(factory=dict)
    _content: bytearray = field(factory=bytearray)
    _interim_responses: int = 0
    _framing: ResponseFraming = field(factory=ResponseFraming)
    _read_bytes: int = 0

    async def read(self, reader: asyncio.StreamReader) -> FetchedResponse:
        """Read the response to its end.

        :raises FetchFailed: it ends early or exceeds a limit.
        """
        # h11 reads a response only after a request was passed through it.
        sent = h11.Request(method='GET', target='/', headers=[('Host', '-')])
        self._parser.send(sent)
        self._parser.send(h11.EndOfMessage())
        event = await self._read_event(reader)
        while not isinstance(event, h11.EndOfMessage):
            self._apply_event(event)
            read_bytes = self._read_bytes
            event = await self._read_event(reader)
            read_bytes = self._read_bytes - read_bytes
            if self._framing.is_exceeded(event, read_bytes):
                raise FetchFailed(
                    f'framing is longer than {MAXIMUM_FRAMING_BYTES} bytes'
                )
        return FetchedResponse(
            self._status, bytes(self._content), self._headers
        )

    def _apply_event(self, event: h11.Event) -> None:
        if isinstance(event, h11.Response):
            self._status = event.status_code
            self._headers = {
                name.decode('latin-1'): text.decode('latin-1')
                for name, text in event.headers
            }
        elif isinstance(event, h11.Data):
            self._content += event.data
            if len(self._content) > self.maximum_bytes:
                raise FetchFailed(
                    f'content is longer than {self.maximum_bytes} bytes'
                )
        elif isinstance(event, h11.InformationalResponse):
            self._interim_responses += 1
            if self._interim_responses > MAXIMUM_INTERIM_RESPONSES:
                raise FetchFailed(
                    f'over {MAXIMUM_INTERIM_RESPONSES} interim responses'
                )

    async def _read_event(self, reader: asyncio.StreamReader) -> h11.Event:
        event = self._parser.next_event()
        while event is h11.NEED_DATA:
            received = await self._receive(reader)
            self._parser.receive_data(received)
            self._read_bytes += len(received)
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as problem:
                if received:
                    raise
                raise ConnectionCut(
                    'connection closed before the end of the response'
                ) from problem
        return cast(h11.Event, event)

    async def _receive(self, reader: asyncio.StreamReader) -> bytes:
        try:
            async with asyncio.timeout(self.silence_timeout_s):
                received = await reader.read(READ_BYTES)
        except ConnectionError as problem:
            raise ConnectionCut(
                f'{type(problem).__name__}: {problem}'
            ) from problem
        if received and self.on_data is not None:
            self.on_data()
        return received
