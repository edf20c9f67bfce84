"""HTTP requests with urllib3, whose own retries are disabled."""

import functools
import json
import time
from collections.abc import Callable, Mapping
from typing import Any

import cattrs
import urllib3

from trefoilhinge.targets.abortable_connections import (
    AbortableConnection,
    NonBlockingResponse,
)
from trefoilhinge.targets.checked_responses import (
    CheckedHttpConnection,
    CheckedPoolManager,
)
from trefoilhinge.targets.exceptions import TargetBroke, TargetNotReached

CONNECT_TIMEOUT_S = 1.0
POOL_SIZE = 64
READ_SIZE_BYTES = 65_536
MAXIMUM_JSON_BYTES = 8_388_608  # of a report or a list
# Of the state of a stream or the answer to an order, of which many calls wait
# for one at a time.
MAXIMUM_STATE_BYTES = 65_536
# Socket time-outs end this long after the deadline, at which the thread of the
# call aborts the request itself.
DEADLINE_MARGIN_S = 1.0
# Raised when the JSON of a response does not have the expected form.
PARSE_ERRORS = (
    cattrs.BaseValidationError,
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
)
# Using a connection that another thread closed raises AttributeError.
CONNECTION_ERRORS = (
    urllib3.exceptions.HTTPError,
    OSError,
    ValueError,
    AttributeError,
)


def _ignore(count: int) -> None:
    """Count nothing."""


def make_pool(ca_file: str = '') -> urllib3.PoolManager:
    """Return a connection pool that never retries a request.

    :param ca_file: PEM file of certificate authorities to verify servers
        with; empty uses the authorities of the system.
    """
    return CheckedPoolManager(
        num_pools=POOL_SIZE,
        maxsize=POOL_SIZE,
        retries=False,
        ca_certs=ca_file or None,
    )


class AbortableHttpConnection(CheckedHttpConnection):
    """HTTP connection whose socket another thread can shut down."""

    def __init__(
        self,
        *arguments: Any,
        connection: AbortableConnection,
        remaining_s: float,
        **options: Any,
    ) -> None:
        """Store the abortable connection and the seconds until the deadline."""
        super().__init__(*arguments, **options)
        self._abortable_connection = connection
        self._remaining_s = remaining_s

    def connect(self) -> None:
        """Connect; only the deadline bounds the sending that follows."""
        super().connect()
        # urllib3 would send with the time-out of connecting.
        self.sock.settimeout(self._remaining_s)
        self.response_class = functools.partial(  # type: ignore[assignment]
            NonBlockingResponse,
            self._abortable_connection,
        )
        self._abortable_connection.attach_socket(self.sock)


class AbortableHttpsConnection(
    AbortableHttpConnection,
    urllib3.connection.HTTPSConnection,
):
    """HTTPS connection whose socket another thread can shut down."""


class SingleConnectionPool(urllib3.HTTPConnectionPool):
    """Pool of exactly one new connection."""

    ConnectionCls = AbortableHttpConnection


class SingleTlsConnectionPool(urllib3.HTTPSConnectionPool):
    """Pool of exactly one new TLS connection."""

    ConnectionCls = AbortableHttpsConnection


def send_request(
    method: str,
    address: str,
    path: str,
    body: bytes,
    headers: Mapping[str, str],
    remaining_s: float,
    connection: AbortableConnection,
    ca_file: str = '',
) -> urllib3.BaseHTTPResponse:
    """Send a request on a new connection and return its response.

    :param address: ``host:port`` of the target.
    :param remaining_s: seconds until the deadline.
    :param connection: aborts the request from another thread.
    :param ca_file: PEM file of certificate authorities to verify the server
        with; empty connects without TLS.
    :return: response whose body has not been read.
    :raises TargetNotReached: no connection was established, so nothing was
        sent.
    :raises TargetBroke: the connection broke after bytes may have been sent.
    """
    if remaining_s <= 0 or connection.closed:
        raise TargetNotReached(
            f'the call to {address} was aborted or its deadline passed '
            f'before it was sent, with {remaining_s:.3f} s remaining'
        )
    pool = _make_connection_pool(
        address,
        ca_file,
        connection=connection,
        remaining_s=remaining_s + DEADLINE_MARGIN_S,
    )
    timeout = urllib3.Timeout(
        connect=min(CONNECT_TIMEOUT_S, remaining_s),
        # The thread of the call aborts it at the deadline, which is earlier.
        read=remaining_s + DEADLINE_MARGIN_S,
    )
    try:
        return pool.urlopen(
            method,
            path,
            body=body or None,
            headers={**headers, 'Connection': 'close'},
            timeout=timeout,
            preload_content=False,
            redirect=False,
            retries=False,
        )
    except (
        urllib3.exceptions.NewConnectionError,
        urllib3.exceptions.ConnectTimeoutError,
    ) as error:
        raise TargetNotReached(str(error)) from error
    except CONNECTION_ERRORS as error:
        raise TargetBroke(str(error)) from error


