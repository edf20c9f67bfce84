"""HTTP between instances: the client and the WSGI application for peers."""

import hmac
import time
from collections.abc import Callable, Iterable
from typing import Any

import urllib3
from attrs import define, field, frozen

from trefoilhinge.calls.answers import format_status
from trefoilhinge.calls.connections import CONNECTION_KEY
from trefoilhinge.calls.exceptions import RequestRefused
from trefoilhinge.calls.forward_client import FORWARD_PATH
from trefoilhinge.calls.requests import read_body
from trefoilhinge.core.effects import SendPeerMessage
from trefoilhinge.core.events import Event, PeerAnswered, PeerMessageReceived
from trefoilhinge.entry.replies import PendingReplies
from trefoilhinge.targets.http_requests import CONNECT_TIMEOUT_S

PEER_TIMEOUT_S = 2.0
MAXIMUM_MESSAGE_BYTES = 6_000_000


@frozen
class PeerClient:
    """Client of the peers' listeners."""

    _pool: urllib3.PoolManager
    _secret: str
    _scheme: str = 'http'

    def send(self, message: SendPeerMessage) -> PeerAnswered:
        """Send a message and return the peer's reply.

        :return: without a text if the request failed or its status is not 200.
        """
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_S,
            read=PEER_TIMEOUT_S,
        )
        try:
            response = self._pool.request(
                'POST',
                f'{self._scheme}://{message.address}/exchange',
                body=message.text.encode(),
                headers={'X-Peer-Secret': self._secret},
                timeout=timeout,
                retries=False,
            )
        except (urllib3.exceptions.HTTPError, OSError):
            return PeerAnswered(message.peer, None)
        if response.status != 200:
            return PeerAnswered(message.peer, None)
        return PeerAnswered(message.peer, response.data.decode())


WsgiHandler = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]


@define
class PeerApplication:
    """WSGI application for peers, the load balancer's probes and operators."""

    _secret: str
    _replies: PendingReplies
    _report: Callable[[Event], None]
    _is_ready: Callable[[], bool]
    _read_status: Callable[[], bytes]
    _read_metrics: Callable[[], bytes]
    _serve_forwarded_call: WsgiHandler
    _slow_sender_s: float
    _routes: dict[str, WsgiHandler] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Map each path to its handler."""
        self._routes = {
            '/healthz': self._answer_health,
            '/readyz': self._answer_readiness,
            '/status': self._answer_status,
            '/metrics': self._answer_metrics,
            '/exchange': self._exchange,
            FORWARD_PATH: self._serve_forwarded,
        }

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: Callable[..., Any],
    ) -> Iterable[bytes]:
        """Serve one request."""
        deadline_s = time.monotonic() + self._slow_sender_s
        environ[CONNECTION_KEY].set_io_deadline(deadline_s)
        route = self._routes.get(environ['PATH_INFO'])
        if route is None:
            return _answer(start_response, 404, b'not found\n')
        return route(environ, start_response)

    def _answer_health(
        self,
        environ: dict[str, Any],
        start_response: Callable[..., Any],
    ) -> Iterable[bytes]:
        return _answer(start_response, 200, b'alive\n')

    def _answer_readiness(
        self,
        environ: dict[str, Any],
        start_response: Callable[..., Any],
    ) -> Iterable[bytes]:
        if self._is_ready():
            return _answer(start_response, 200, b'ready\n')
        return _answer(start_response, 503, b'not ready\n')

    def _answer_status(
        self,
        environ: dict[str, Any],
        start_response: Callable[..., Any],
    ) -> Iterable[bytes]:
        return _answer(start_response, 200, self._read_status())

    def _answer_metrics(
        self,
        environ: dict[str, Any],
        start_response: Callable[..., Any],
    ) -> Iterable[bytes]:
        return _answer(start_response, 200, self._read_metrics())

    def _serve_forwarded(
        self,
        environ: dict[str, Any],
        start_response: Callable[..., Any],
    ) -> Iterable[bytes]:
        if not self._is_authenticated(environ):
            return _answer(start_response, 401, b'unknown peer\n')
        return self._serve_forwarded_call(environ, start_response)

    def _exchange(
        self,
        environ: dict[str, Any],
        start_response: Callable[..., Any],
    ) -> Iterable[bytes]:
        if not self._is_authenticated(environ):
            return _answer(start_response, 401, b'unknown peer\n')
        try:
            body = read_body(environ, MAXIMUM_MESSAGE_BYTES)
        except RequestRefused as refused:
            status = refused.refusal.status
            return _answer(start_response, status, b'unreadable message\n')
        token = self._replies.register()
        text = body.decode('utf-8', 'replace')
        self._report(PeerMessageReceived(token, text))
        answer = self._replies.wait_for(token)
        if answer is None:
            return _answer(start_response, 503, b'busy\n')
        return _answer(start_response, 200, answer.encode())

    def _is_authenticated(self, environ: dict[str, Any]) -> bool:
        # Without a secret, no peer is authenticated.
        presented = environ.get('HTTP_X_PEER_SECRET', '').encode()
        matches = hmac.compare_digest(presented, self._secret.encode())
        return matches and bool(self._secret)


def _answer(
    start_response: Callable[..., Any],
    status: int,
    body: bytes,
) -> Iterable[bytes]:
    headers = [
        ('Content-Type', 'text/plain; charset=utf-8'),
        ('Content-Length', str(len(body))),
    ]
    start_response(format_status(status), headers)
    return [body]
