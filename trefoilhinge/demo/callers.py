"""HTTP callers of the demo."""

import json
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import urllib3
from attrs import define, field, frozen

from trefoilhinge.core.sse import DONE_DATA, encode_data
from trefoilhinge.demo.deployment import DemoDeployment
from trefoilhinge.demo.workload import OUTPUT_TOKENS, CallKind, PlannedCall
from trefoilhinge.targets.http_requests import make_pool

CALLER_THREADS = 24
TIME_LIMIT_S = 60
STATUS_OK = 200
STATUS_CONFLICT = 409
READ_BYTES = 65536
MAXIMUM_ATTEMPTS = 8
NOT_RUN = 'not_run'


class CallOutcome:
    """Outcome of a call as seen by its caller."""

    FINISHED = 'finished'
    REFUSED = 'refused'
    CUT_OFF = 'cut off'


@frozen
class CallResult:
    """Result of one call.

    :ivar outcome: a value of :class:`CallOutcome`.
    :ivar first_byte_s: time to the first byte of the response, or until the
        connection failed, in seconds.
    :ivar code: code of the refusal; empty if the call was answered.
    :ivar retries_made: number of retries after a ``Retry-After`` header.
    """

    call: PlannedCall
    outcome: str
    first_byte_s: float
    code: str = ''
    retries_made: int = 0


@define
class DemoCallers:
    """Sends planned calls round-robin to a deployment's instances."""

    _deployment: DemoDeployment
    _pool: urllib3.PoolManager = field(factory=make_pool)
    _keys: dict[str, str] = field(factory=dict)
    _lock: threading.Lock = field(factory=threading.Lock)

    def send_all(self, calls: tuple[PlannedCall, ...]) -> list[CallResult]:
        """Send calls concurrently and return their results in order."""
        with ThreadPoolExecutor(CALLER_THREADS) as executor:
            return list(executor.map(self._send, calls, range(len(calls))))

    def _send(self, call: PlannedCall, number: int) -> CallResult:
        begun_s = time.monotonic()
        try:
            return self._send_with_retries(call, number)
        except urllib3.exceptions.HTTPError:
            elapsed_s = time.monotonic() - begun_s
            return CallResult(call, CallOutcome.CUT_OFF, elapsed_s)

    def _send_with_retries(self, call: PlannedCall, number: int) -> CallResult:
        for retries_made in range(MAXIMUM_ATTEMPTS):
            result, retry_after_s = self._send_once(call, number, retries_made)
            if retry_after_s is None:
                return result
            time.sleep(retry_after_s)
        return result

    def _send_once(
        self,
        call: PlannedCall,
        number: int,
        retries_made: int,
    ) -> tuple[CallResult, float | None]:
        """Send a call once.

        :return: result, and the delay before a retry in seconds; none if the
            call is not to be retried.
        """
        begun_s = time.monotonic()
        response = self._open_response(call, number)
        first_bytes = response.read1(READ_BYTES)
        first_s = time.monotonic() - begun_s
        body = first_bytes + response.read()
        outcome, code = _classify_response(call, response.status, body)
        retry_after_s = None
        if (
            outcome == CallOutcome.REFUSED
            and response.headers['X-Verdict'] == NOT_RUN
        ):
            retry_after_s = _read_retry_after(response)
        return CallResult(
            call, outcome, first_s, code, retries_made
        ), retry_after_s

    def _open_response(
        self,
        call: PlannedCall,
        number: int,
    ) -> urllib3.BaseHTTPResponse:
        urls = self._deployment.urls
        headers = {
            'Authorization': f'Bearer {self._deployment.key}',
            'Content-Type': 'application/json',
            'X-Time-Limit-S': str(TIME_LIMIT_S),
        }
        path = '/v1/completions'
        fields: dict[str, object] = {'reference': call.reference}
        if call.is_model:
            fields = {
                'model': call.service,
                'prompt': call.make_prompt(),
                'max_tokens': OUTPUT_TOKENS,
                'stream': True,
            }
        elif call.kind is CallKind.LOOKUP:
            path = f'/services/{call.service}/lookup'
            fields = {'find': call.reference}
        else:
            path = f'/services/{call.service}/bookings'
            headers['Idempotency-Key'] = self._mint_key_once(call)
        return self._pool.request(
            'POST',
            urls[number % len(urls)] + path,
            body=json.dumps(fields).encode(),
            headers=headers,
            preload_content=False,
            timeout=urllib3.Timeout(connect=5, read=TIME_LIMIT_S + 5),
        )

    def _mint_key_once(self, call: PlannedCall) -> str:
        """Return the booking's idempotency key, minted before it is sent."""
        with self._lock:
            if call.reference not in self._keys:
                answer = self._pool.request(
                    'POST',
                    f'{self._deployment.urls[0]}/v1/idempotency-keys',
                    headers={
                        'Authorization': f'Bearer {self._deployment.key}',
                    },
                )
                fields = json.loads(answer.data)
                self._keys[call.reference] = fields.get('key', call.reference)
            return self._keys[call.reference]


def _read_retry_after(response: urllib3.BaseHTTPResponse) -> float | None:
    text = response.headers.get('Retry-After', '')
    return float(text) if text.isdecimal() else None


def _classify_response(
    call: PlannedCall, status: int, body: bytes
) -> tuple[str, str]:
    """Return the outcome of a response and the code of its refusal.

    An error counts as a refusal if its verdict is that the call was not run,
    or if it tells the second sending of a booking that the first one holds
    the key. Any other error counts as cut off.
    """
    done = encode_data(DONE_DATA)
    if status == STATUS_OK and (body.endswith(done) or not call.is_model):
        return CallOutcome.FINISHED, ''
    try:
        error = json.loads(body)['error']
    except (ValueError, KeyError, TypeError):
        return CallOutcome.CUT_OFF, ''
    is_repeat = call.kind is CallKind.BOOKING and status == STATUS_CONFLICT
    if error['verdict'] == NOT_RUN or is_repeat:
        return CallOutcome.REFUSED, str(error['code'])
    return CallOutcome.CUT_OFF, str(error['code'])
