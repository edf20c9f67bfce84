"""WSGI application that callers speak to."""

import uuid
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import Executor
from typing import Any

from attrs import define

from trefoilhinge.calls.answers import (
    format_status,
    list_refusal_headers,
    write_refusal,
)
from trefoilhinge.calls.authentication import KeyRing
from trefoilhinge.calls.conversation import Conversation
from trefoilhinge.calls.mailboxes import Mailboxes
from trefoilhinge.calls.profiles import (
    ReceivedRequest,
    RequestRefused,
    understand_request,
)
from trefoilhinge.calls.relay import AnswerReader
from trefoilhinge.conf.generated.document import Document
from trefoilhinge.core.clocks import Clock
from trefoilhinge.core.events import CallerGone, CallReceived, Event
from trefoilhinge.core.identifiers import RequestId
from trefoilhinge.core.lines import DONE_DATA, write_data
from trefoilhinge.core.verdicts import Refusal, RefusalCode, refuse_not_run
from trefoilhinge.platform.interfaces import OutgoingCall

Environ = dict[str, Any]
StartResponse = Callable[..., Any]


@define
class CallerApplication:
    """Answers callers; one thread of the server for each call."""

    _keys: KeyRing
    _find_document: Callable[[], Document | None]
    _mailboxes: Mailboxes
    _reader: AnswerReader
    _executor: Executor
    _clock: Clock
    _report: Callable[[Event], None]
    _maximum_body_bytes: int

    def __call__(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Serve one request."""
        request_id = RequestId(uuid.uuid4().hex)
        try:
            conversation = self._begin(environ, request_id)
        except RequestRefused as refused:
            return _answer_refusal(refused.refusal, request_id, start_response)
        return self._answer(conversation, start_response)

    def _begin(
        self,
        environ: Environ,
        request_id: RequestId,
    ) -> Conversation:
        document = self._find_document()
        authorization = environ.get('HTTP_AUTHORIZATION', '')
        organisation = self._keys.find_organisation(authorization)
        if document is None:
            raise RequestRefused(
                refuse_not_run(
                    RefusalCode.NOT_READY,
                    'This instance has no configuration yet; try again.',
                    retry_after_s=1,
                ),
            )
        if organisation is None:
            raise RequestRefused(
                refuse_not_run(
                    RefusalCode.UNKNOWN_KEY,
                    'The API key is not known; check the Authorization header.',
                    example='Authorization: Bearer th-...',
                ),
            )
        request = self._read_request(environ)
        now_s = self._clock.read().monotonic_s
        call = understand_request(
            request,
            organisation,
            document,
            request_id,
            now_s,
        )
        conversation = Conversation(
            call,
            OutgoingCall(
                request.method,
                call.target_path,
                request.body,
                request.content_type,
                request.trace,
            ),
            document.time_limits.silence_s,
            self._mailboxes.open(request_id),
            self._reader,
            self._executor,
            self._clock,
            self._report,
        )
        self._report(CallReceived(call.profile))
        return conversation

    def _read_request(self, environ: Environ) -> ReceivedRequest:
        length = int(environ.get('CONTENT_LENGTH') or 0)
        if length > self._maximum_body_bytes:
            raise RequestRefused(
                refuse_not_run(
                    RefusalCode.TOO_LARGE,
                    'The body is longer than this instance takes.',
                    limit='maximum_body_bytes',
                    limit_value=self._maximum_body_bytes,
                ),
            )
        return ReceivedRequest(
            method=environ['REQUEST_METHOD'],
            path=environ['PATH_INFO'],
            body=environ['wsgi.input'].read(length) if length else b'',
            content_type=environ.get('CONTENT_TYPE') or 'application/json',
            time_limit_s=_read_number(environ, 'HTTP_X_TIME_LIMIT_S'),
            key=environ.get('HTTP_IDEMPOTENCY_KEY', ''),
            priority=_read_priority(environ),
            repeatable=environ.get('HTTP_X_REPEATABLE', 'yes') != 'no',
            trace=environ.get('HTTP_TRACEPARENT', ''),
        )

    def _answer(
        self,
        conversation: Conversation,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        request_id = conversation.call.profile.request_id
        pieces = conversation.read_pieces()
        first = next(pieces, None)
        if first is not None:
            headers = [
                ('Content-Type', 'text/event-stream'),
                ('X-Request-Id', request_id),
            ]
            start_response(format_status(200), headers)
            return self._stream(conversation, first, pieces)
        self._mailboxes.close(request_id)
        if conversation.refusal is not None:
            return _answer_refusal(
                conversation.refusal,
                request_id,
                start_response,
            )
        return _answer_whole(conversation, start_response)

    def _stream(
        self,
        conversation: Conversation,
        first: bytes,
        pieces: Iterator[bytes],
    ) -> Iterator[bytes]:
        request_id = conversation.call.profile.request_id
        try:
            yield first
            yield from pieces
            if conversation.refusal is None:
                yield write_data(DONE_DATA)
            else:
                body = write_refusal(conversation.refusal, request_id)
                yield write_data(body.decode())
        finally:
            self._mailboxes.close(request_id)
            if not conversation.finished:
                self._report(CallerGone(request_id))


def _answer_refusal(
    refusal: Refusal,
    request_id: str,
    start_response: StartResponse,
) -> Iterable[bytes]:
    body = write_refusal(refusal, request_id)
    headers = list_refusal_headers(refusal, len(body))
    headers.append(('X-Request-Id', request_id))
    start_response(format_status(refusal.status), headers)
    return [body]


def _answer_whole(
    conversation: Conversation,
    start_response: StartResponse,
) -> Iterable[bytes]:
    plain = conversation.plain
    status = 200
    content_type = 'application/json'
    if plain is None:
        body = conversation.join_answer()
    else:
        body = plain.body
        status = plain.status
        content_type = plain.content_type
    headers = [
        ('Content-Type', content_type),
        ('Content-Length', str(len(body))),
        ('X-Request-Id', conversation.call.profile.request_id),
    ]
    start_response(format_status(status), headers)
    return [body]


def _read_number(environ: Environ, name: str) -> float | None:
    text = environ.get(name)
    if text is None:
        return None
    try:
        value = float(text)
    except ValueError:
        value = 0
    if value > 0:
        return value
    raise RequestRefused(
        refuse_not_run(
            RefusalCode.BAD_REQUEST,
            'X-Time-Limit-S must be a number of seconds above zero.',
            example='X-Time-Limit-S: 30',
        ),
    )


def _read_priority(environ: Environ) -> int | None:
    text = environ.get('HTTP_X_PRIORITY')
    if text is None:
        return None
    # Anything but a number is refused with the priorities that are allowed.
    return int(text) if text.isdecimal() else -1
