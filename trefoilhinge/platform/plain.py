"""HTTP adapter to plain services."""

import urllib3
from attrs import frozen

from trefoilhinge.core.effects import Dispatch
from trefoilhinge.platform.connections import (
    find_retry_after,
    make_pool,
    open_request,
)
from trefoilhinge.platform.interfaces import (
    OutgoingCall,
    PlainAnswer,
    TargetBroke,
    TargetRefused,
)


@frozen
class HttpPlainClient:
    """Calls plain services, each call on a connection of its own."""

    _pool: urllib3.PoolManager

    def call(
        self,
        dispatch: Dispatch,
        call: OutgoingCall,
        remaining_s: float,
    ) -> PlainAnswer:
        """Send a call and return its whole answer."""
        headers = {
            'Content-Type': call.content_type,
            'X-Request-Id': str(dispatch.attempt),
        }
        if call.trace:
            headers['traceparent'] = call.trace
        response = open_request(
            self._pool,
            call.method,
            f'http://{dispatch.address}{call.path}',
            call.body,
            headers,
            remaining_s,
        )
        if response.status == 503 and response.headers.get('X-Not-Started'):
            wait_s = find_retry_after(response)
            response.close()
            raise TargetRefused(wait_s)
        try:
            body = response.read()
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise TargetBroke(str(error)) from error
        return PlainAnswer(
            response.status,
            response.headers.get('Content-Type', 'application/octet-stream'),
            body,
        )


def make_http_plain_client(
    pool: urllib3.PoolManager | None = None,
) -> HttpPlainClient:
    """Return a client for every plain service."""
    return HttpPlainClient(pool or make_pool())
