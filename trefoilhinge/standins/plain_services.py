"""A stand-in plain service that takes bookings and counts them."""

import json
import threading
import time
from collections.abc import Callable, Iterable
from typing import Any

from attrs import define, field

from trefoilhinge.standins.answers import answer_json, read_body


@define
class PlainServiceStandIn:
    """WSGI application of one plain service.

    :ivar delay_s: processing time of a call, in seconds.
    :ivar silent: run each call but never respond.
    :ivar refusing: refuse each call with proof that it was not started.
    :ivar runs: number of runs by request.
    :ivar references: number of runs by the ``reference`` field of the body.
    :ivar released: set to let silent calls end.
    """

    name: str
    delay_s: float = 0
    silent: bool = False
    refusing: bool = False
    runs: dict[str, int] = field(factory=dict)
    references: dict[str, int] = field(factory=dict)
    released: threading.Event = field(factory=threading.Event)
    _lock: threading.Lock = field(factory=threading.Lock)

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: Callable[..., Any],
    ) -> Iterable[bytes]:
        """Serve one request."""
        body = read_body(environ)
        if self.refusing:
            headers = [('X-Not-Started', 'true')]
            return answer_json(start_response, {}, 503, headers)
        request = environ.get('HTTP_X_REQUEST_ID', '').rpartition('.')[0]
        with self._lock:
            self.runs[request] = self.runs.get(request, 0) + 1
            number = len(self.runs)
            self._count_reference(body)
        time.sleep(self.delay_s)
        if self.silent:
            self.released.wait()
        answer = {
            'service': self.name,
            'path': environ['PATH_INFO'],
            'query': environ.get('QUERY_STRING', ''),
            'booking': number,
            'bytes': len(body),
        }
        return answer_json(start_response, answer)

    def _count_reference(self, body: bytes) -> None:
        try:
            reference = str(json.loads(body)['reference'])
        except (ValueError, KeyError, TypeError):
            return
        self.references[reference] = self.references.get(reference, 0) + 1
