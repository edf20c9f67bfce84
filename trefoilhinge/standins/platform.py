"""Stand-in for the configuration service and the instance list."""

import json
import threading
from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import parse_qs

from attrs import define, field

from trefoilhinge.standins.answers import answer_json


@define
class PlatformStandIn:
    """Serves one document, with long polling, and the instance list.

    :ivar instances: JSON fields of the listed instances.
    :ivar targets: JSON fields of the targets listed beside them.
    :ivar down: whether every request fails with status 503.
    """

    instances: list[dict[str, Any]] = field(factory=list)
    targets: list[dict[str, Any]] = field(factory=list)
    down: bool = False
    _text: str = ''
    _changed: threading.Condition = field(factory=threading.Condition)

    def publish(self, text: str) -> None:
        """Replace the document and notify pending polls."""
        with self._changed:
            self._text = text
            self._changed.notify_all()

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: Callable[..., Any],
    ) -> Iterable[bytes]:
        """Serve one request."""
        if self.down:
            return answer_json(start_response, {'error': 'down'}, 503)
        if environ['PATH_INFO'] == '/instances':
            answer = {'instances': self.instances, 'targets': self.targets}
            return answer_json(start_response, answer)
        query = parse_qs(environ.get('QUERY_STRING', ''))
        after = int(query.get('after', ['0'])[0])
        wait_s = float(query.get('wait', ['0'])[0])
        with self._changed:
            self._changed.wait_for(
                lambda: self._read_revision() > after,
                timeout=wait_s,
            )
            text = self._text
        if not text:
            return answer_json(start_response, {'error': 'empty'}, 404)
        body = text.encode()
        start_response('200 OK', [('Content-Length', str(len(body)))])
        return [body]

    def _read_revision(self) -> int:
        if not self._text:
            return 0
        return int(json.loads(self._text)['revision'])