def _make_connection_pool(
    address: str,
    ca_file: str,
    **options: Any,
) -> urllib3.HTTPConnectionPool:
    host, _, port = address.rpartition(':')
    if not ca_file:
        return SingleConnectionPool(host.strip('[]'), int(port), **options)
    return SingleTlsConnectionPool(
        host.strip('[]'),
        int(port),
        ca_certs=ca_file,
        **options,
    )


def read_content(
    response: urllib3.BaseHTTPResponse,
    latest_s: float,
    maximum_bytes: int,
    hold: Callable[[int], None] = _ignore,
) -> bytes:
    """Read the content of a response to its end.

    A limit on each wait for data would never end a response of which a byte
    arrives now and then.

    :param latest_s: monotonic seconds by which it has to be complete.
    :param hold: called with the number of bytes that are kept, and with zero at
        the end; raises ``TargetBroke`` to give the content up.
    :raises TargetBroke: it is longer than ``maximum_bytes`` or not complete
        in time.
    """
    content = bytearray()
    while chunk := response.read1(READ_SIZE_BYTES):
        hold(len(chunk))
        content += chunk
        if len(content) > maximum_bytes:
            raise TargetBroke(f'content is longer than {maximum_bytes} bytes')
        if time.monotonic() > latest_s:
            raise TargetBroke('content is not complete in time')
    hold(0)
    return bytes(content)


def request_json(
    pool: urllib3.PoolManager,
    method: str,
    url: str,
    body: Mapping[str, Any] | None,
    headers: Mapping[str, str],
    timeout_s: float,
    maximum_bytes: int = MAXIMUM_JSON_BYTES,
) -> Mapping[str, Any] | None:
    """Send a JSON request and return the JSON object of its response.

    :param body: fields of the JSON body, ``None`` to send none.
    :param timeout_s: seconds to wait for the response.
    :param maximum_bytes: limit on the content of the response.
    :return: ``None`` if the request failed, the status is 500 or above, or
        the response holds no JSON object.
    """
    latest_s = time.monotonic() + timeout_s
    try:
        response = pool.request(
            method,
            url,
            body=None if body is None else json.dumps(body).encode(),
            headers={**headers, 'Content-Type': 'application/json'},
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s),
            redirect=False,
            retries=False,
            preload_content=False,
        )
        content = _read_and_release(response, latest_s, maximum_bytes)
        fields = json.loads(content)
    except CONNECTION_ERRORS:
        return None
    except (RecursionError, TargetBroke):
        return None
    if response.status >= 500 or not isinstance(fields, dict):
        return None
    return fields


def request_json_once(
    method: str,
    url: str,
    body: Mapping[str, Any] | None,
    headers: Mapping[str, str],
    timeout_s: float,
) -> Mapping[str, Any] | None:
    """Send a JSON request on a connection of its own.

    Its response is short: the state of a stream, or the answer to an order.

    A kept connection may deliver a late copy of the answer to an earlier
    request, which nothing in it tells from the answer to this one.

    :param timeout_s: seconds for the whole exchange.
    :return: as of ``request_json``.
    """
    with make_pool() as pool:
        return request_json(
            pool, method, url, body, headers, timeout_s, MAXIMUM_STATE_BYTES
        )


def _read_and_release(
    response: urllib3.BaseHTTPResponse, latest_s: float, maximum_bytes: int
) -> bytes:
    try:
        content = read_content(response, latest_s, maximum_bytes)
    except BaseException:
        response.close()
        raise
    response.release_conn()
    return content


def parse_retry_after_s(response: urllib3.BaseHTTPResponse) -> float | None:
    """Return the seconds of the ``Retry-After`` header.

    :return: ``None`` if the header is absent or not a number.
    """
    text = response.headers.get('Retry-After', '')
    try:
        return max(0, float(text))
    except ValueError:
        return None
