"""Connections by urllib3, with every retry of the library switched off."""

import json
from collections.abc import Mapping
from typing import Any

import urllib3

from trefoilhinge.platform.interfaces import TargetBroke, TargetNotReached

CONNECT_TIMEOUT_S = 1.0
POOL_SIZE = 64


def make_pool() -> urllib3.PoolManager:
    """Return a pool that never repeats a request by itself."""
    return urllib3.PoolManager(
        num_pools=POOL_SIZE,
        maxsize=POOL_SIZE,
        retries=False,
    )


def open_request(
    pool: urllib3.PoolManager,
    method: str,
    url: str,
    body: bytes,
    headers: Mapping[str, str],
    remaining_s: float,
) -> urllib3.BaseHTTPResponse:
    """Send a request on a connection of its own and return its answer.

    :param remaining_s: seconds until the deadline.
    :raises TargetNotReached: no connection was made, so nothing was sent.
    :raises TargetBroke: the connection broke after bytes may have left.
    """
    timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=remaining_s)
    try:
        return pool.request(
            method,
            url,
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
    except (urllib3.exceptions.HTTPError, OSError) as error:
        raise TargetBroke(str(error)) from error


def read_json(
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


def find_retry_after(response: urllib3.BaseHTTPResponse) -> float | None:
    """Return the seconds of a ``Retry-After`` header, none without one."""
    text = response.headers.get('Retry-After', '')
    try:
        return max(0, float(text))
    except ValueError:
        return None
