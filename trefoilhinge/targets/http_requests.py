"""Connections by urllib3, with every retry of the library switched off."""

import functools
import json
from collections.abc import Mapping
from typing import Any

import cattrs
import urllib3

from trefoilhinge.targets.abortable_connections import (
    AbortableConnection,
    NonBlockingResponse,
)
from trefoilhinge.targets.exceptions import TargetBroke, TargetNotReached

CONNECT_TIMEOUT_S = 1.0
POOL_SIZE = 64
DEADLINE_MARGIN_S = 1.0
# What reading an answer raises where its JSON is not of the expected form.
PARSE_ERRORS = (
    cattrs.BaseValidationError,
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
)
# A connection that another thread closed shows as AttributeError.
CONNECTION_ERRORS = (
    urllib3.exceptions.HTTPError,
    OSError,
    ValueError,
    AttributeError,
)


def make_pool(ca_file: str = '') -> urllib3.PoolManager:
    """Return a pool that never repeats a request by itself.

    :param authorities: file with the authorities to check servers against,
        PEM; empty takes the machine's own.
    """
    return urllib3.PoolManager(
        num_pools=POOL_SIZE,
        maxsize=POOL_SIZE,
        retries=False,
        ca_certs=ca_file or None,
    )


class AbortableHttpConnection(urllib3.connection.HTTPConnection):
    """A connection that hands its socket to a link once connected."""

    def __init__(
        self,
        *arguments: Any,
        connection: AbortableConnection,
        remaining_s: float,
        **options: Any,
    ) -> None:
        """Take the link and the seconds until the deadline."""
        super().__init__(*arguments, **options)
        self._abortable_connection = connection
        self._remaining_s = remaining_s

    def connect(self) -> None:
        """Connect; sending is then bounded by the deadline alone."""
        super().connect()
        # The library would send under the timeout for connecting.
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
    """The same with TLS."""


class SingleConnectionPool(urllib3.HTTPConnectionPool):
    """A pool of exactly one fresh connection."""

    ConnectionCls = AbortableHttpConnection


class SingleTlsConnectionPool(urllib3.HTTPSConnectionPool):
    """A pool of exactly one fresh connection with TLS."""

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
    """Send a request on a connection of its own and return its answer.

    :param address: ``host:port`` of the target.
    :param remaining_s: seconds until the deadline.
    :param link: breaks the connection from another thread.
    :param authorities: file with the authorities to check the server
        against, PEM; empty speaks without TLS.
    :raises TargetNotReached: no connection was made, so nothing was sent.
    :raises TargetBroke: the connection broke after bytes may have left.
    """
    if remaining_s <= 0 or connection.closed:
        raise TargetNotReached('the call ended before it was sent')
    pool = _make_connection_pool(
        address,
        ca_file,
        connection=connection,
        remaining_s=remaining_s + DEADLINE_MARGIN_S,
    )
    timeout = urllib3.Timeout(
        connect=min(CONNECT_TIMEOUT_S, remaining_s),
        # The call's own thread ends it at its deadline, before this does.
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


def request_json(
    pool: urllib3.PoolManager,
    method: str,
    url: str,
    body: Mapping[str, Any] | None,
    headers: Mapping[str, str],
    timeout_s: float,
) -> Mapping[str, Any] | None:
    """Send JSON and return the JSON object answered, none without one."""
    try:
        response = pool.request(
            method,
            url,
            body=None if body is None else json.dumps(body).encode(),
            headers={**headers, 'Content-Type': 'application/json'},
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s),
            redirect=False,
            retries=False,
        )
        fields = json.loads(response.data)
    except (urllib3.exceptions.HTTPError, OSError, ValueError):
        return None
    if response.status >= 500 or not isinstance(fields, dict):
        return None
    return fields


def parse_retry_after_s(response: urllib3.BaseHTTPResponse) -> float | None:
    """Return the seconds of a ``Retry-After`` header, none without one."""
    text = response.headers.get('Retry-After', '')
    try:
        return max(0, float(text))
    except ValueError:
        return None
