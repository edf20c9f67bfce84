"""HTTP adapter to model engines."""

import threading
from collections.abc import Iterator, Mapping
from typing import Any

import cattrs
import urllib3
from attrs import define, field

from trefoilhinge.core.effects import (
    CancelAttempt,
    Dispatch,
    QueryStream,
    ReadEngineState,
    ReadLoad,
    ReleaseHolding,
    ResumeStream,
    RunGroupStep,
    SendOrder,
)
from trefoilhinge.core.events import (
    CacheEventsRead,
    EngineStateRead,
    GroupStepEnded,
    HoldingReleased,
    LoadRead,
    OrderAnswered,
    StreamAnswered,
)
from trefoilhinge.core.identifiers import AttemptId
from trefoilhinge.core.lines import StreamEvent, parse_event
from trefoilhinge.core.reports import (
    CacheEvent,
    EngineState,
    LoadReport,
    StreamState,
)
from trefoilhinge.platform.connections import (
    find_retry_after,
    make_pool,
    open_request,
    read_json,
)
from trefoilhinge.platform.interfaces import (
    OutgoingCall,
    TargetBroke,
    TargetErrored,
    TargetRefused,
)

CONTROL_TIMEOUT_S = 2.0
_SEPARATOR = b'\n\n'
# A connection that another thread closed shows as AttributeError.
_BROKEN = (
    urllib3.exceptions.HTTPError,
    OSError,
    ValueError,
    AttributeError,
)


