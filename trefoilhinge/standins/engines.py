"""A stand-in model engine: streams words at a set speed over HTTP."""

import json
import threading
import time
from collections.abc import Callable, Iterable, Iterator
from typing import Any

from attrs import define, field

from trefoilhinge.core.lines import DONE_DATA, StreamEvent, write_event

BYTES_PER_TOKEN = 4


@define
class _Stream:
    stream_id: str
    events: list[str]
    ready: threading.Condition = field(factory=threading.Condition)
    cancelled: bool = False

    @property
    def finished(self) -> bool:
        return bool(self.events) and self.events[-1] == DONE_DATA


@define
class EngineStandIn:
    """One engine; counts every run, so that a second one shows.

    :ivar runs: how often each request was started, by request.
    """

    name: str
    prefill_tokens_per_s: float = 200_000
    decode_interval_s: float = 0.01
    incarnation: int = 1
    leaving: bool = False
    runs: dict[str, int] = field(factory=dict)
    _streams: dict[str, _Stream] = field(factory=dict)
    _voided: set[str] = field(factory=set)
    _queued_tokens: int = 0
    _lock: threading.Lock = field(factory=threading.Lock)
    _prefill: threading.Lock = field(factory=threading.Lock)

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: Callable[..., Any],
    ) -> Iterable[bytes]:
        """Serve one request."""
        method = environ['REQUEST_METHOD']
        path = environ['PATH_INFO']
        if path.startswith('/v1/'):
            return self._complete(environ, start_response)
        if path.startswith('/streams/'):
            return self._serve_stream(environ, start_response, path, method)
        if path == '/load':
            return answer_json(start_response, self._describe_load())
        if path == '/cache/events':
            return answer_json(start_response, {'events': []})
        if path == '/state':
            return answer_json(start_response, self._describe_state())
        return answer_json(start_response, {'error': 'not found'}, 404)

    def _complete(
        self,
        environ: dict[str, Any],
        start_response: Callable[..., Any],
    ) -> Iterable[bytes]:
        body = read_body(environ)
        stream_id = environ.get('HTTP_X_STREAM_ID', '')
        fields = json.loads(body)
        with self._lock:
            if stream_id in self._voided or self.leaving:
                headers = [('X-Not-Started', 'true')]
                return answer_json(start_response, {}, 503, headers)
            stream = _Stream(stream_id, [])
            self._streams[stream_id] = stream
            request = stream_id.rpartition('.')[0]
            self.runs[request] = self.runs.get(request, 0) + 1
        tokens = len(body) // BYTES_PER_TOKEN
        chat = 'chat' in environ['PATH_INFO']
        threading.Thread(
            target=self._run,
            args=(stream, tokens, fields, chat),
            daemon=True,
        ).start()
        start_response('200 OK', [('Content-Type', 'text/event-stream')])
        return self._read_events(stream, 0)

    def _run(
        self,
        stream: _Stream,
        prompt_tokens: int,
        fields: dict[str, Any],
        chat: bool,
    ) -> None:
        self._queued_tokens += prompt_tokens
        with self._prefill:
            time.sleep(prompt_tokens / self.prefill_tokens_per_s)
        self._queued_tokens -= prompt_tokens
        count = int(fields.get('max_tokens') or 16)
        for number in range(count):
            if stream.cancelled:
                return
            last = number == count - 1
            chunk = make_chunk(stream.stream_id, number, chat, last)
            if last:
                chunk['usage'] = {
                    'prompt_tokens': prompt_tokens,
                    'completion_tokens': count,
                    'total_tokens': prompt_tokens + count,
                }
            self._append(stream, json.dumps(chunk))
            time.sleep(self.decode_interval_s)
        self._append(stream, DONE_DATA)

    def _append(self, stream: _Stream, data: str) -> None:
        with stream.ready:
            stream.events.append(data)
            stream.ready.notify_all()

    def _read_events(self, stream: _Stream, offset: int) -> Iterator[bytes]:
        while True:
            with stream.ready:
                while len(stream.events) <= offset and not stream.cancelled:
                    stream.ready.wait(1)
                if stream.cancelled:
                    return
                events = stream.events[offset:]
            for data in events:
                yield write_event(StreamEvent(stream.stream_id, offset, data))
                offset += 1
                if data == DONE_DATA:
                    return

    def _serve_stream(
        self,
        environ: dict[str, Any],
        start_response: Callable[..., Any],
        path: str,
        method: str,
    ) -> Iterable[bytes]:
        stream_id = path.split('/')[2]
        stream = self._streams.get(stream_id)
        if method == 'DELETE':
            return answer_json(start_response, self._void(stream_id))
        if stream is None:
            answer = {'state': 'unknown', 'offset': 0}
            return answer_json(start_response, answer)
        if path.endswith('/events'):
            offset = int(environ['QUERY_STRING'].partition('offset=')[2] or 0)
            start_response('200 OK', [('Content-Type', 'text/event-stream')])
            return self._read_events(stream, offset)
        state = 'finished' if stream.finished else 'running'
        answer = {'state': state, 'offset': len(stream.events)}
        return answer_json(start_response, answer)

    def _void(self, stream_id: str) -> dict[str, Any]:
        with self._lock:
            self._voided.add(stream_id)
            stream = self._streams.get(stream_id)
        if stream is None:
            return {'state': 'never_started', 'offset': 0}
        with stream.ready:
            stream.cancelled = not stream.finished
            stream.ready.notify_all()
        state = 'finished' if stream.finished else 'unknown'
        return {'state': state, 'offset': len(stream.events)}

    def _describe_load(self) -> dict[str, Any]:
        return {
            'queued_tokens': self._queued_tokens,
            'running': sum(
                not one.finished and not one.cancelled
                for one in list(self._streams.values())
            ),
            'free_tokens': 450_000,
            'age_s': 0,
            'leaving': self.leaving,
            'incarnation': self.incarnation,
        }

    def _describe_state(self) -> dict[str, Any]:
        return {
            'fence': 0,
            'model': '',
            'version': '',
            'adapters': [],
            'role': 'both',
            'ready': True,
            'holdings': [],
        }


def make_chunk(
    stream_id: str,
    number: int,
    chat: bool,
    last: bool,
) -> dict[str, Any]:
    """Return one chunk of a completion."""
    word = f'word{number} '
    choice: dict[str, Any] = {'index': 0, 'finish_reason': None}
    if last:
        choice['finish_reason'] = 'stop'
    if chat:
        choice['delta'] = {'role': 'assistant', 'content': word}
    else:
        choice['text'] = word
    return {
        'id': f'cmpl-{stream_id}',
        'object': 'chat.completion.chunk' if chat else 'text_completion',
        'created': 0,
        'model': 'stand-in',
        'choices': [choice],
    }


def read_body(environ: dict[str, Any]) -> bytes:
    """Read the body of a request."""
    length = int(environ.get('CONTENT_LENGTH') or 0)
    body: bytes = environ['wsgi.input'].read(length) if length else b''
    return body


def answer_json(
    start_response: Callable[..., Any],
    fields: dict[str, Any],
    status: int = 200,
    headers: Iterable[tuple[str, str]] = (),
) -> Iterable[bytes]:
    """Answer with a JSON object."""
    body = json.dumps(fields).encode()
    start_response(
        f'{status} Answer',
        [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(body))),
            *headers,
        ],
    )
    return [body]
