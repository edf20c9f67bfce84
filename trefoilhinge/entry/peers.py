"""HTTP between instances: the client and the application for peers."""

import hmac
from collections.abc import Callable, Iterable
from typing import Any

import urllib3
from attrs import define, frozen

from trefoilhinge.calls.answers import format_status
from trefoilhinge.core.effects import SendPeerMessage
from trefoilhinge.core.events import Event, PeerAnswered, PeerMessageReceived
from trefoilhinge.entry.replies import Replies
from trefoilhinge.platform.connections import CONNECT_TIMEOUT_S

PEER_TIMEOUT_S = 2.0
MAXIMUM_MESSAGE_BYTES = 6_000_000


@frozen
class PeerClient:
    """Sends messages to peers."""

    _pool: urllib3.PoolManager
    _secret: str

    def send(self, message: SendPeerMessage) -> PeerAnswered:
        """Send a message and return the peer's answer."""
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_S,
            read=PEER_TIMEOUT_S,
        )
        try:
            response = self._pool.request(
                'POST',
                f'http://{message.address}/exchange',
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


@define
class PeerApplication:
    """Answers peers, the balancer's probes and operators."""

    _secret: str
    _replies: Replies
    _report: Callable[[Event], None]
    _is_ready: Callable[[], bool]
    _read_status: Callable[[], bytes]

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: Callable[..., Any],
    ) -> Iterable[bytes]:
        """Serve one request."""
        path = environ['PATH_INFO']
        if path == '/healthz':
            return _answer(start_response, 200, b'alive\n')
        if path == '/readyz':
            ready = self._is_ready()
            text = b'ready\n' if ready else b'not ready\n'
            return _answer(start_response, 200 if ready else 503, text)
        if path == '/status':
            return _answer(start_response, 200, self._read_status())
        if path == '/exchange':
            return self._exchange(environ, start_response)
        return _answer(start_response, 404, b'not found\n')

    def _exchange(
        self,
        environ: dict[str, Any],
        start_response: Callable[..., Any],
    ) -> Iterable[bytes]:
        presented = environ.get('HTTP_X_PEER_SECRET', '')
        if not hmac.compare_digest(presented.encode(), self._secret.encode()):
            return _answer(start_response, 401, b'unknown peer\n')
        length = int(environ.get('CONTENT_LENGTH') or 0)
        if length > MAXIMUM_MESSAGE_BYTES:
            return _answer(start_response, 413, b'message too large\n')
        text = environ['wsgi.input'].read(length).decode('utf-8', 'replace')
        token = self._replies.expect()
        self._report(PeerMessageReceived(token, text))
        answer = self._replies.take(token)
        if answer is None:
            return _answer(start_response, 503, b'busy\n')
        return _answer(start_response, 200, answer.encode())


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
