"""HTTP client of model engines."""

import base64
from collections.abc import Mapping
from typing import Any, TypeVar

import cattrs
import urllib3
from attrs import define, frozen

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
from trefoilhinge.core.reports import (
    CacheEvent,
    EngineState,
    LoadReport,
    StreamState,
)
from trefoilhinge.targets.abortable_connections import AbortableConnection
from trefoilhinge.targets.exceptions import TargetErrored, TargetRefused
from trefoilhinge.targets.http_requests import (
    PARSE_ERRORS,
    make_pool,
    parse_retry_after_s,
    request_json,
    request_json_once,
    send_request,
)
from trefoilhinge.targets.interfaces import OutgoingCall
from trefoilhinge.targets.streams import EngineStream, ResponseBody

ORDER_TOKEN_HEADER = 'X-Order-Token'
# Of all requests but streams and the steps of a group that handle KV cache.
CONTROL_TIMEOUT_S = 2.0
Parsed = TypeVar('Parsed')


@define
class HttpEngineClient:
    """Client of the engines' HTTP API, with one connection per stream."""

    _pool: urllib3.PoolManager
    _order_token: str

    def make_connection(self) -> AbortableConnection:
        """Return an unopened connection."""
        return AbortableConnection()

    def open_stream(
        self,
        dispatch: Dispatch,
        call: OutgoingCall,
        remaining_s: float,
        connection: AbortableConnection,
    ) -> EngineStream:
        """Send a call and return its stream."""
        headers = {
            'Content-Type': call.content_type,
            'X-Stream-Id': str(dispatch.attempt),
            'X-Priority': str(dispatch.priority),
            'X-Deadline-Ms': str(int(remaining_s * 1000)),
        }
        if call.traceparent:
            headers['traceparent'] = call.traceparent
        if dispatch.reservation_tag is not None:
            headers['X-Kv-Tag'] = dispatch.reservation_tag
        response = send_request(
            'POST',
            dispatch.address,
            call.path,
            call.body,
            headers,
            remaining_s,
            connection,
        )
        return _make_stream(response, connection)

    def resume_stream(
        self,
        resume: ResumeStream,
        remaining_s: float,
        connection: AbortableConnection,
    ) -> EngineStream:
        """Resume a stream from an offset on a new connection."""
        path = f'/streams/{resume.stream_id}/events?offset={resume.offset}'
        response = send_request(
            'GET',
            resume.address,
            path,
            b'',
            {},
            remaining_s,
            connection,
        )
        return _make_stream(response, connection)

    def query_stream(self, query: QueryStream) -> StreamAnswered:
        """Query a stream's state and offset on a new connection."""
        url = f'http://{query.address}/streams/{query.stream_id}'
        return self._request_stream_state('GET', url, query.attempt)

    def cancel(self, cancel: CancelAttempt) -> StreamAnswered:
        """Cancel a stream at its engine."""
        url = f'http://{cancel.address}/streams/{cancel.attempt}'
        return self._request_stream_state('DELETE', url, cancel.attempt)

    def read_load(self, read: ReadLoad) -> LoadRead:
        """Read the load report."""
        fields = self._read(f'http://{read.address}/load')
        report = _parse(fields, LoadReport, target=read.target)
        return LoadRead(read.target, report)

    def read_cache_events(self, read: ReadLoad) -> CacheEventsRead:
        """Read the cache events after a sequence number."""
        url = f'http://{read.address}/cache/events?after={read.after_sequence}'
        fields = self._read(url)
        cache_events = _parse(fields, _CacheEvents)
        return CacheEventsRead(
            read.target, cache_events.events if cache_events else ()
        )

    def read_state(self, read: ReadEngineState) -> EngineStateRead:
        """Read the engine's state."""
        fields = self._read(f'http://{read.address}/state')
        state = _parse(fields, EngineState, target=read.target)
        return EngineStateRead(read.target, state, read.address)

    def send_order(self, order: SendOrder) -> OrderAnswered:
        """Send an order with its fencing token."""
        body = {
            'fence': order.fence,
            'model': order.model,
            'version': order.version,
            'adapters': list(order.adapters),
            'role': order.role,
        }
        # Only a target that authenticates the sender receives the credential.
        headers = {}
        if order.requires_credential:
            headers[ORDER_TOKEN_HEADER] = self._order_token
        fields = request_json_once(
            'POST',
            f'http://{order.address}/orders',
            body,
            headers,
            CONTROL_TIMEOUT_S,
        )
        accepted = None if fields is None else bool(fields.get('accepted'))
        return OrderAnswered(order.target, order.fence, accepted)

    def run_group_step(
        self,
        step: RunGroupStep,
        body: bytes,
        remaining_s: float,
    ) -> GroupStepEnded:
        """Run one step of a group."""
        request = {
            'tag': step.tag,
            'owner': step.owner,
            'first_token': step.first_token,
            'tokens': step.tokens,
            'expires_wall_s': step.expires_wall_s,
            'handle': step.handle,
            'source': step.source,
            'prompt': base64.b64encode(body).decode(),
        }
        fields = self._request(
            'POST',
            f'http://{step.address}/kv/{step.step}',
            request,
            _compute_step_timeout_s(step, remaining_s),
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
        """Release the KV-cache reservation with a tag."""
        url = f'http://{release.address}/kv/{release.tag}'
        fields = self._request('DELETE', url)
        return HoldingReleased(release.target, release.tag, fields is not None)

    def _request_stream_state(
        self,
        method: str,
        url: str,
        attempt: AttemptId,
    ) -> StreamAnswered:
        status = _parse(self._request(method, url), _StreamStatus)
        if status is None:
            return StreamAnswered(attempt, StreamState.UNREACHABLE, 0)
        return StreamAnswered(attempt, status.state, status.offset)

    def _request(
        self,
        method: str,
        url: str,
        body: Mapping[str, Any] | None = None,
        timeout_s: float = CONTROL_TIMEOUT_S,
    ) -> Mapping[str, Any] | None:
        return request_json_once(method, url, body, {}, timeout_s)

    def _read(self, url: str) -> Mapping[str, Any] | None:
        """Read a report, which may come from a kept connection."""
        return request_json(self._pool, 'GET', url, None, {}, CONTROL_TIMEOUT_S)


@frozen
class _StreamStatus:
    state: StreamState
    offset: int


@frozen
class _CacheEvents:
    events: tuple[CacheEvent, ...]


def _make_stream(
    response: urllib3.BaseHTTPResponse,
    connection: AbortableConnection,
) -> EngineStream:
    if response.status == 200:
        return EngineStream(ResponseBody(response, connection))
    not_started = response.headers.get('X-Not-Started')
    retry_after_s = parse_retry_after_s(response)
    status = response.status
    connection.close()
    response.close()
    if status == 503 and not_started:
        raise TargetRefused(retry_after_s)
    raise TargetErrored(f'the target responded with HTTP status {status}')


def _parse(
    fields: Mapping[str, Any] | None,
    parsed_type: type[Parsed],
    **known_fields: str,
) -> Parsed | None:
    if fields is None:
        return None
    try:
        return cattrs.structure({**fields, **known_fields}, parsed_type)
    except PARSE_ERRORS:
        # A malformed response is treated like a missing one.
        return None


def _compute_step_timeout_s(step: RunGroupStep, remaining_s: float) -> float:
    """Return the time-out of a step of a group, in seconds.

    An engine confirms a reservation at once; the other steps transfer or
    compute KV cache, so only the deadline bounds them.
    """
    if step.step == 'reserve':
        return min(remaining_s, CONTROL_TIMEOUT_S)
    return remaining_s


def make_http_engine_client(
    order_token: str,
    pool: urllib3.PoolManager | None = None,
) -> HttpEngineClient:
    """Return a client for all engines.

    :param order_token: credential sent to engines that authenticate the sender
        of an order.
    """
    return HttpEngineClient(pool or make_pool(), order_token)
