"""HTTP client of plain services."""

import time

from attrs import frozen

from trefoilhinge.core.effects import Dispatch
from trefoilhinge.targets.abortable_connections import AbortableConnection
from trefoilhinge.targets.exceptions import TargetBroke, TargetRefused
from trefoilhinge.targets.http_requests import (
    CONNECTION_ERRORS,
    parse_retry_after_s,
    read_content,
    send_request,
)
from trefoilhinge.targets.interfaces import OutgoingCall, PlainAnswer

MAXIMUM_ANSWER_BYTES = 33_554_432


@frozen
class HttpPlainClient:
    """Client of plain services, with one connection per call."""

    def make_connection(self) -> AbortableConnection:
        """Return an unopened connection."""
        return AbortableConnection()

    def call(
        self,
        dispatch: Dispatch,
        call: OutgoingCall,
        remaining_s: float,
        connection: AbortableConnection,
    ) -> PlainAnswer:
        """Send a call and return its complete answer."""
        headers = {
            'Content-Type': call.content_type,
            'X-Request-Id': str(dispatch.attempt),
        }
        if call.traceparent:
            headers['traceparent'] = call.traceparent
        response = send_request(
            call.method,
            dispatch.address,
            call.path,
            call.body,
            headers,
            remaining_s,
            connection,
        )
        if response.status == 503 and response.headers.get('X-Not-Started'):
            retry_after_s = parse_retry_after_s(response)
            response.close()
            raise TargetRefused(retry_after_s)
        try:
            body = read_content(
                response,
                time.monotonic() + remaining_s,
                MAXIMUM_ANSWER_BYTES,
                connection.hold,
            )
        except CONNECTION_ERRORS as error:
            raise TargetBroke(str(error)) from error
        return PlainAnswer(
            response.status,
            response.headers.get('Content-Type', 'application/octet-stream'),
            body,
        )


def make_http_plain_client() -> HttpPlainClient:
    """Return a client for all plain services."""
    return HttpPlainClient()
