"""Callers of the demo: plain HTTP, as a script would send it."""

import json
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import urllib3
from attrs import define, field, frozen

from trefoilhinge.core.sse import DONE_DATA, encode_data
from trefoilhinge.demo.deployment import DemoDeployment
from trefoilhinge.demo.workload import OUTPUT_TOKENS, CallKind, PlannedCall

CALLER_THREADS = 24
TIME_LIMIT_S = 60
STATUS_OK = 200
STATUS_CONFLICT = 409
READ_BYTES = 65536
MAXIMUM_WAITS = 8
NOT_RUN = 'not_run'


class Ending:
    """How a call ended, as its caller saw it."""

    FINISHED = 'finished'
    REFUSED = 'refused'
    CUT_OFF = 'cut off'


@frozen
class CallResult:
    """Outcome of one call.

    :ivar first_token_s: seconds to the first byte of the answer.
    :ivar code: code of the refusal, empty if it was answered.
    :ivar waits: how often the caller was told to come back, and did.
    """

    call: PlannedCall
    ending: str
    first_token_s: float
    code: str = ''
    waits: int = 0


@define
class DemoCallers:
    """Sends planned calls to the instances of a deployment in turn."""

    _deployment: DemoDeployment
    _pool: urllib3.PoolManager = field(
        factory=lambda: urllib3.PoolManager(
            maxsize=CALLER_THREADS,
            retries=False,
        ),
    )
    _keys: dict[str, str] = field(factory=dict)
    _lock: threading.Lock = field(factory=threading.Lock)

    def send_all(self, calls: tuple[PlannedCall, ...]) -> list[CallResult]:
        """Send calls side by side and return how each ended."""
        with ThreadPoolExecutor(CALLER_THREADS) as executor:
            return list(executor.map(self._send, calls, range(len(calls))))

    def _send(self, call: PlannedCall, number: int) -> CallResult:
        begun_s = time.monotonic()
        try:
            return self._receive(call, number)
        except urllib3.exceptions.HTTPError:
            elapsed_s = time.monotonic() - begun_s
            return CallResult(call, Ending.CUT_OFF, elapsed_s)

    def _receive(self, call: PlannedCall, number: int) -> CallResult:
        for waits in range(MAXIMUM_WAITS):
            result, wait_s = self._receive_once(call, number, waits)
            if wait_s is None:
                return result
            time.sleep(wait_s)
        return result

    def _receive_once(
        self,
        call: PlannedCall,
        number: int,
        waits: int,
    ) -> tuple[CallResult, float | None]:
        """Return what came of one sending, and when to come back."""
        begun_s = time.monotonic()
        response = self._open(call, number)
        piece = response.read1(READ_BYTES)
        first_s = time.monotonic() - begun_s
        body = piece + response.read()
        ending, code = _judge(call, response.status, body)
        wait_s = None
        if (
            ending == Ending.REFUSED
            and response.headers['X-Verdict'] == NOT_RUN
        ):
            wait_s = _read_wait(response)
        return CallResult(call, ending, first_s, code, waits), wait_s

    def _open(
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
            headers['Idempotency-Key'] = self._find_key(call)
        return self._pool.request(
            'POST',
            urls[number % len(urls)] + path,
            body=json.dumps(fields).encode(),
            headers=headers,
            preload_content=False,
            timeout=urllib3.Timeout(connect=5, read=TIME_LIMIT_S + 5),
        )

    def _find_key(self, call: PlannedCall) -> str:
        """Return the booking's key, minted before its first sending."""
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


def _read_wait(response: urllib3.BaseHTTPResponse) -> float | None:
    text = response.headers.get('Retry-After', '')
    return float(text) if text.isdecimal() else None


def _judge(call: PlannedCall, status: int, body: bytes) -> tuple[str, str]:
    """Return how an answer ended and its refusal's code.

    A refusal is no cut-off where it says that the call was not run, or, for
    the second sending of a booking, that the first one has its key.
    """
    done = encode_data(DONE_DATA)
    if status == STATUS_OK and (body.endswith(done) or not call.is_model):
        return Ending.FINISHED, ''
    try:
        error = json.loads(body)['error']
    except (ValueError, KeyError, TypeError):
        return Ending.CUT_OFF, ''
    doubled = call.kind is CallKind.BOOKING and status == STATUS_CONFLICT
    if error['verdict'] == NOT_RUN or doubled:
        return Ending.REFUSED, str(error['code'])
    return Ending.CUT_OFF, str(error['code'])
