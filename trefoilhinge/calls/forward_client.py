"""Client that forwards calls to the instance that owns their key."""

from attrs import frozen

from trefoilhinge.calls.mailboxes import ForwardOpened
from trefoilhinge.core.effects import ForwardCall
from trefoilhinge.core.identifiers import RequestId
from trefoilhinge.targets.abortable_connections import AbortableConnection
from trefoilhinge.targets.http_requests import send_request
from trefoilhinge.targets.streams import ResponseBody

FORWARD_PATH = '/calls'
RELAYED_HEADERS = ('Content-Type', 'X-Verdict', 'Retry-After', 'X-Should-Retry')


@frozen
class ForwardedRequest:
    """Caller's request in the form in which it is forwarded.

    :ivar organisation: name of the organisation of the caller's API key.
    :ivar path: encoded path and query of the original request.
    :ivar key: idempotency key, empty if absent.
    :ivar priority: priority that the caller set, ``None`` if absent.
    :ivar repeatable: whether the caller allows retries.
    :ivar traceparent: W3C ``traceparent`` header, empty if absent.
    """

    request_id: RequestId
    organisation: str
    method: str
    path: str
    body: bytes
    content_type: str
    key: str
    priority: int | None
    repeatable: bool
    traceparent: str = ''


@frozen
class ForwardClient:
    """Forward calls to the peer listeners of other instances.

    Connections use TLS if a file of certificate authorities is set, which the
    peers' certificates are verified with.
    """

    _secret: str
    _ca_file: str = ''

    def make_connection(self) -> AbortableConnection:
        """Return an unopened connection."""
        return AbortableConnection()

    def send(
        self,
        forward: ForwardCall,
        request: ForwardedRequest,
        remaining_s: float,
        connection: AbortableConnection,
    ) -> ForwardOpened:
        """Forward a call and wait for the status and headers of its answer.

        :raises TargetNotReached: no byte of the request was sent.
        :raises TargetBroke: the connection broke after bytes may have been
            sent.
        """
        response = send_request(
            'POST',
            forward.address,
            FORWARD_PATH,
            request.body,
            self._make_headers(forward, request, remaining_s),
            remaining_s,
            connection,
            self._ca_file,
        )
        headers = tuple(
            (name, response.headers[name])
            for name in RELAYED_HEADERS
            if name in response.headers
        )
        return ForwardOpened(
            connection,
            response.status,
            headers,
            ResponseBody(response, connection),
        )

    def _make_headers(
        self,
        forward: ForwardCall,
        request: ForwardedRequest,
        remaining_s: float,
    ) -> dict[str, str]:
        headers = {
            'X-Peer-Secret': self._secret,
            'X-Owner': forward.owner,
            'X-Owner-Incarnation': str(forward.incarnation),
            'X-Organisation': request.organisation,
            'X-Original-Method': request.method,
            'X-Original-Path': request.path,
            'X-Time-Limit-S': f'{remaining_s:.3f}',
            'X-Request-Id': request.request_id,
            'Content-Type': request.content_type,
            'Idempotency-Key': request.key,
            'X-Repeatable': 'yes' if request.repeatable else 'no',
        }
        if request.priority is not None:
            headers['X-Priority'] = str(request.priority)
        if request.traceparent:
            headers['traceparent'] = request.traceparent
        return headers
