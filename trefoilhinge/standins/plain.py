"""A stand-in plain service that books, and counts its bookings."""

import threading
from collections.abc import Callable, Iterable
from typing import Any

from attrs import define, field

from trefoilhinge.standins.engines import answer_json, read_body


@define
class PlainStandIn:
    """One plain service.

    :ivar runs: how often each request was run, by request.
    """

    name: str
    runs: dict[str, int] = field(factory=dict)
    _lock: threading.Lock = field(factory=threading.Lock)

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: Callable[..., Any],
    ) -> Iterable[bytes]:
        """Serve one request."""
        body = read_body(environ)
        request = environ.get('HTTP_X_REQUEST_ID', '').rpartition('.')[0]
        with self._lock:
            self.runs[request] = self.runs.get(request, 0) + 1
            number = len(self.runs)
        answer = {
            'service': self.name,
            'path': environ['PATH_INFO'],
            'booking': number,
            'bytes': len(body),
        }
        return answer_json(start_response, answer)
