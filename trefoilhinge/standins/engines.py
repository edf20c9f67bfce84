"""A stand-in model engine that streams words at a set speed over HTTP."""

import json
import threading
from collections.abc import Iterable, Iterator
from typing import Any
from urllib.parse import parse_qs

from attrs import define, field

from trefoilhinge.calls.prompts import digest_prefix_blocks, extract_prompt
from trefoilhinge.core.sse import DONE_DATA, StreamEvent, encode_event
from trefoilhinge.standins.answers import (
    Environ,
    StartResponse,
    answer_json,
    read_body,
    read_fields,
)
from trefoilhinge.standins.batching import BatchScheduler, Generation
from trefoilhinge.standins.engine_faults import EngineFaults
from trefoilhinge.standins.engine_software import EngineSoftware
from trefoilhinge.standins.kv_interface import KvInterface
from trefoilhinge.standins.kv_memory import KvMemory

BYTES_PER_TOKEN = 4
READ_WAIT_S = 1.0
EVENT_STREAM = [('Content-Type', 'text/event-stream')]


@define
class EngineStandIn:
    """WSGI application of one engine.

    It counts the runs of each request, so that tests can detect duplicates.

    :ivar leaving: whether new streams are refused.
    :ivar runs: number of starts by request.
    :ivar traces: received ``traceparent`` headers by request.
    """

    name: str
    prefill_tokens_per_s: float = 200_000
    decode_interval_s: float = 0.01
    memory_tokens: int = 450_000
    incarnation: int = 1
    leaving: bool = False
    faults: EngineFaults = field(factory=EngineFaults)
    software: EngineSoftware = field(factory=EngineSoftware)
    runs: dict[str, int] = field(factory=dict)
    traces: dict[str, str] = field(factory=dict)
    memory: KvMemory = field(init=False)
    batch: BatchScheduler = field(init=False)
    _streams: dict[str, Generation] = field(factory=dict)
    _cancelled_ids: set[str] = field(factory=set)
    _lock: threading.Lock = field(factory=threading.Lock)

    def __attrs_post_init__(self) -> None:
        """Create the KV memory and the batch scheduler."""
        self.memory = KvMemory(self.memory_tokens)
        self.batch = BatchScheduler(
            self.memory,
            self.prefill_tokens_per_s,
            self.decode_interval_s,
        )

    def __call__(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Serve one request."""
        if self.faults.dead:
            raise ConnectionResetError('the engine is dead')
        path = environ['PATH_INFO']
        if path.startswith('/v1/'):
            return self._start_completion(environ, start_response)
        if path.startswith('/streams/'):
            return self._serve_stream(environ, start_response)
        if path.startswith('/kv/'):
            return answer_json(start_response, self._serve_kv(environ))
        if path == '/orders':
            token = environ.get('HTTP_X_ORDER_TOKEN', '')
            answer = self.software.apply_order(read_fields(environ), token)
            return answer_json(start_response, answer)
        return self._describe(environ, start_response)

    def _describe(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        path = environ['PATH_INFO']
        if path == '/load':
            return answer_json(start_response, self._describe_load())
        if path == '/cache/events':
            query = parse_qs(environ.get('QUERY_STRING', ''))
            after = int(query.get('after', ['0'])[0])
            events = self.memory.cache.list_events(after)
            return answer_json(start_response, {'events': events})
        if path == '/state':
            reservations = list(self.memory.reservations.values())
            state = self.software.describe()
            state['holdings'] = [one.describe() for one in reservations]
            return answer_json(start_response, state)
        return answer_json(start_response, {'error': 'not found'}, 404)

    def _start_completion(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        fields = json.loads(read_body(environ))
        stream_id = environ.get('HTTP_X_STREAM_ID', '')
        request = stream_id.rpartition('.')[0]
        generation = self._make_generation(environ, fields)
        with self._lock:
            refused = stream_id in self._cancelled_ids or self.leaving
            if refused or self.faults.refuse or generation is None:
                headers = [('X-Not-Started', 'true')]
                return answer_json(start_response, {}, 503, headers)
            self._streams[stream_id] = generation
            self.runs[request] = self.runs.get(request, 0) + 1
            self.traces[request] = environ.get('HTTP_TRACEPARENT', '')
        self.batch.add(generation)
        if self.faults.stall:
            self.faults.wait_for_release()
        start_response('200 OK', EVENT_STREAM)
        return self._send_events(generation, 0)

    def _make_generation(
        self,
        environ: Environ,
        fields: dict[str, Any],
    ) -> Generation | None:
        prompt = extract_prompt(fields)
        tokens = max(1, len(prompt) // BYTES_PER_TOKEN)
        digests = digest_prefix_blocks(prompt)
        output = int(fields.get('max_tokens') or 16)
        uncached = max(
            1, tokens - self.memory.cache.count_cached_tokens(digests)
        )
        reserved = tokens + output
        tag = environ.get('HTTP_X_KV_TAG')
        if tag is not None:
            # The group's reservation holds the prompt: only the output needs
            # memory here.
            if tag not in self.memory.reservations:
                return None
            uncached, reserved = 1, output
        if reserved > self.memory.capacity_tokens:
            return None
        return Generation(
            environ.get('HTTP_X_STREAM_ID', ''),
            tokens,
            output,
            'chat' in environ['PATH_INFO'],
            int(environ.get('HTTP_X_PRIORITY', '0')),
            uncached,
            reserved,
            digests,
        )

    def _send_events(
        self,
        generation: Generation,
        offset: int,
        resumed: bool = False,
    ) -> Iterator[bytes]:
        faults = self.faults
        name = 'another.1' if faults.wrong_stream_id else generation.stream_id
        for data in _iterate_events(generation, offset):
            if faults.truncate_after == offset and not resumed:
                return
            faults.apply_before_event(offset, resumed)
            yield encode_event(StreamEvent(name, offset, data))
            offset += 1

    def _serve_stream(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        path = environ['PATH_INFO']
        stream_id = path.split('/')[2]
        generation = self._streams.get(stream_id)
        if environ['REQUEST_METHOD'] == 'DELETE':
            return answer_json(start_response, self._cancel_stream(stream_id))
        known = generation is not None and not generation.cancelled
        if generation is None or not known or self.faults.forgets_streams:
            answer = {'state': 'unknown', 'offset': 0}
            status = 404 if path.endswith('/events') else 200
            return answer_json(start_response, answer, status)
        if path.endswith('/events'):
            offset = int(environ['QUERY_STRING'].partition('offset=')[2] or 0)
            start_response('200 OK', EVENT_STREAM)
            return self._send_events(generation, offset, resumed=True)
        state = 'finished' if generation.is_finished else 'running'
        answer = {'state': state, 'offset': len(generation.events)}
        return answer_json(start_response, answer)

    def _cancel_stream(self, stream_id: str) -> dict[str, Any]:
        with self._lock:
            self._cancelled_ids.add(stream_id)
            generation = self._streams.get(stream_id)
        if generation is None:
            return {'state': 'never_started', 'offset': 0}
        generation.cancel()
        state = 'finished' if generation.is_finished else 'unknown'
        return {'state': state, 'offset': len(generation.events)}

    def _serve_kv(self, environ: Environ) -> dict[str, Any]:
        step = environ['PATH_INFO'].split('/')[2]
        if environ['REQUEST_METHOD'] == 'DELETE':
            return {'released': self.memory.release(step)}
        interface = KvInterface(
            self.name,
            self.memory,
            self.prefill_tokens_per_s,
        )
        return interface.serve(step, read_fields(environ))

    def _describe_load(self) -> dict[str, Any]:
        return {
            'queued_tokens': self.batch.count_queued_tokens(),
            'running': len(self.batch.running),
            'free_tokens': self.memory.free_tokens,
            'age_s': 0,
            'leaving': self.leaving,
            'incarnation': self.incarnation,
        }


def _iterate_events(generation: Generation, offset: int) -> Iterator[str]:
    events = _wait_events(generation, offset)
    while events:
        yield from events
        offset += len(events)
        done = events[-1] == DONE_DATA
        events = [] if done else _wait_events(generation, offset)


def _wait_events(generation: Generation, offset: int) -> list[str]:
    with generation.changed:
        while len(generation.events) <= offset and not generation.is_closed:
            generation.changed.wait(READ_WAIT_S)
        if generation.cancelled:
            return []
        return generation.events[offset:]
