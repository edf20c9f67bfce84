"""HTTP adapter to plain services."""

from attrs import frozen

from trefoilhinge.core.effects import Dispatch
from trefoilhinge.targets.abortable_connections import Link
from trefoilhinge.targets.exceptions import TargetBroke, TargetRefused
from trefoilhinge.targets.http_requests import (
    BROKEN,
    find_retry_after,
    open_request,
)
from trefoilhinge.targets.interfaces import OutgoingCall, PlainAnswer


@frozen
class HttpPlainClient:
    """Calls plain services, each call on a connection of its own."""

    def make_link(self) -> Link:
        """Return a connection that is not open yet."""
        return Link()

    def call(
        self,
        dispatch: Dispatch,
        call: OutgoingCall,
        remaining_s: float,
        link: Link,
    ) -> PlainAnswer:
        """Send a call and return its whole answer."""
        headers = {
            'Content-Type': call.content_type,
            'X-Request-Id': str(dispatch.attempt),
        }
        if call.trace:
            headers['traceparent'] = call.trace
        response = open_request(
            call.method,
            dispatch.address,
            call.path,
            call.body,
            headers,
            remaining_s,
            link,
        )
        if response.status == 503 and response.headers.get('X-Not-Started'):
            wait_s = find_retry_after(response)
            response.close()
            raise TargetRefused(wait_s)
        try:
            body = response.read()
        except BROKEN as error:
            raise TargetBroke(str(error)) from error
        return PlainAnswer(
            response.status,
            response.headers.get('Content-Type', 'application/octet-stream'),
            body,
        )


def make_http_plain_client() -> HttpPlainClient:
    """Return a client for every plain service."""
    return HttpPlainClient()