@define
class HttpEngineClient:
    """Speaks the engines' HTTP interface, one connection for each stream."""

    _pool: urllib3.PoolManager
    _order_token: str
    _open: dict[AttemptId, urllib3.BaseHTTPResponse] = field(factory=dict)
    _lock: threading.Lock = field(factory=threading.Lock)

    def open_stream(
        self,
        dispatch: Dispatch,
        call: OutgoingCall,
        remaining_s: float,
    ) -> Iterator[StreamEvent]:
        """Send a call and yield the events of its stream."""
        headers = {
            'Content-Type': call.content_type,
            'X-Stream-Id': str(dispatch.attempt),
            'X-Priority': str(dispatch.priority),
            'X-Deadline-Ms': str(int(remaining_s * 1000)),
        }
        if call.trace:
            headers['traceparent'] = call.trace
        if dispatch.group_tag is not None:
            headers['X-Kv-Tag'] = dispatch.group_tag
        response = open_request(
            self._pool,
            'POST',
            f'http://{dispatch.address}{call.path}',
            call.body,
            headers,
            remaining_s,
        )
        return self._read_events(dispatch.attempt, response)

    def resume_stream(
        self,
        resume: ResumeStream,
        remaining_s: float,
    ) -> Iterator[StreamEvent]:
        """Take a stream up from an offset on a new connection."""
        url = (
            f'http://{resume.address}/streams/{resume.stream_id}'
            f'/events?offset={resume.offset}'
        )
        response = open_request(self._pool, 'GET', url, b'', {}, remaining_s)
        return self._read_events(resume.attempt, response)

    def query_stream(self, query: QueryStream) -> StreamAnswered:
        """Ask, on a new connection, where a stream stands."""
        url = f'http://{query.address}/streams/{query.stream_id}'
        return self._ask_stream('GET', url, query.attempt)

    def cancel(self, cancel: CancelAttempt) -> StreamAnswered:
        """Drop a stream at its engine and the connection that reads it."""
        self.abandon(cancel.attempt)
        url = f'http://{cancel.address}/streams/{cancel.attempt}'
        return self._ask_stream('DELETE', url, cancel.attempt)

    def abandon(self, attempt: AttemptId) -> None:
        """Close the connection that reads an attempt's stream."""
        with self._lock:
            response = self._open.pop(attempt, None)
        if response is not None:
            response.close()

    def read_load(self, read: ReadLoad) -> LoadRead:
        """Read the load report."""
        fields = self._read('GET', f'http://{read.address}/load')
        if fields is None:
            return LoadRead(read.target, None)
        report = cattrs.structure({**fields, 'target': read.target}, LoadReport)
        return LoadRead(read.target, report)

    def read_cache_events(self, read: ReadLoad) -> CacheEventsRead:
        """Read cache events past a sequence number."""
        url = f'http://{read.address}/cache/events?after={read.after_sequence}'
        fields = self._read('GET', url)
        events = fields['events'] if fields else []
        return CacheEventsRead(
            read.target,
            tuple(cattrs.structure(one, CacheEvent) for one in events),
        )

    def read_state(self, read: ReadEngineState) -> EngineStateRead:
        """Read what the engine runs and holds."""
        fields = self._read('GET', f'http://{read.address}/state')
        if fields is None:
            return EngineStateRead(read.target, None, read.address)
        state = cattrs.structure({**fields, 'target': read.target}, EngineState)
        return EngineStateRead(read.target, state, read.address)

    def send_order(self, order: SendOrder) -> OrderAnswered:
        """Send an order with its fencing number."""
        body = {
            'fence': order.fence,
            'model': order.model,
            'version': order.version,
            'adapters': list(order.adapters),
            'role': order.role,
        }
        fields = self._read('POST', f'http://{order.address}/orders', body)
        accepted = None if fields is None else bool(fields.get('accepted'))
        return OrderAnswered(order.target, order.fence, accepted)

    def run_group_step(
        self,
        step: RunGroupStep,
        body: bytes,
        remaining_s: float,
    ) -> GroupStepEnded:
        """Carry out one step of a group."""
        request = {
            'tag': step.tag,
            'owner': step.owner,
            'first_token': step.first_token,
            'tokens': step.tokens,
            'expires_wall_s': step.expires_wall_s,
            'handle': step.handle,
            'source': step.source,
        }
        fields = self._read(
            'POST',
            f'http://{step.address}/kv/{step.step}',
            request,
            remaining_s,
        )
        done = fields is not None and bool(fields.get('done'))
        handle = str(fields.get('handle', '')) if fields else ''
        return GroupStepEnded(
            step.attempt,
            step.target,
            step.tag,
            step.step,
            done,
            handle,
        )

    def release(self, release: ReleaseHolding) -> HoldingReleased:
        """Free what is held under a tag."""
        url = f'http://{release.address}/kv/{release.tag}'
        fields = self._read('DELETE', url)
        return HoldingReleased(release.target, release.tag, fields is not None)

    def _ask_stream(
        self,
        method: str,
        url: str,
        attempt: AttemptId,
    ) -> StreamAnswered:
        fields = self._read(method, url)
        if fields is None:
            return StreamAnswered(attempt, StreamState.UNREACHABLE, 0)
        return StreamAnswered(
            attempt,
            StreamState(fields['state']),
            int(fields['offset']),
        )

    def _read(
        self,
        method: str,
        url: str,
        body: Mapping[str, Any] | None = None,
        timeout_s: float = CONTROL_TIMEOUT_S,
    ) -> Mapping[str, Any] | None:
        headers = {'X-Order-Token': self._order_token}
        return read_json(self._pool, method, url, body, headers, timeout_s)

    def _read_events(
        self,
        attempt: AttemptId,
        response: urllib3.BaseHTTPResponse,
    ) -> Iterator[StreamEvent]:
        if response.status == 503 and response.headers.get('X-Not-Started'):
            wait_s = find_retry_after(response)
            response.close()
            raise TargetRefused(wait_s)
        if response.status != 200:
            response.close()
            raise TargetErrored(f'the target answered {response.status}')
        with self._lock:
            self._open[attempt] = response
        try:
            yield from _split_events(response)
        finally:
            self.abandon(attempt)


def _split_events(response: urllib3.BaseHTTPResponse) -> Iterator[StreamEvent]:
    pending = b''
    try:
        for chunk in response.stream(65536):
            pending += chunk
            *blocks, pending = pending.split(_SEPARATOR)
            for block in blocks:
                event = parse_event(block)
                if event is not None:
                    yield event
    except _BROKEN as error:
        raise TargetBroke(str(error)) from error


def make_http_engine_client(
    order_token: str,
    pool: urllib3.PoolManager | None = None,
) -> HttpEngineClient:
    """Return a client for every engine.

    :param order_token: credential sent to engines that check who orders.
    """
    return HttpEngineClient(pool or make_pool(), order_token)
