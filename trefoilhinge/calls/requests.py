"""Reading of callers' HTTP requests within limits of size and time."""

import errno
import threading
import urllib.parse
from collections.abc import Iterator
from typing import Any

from trefoilhinge.calls.call_parsing import ReceivedRequest
from trefoilhinge.calls.connections import CONNECTION_KEY
from trefoilhinge.calls.deadlines import ReceiveInterrupted
from trefoilhinge.calls.exceptions import RequestRefused
from trefoilhinge.chunked_bodies import ChunkedBody, ChunksMalformed
from trefoilhinge.core.verdicts import (
    Refusal,
    RefusalCode,
    refuse_not_run,
    refuse_stopping,
)

Environ = dict[str, Any]
MAXIMUM_KEY_BYTES = 512
MAXIMUM_PRIORITY_DIGITS = 9
PART_BYTES = 65_536  # of a body that is read
# Threads that decode chunks at a time: more would delay all other threads, as
# only one of them runs.
_DECODERS = threading.Semaphore(1)
_SAFE_PATH_CHARACTERS = "/:@!$&'()*+,;=~"


def read_request(environ: Environ, maximum_body_bytes: int) -> ReceivedRequest:
    """Read the request of a WSGI environment.

    :raises RequestRefused: the request is malformed, too large or arrived too
        slowly.
    """
    return ReceivedRequest(
        method=environ['REQUEST_METHOD'],
        path=environ['PATH_INFO'],
        target_path=quote_path(environ),
        body=read_body(environ, maximum_body_bytes),
        content_type=environ.get('CONTENT_TYPE') or 'application/json',
        time_limit_s=_read_time_limit_s(environ, 'HTTP_X_TIME_LIMIT_S'),
        key=_read_key(environ),
        priority=_read_priority(environ),
        repeatable=environ.get('HTTP_X_REPEATABLE', 'yes') != 'no',
        traceparent=environ.get('HTTP_TRACEPARENT', ''),
    )


def read_body(environ: Environ, maximum_body_bytes: int) -> bytes:
    """Read a body that is chunked or has a ``Content-Length``.

    :raises RequestRefused: the body is too large or incomplete, arrived too
        slowly or had not arrived when the instance stopped.
    """
    chunked = environ.get('wsgi.input_terminated', False)
    length = None if chunked else int(environ.get('CONTENT_LENGTH') or 0)
    if length is not None and length > maximum_body_bytes:
        raise RequestRefused(_refuse_too_large(maximum_body_bytes))
    try:
        body = _read_content(environ, length, maximum_body_bytes)
    except TimeoutError as error:
        raise RequestRefused(_refuse_late_body(error)) from None
    except ValueError as error:
        raise RequestRefused(_refuse_unreadable_body(str(error))) from None
    except OSError:
        # Cheroot raises this for a chunked body that exceeds its limit.
        raise RequestRefused(_refuse_too_large(maximum_body_bytes)) from None
    if length is not None and len(body) < length:
        raise RequestRefused(
            _refuse_unreadable_body(
                'the body is shorter than its Content-Length'
            )
        )
    environ[CONNECTION_KEY].complete_receipt()
    return body


def _read_content(
    environ: Environ, length: int | None, maximum_body_bytes: int
) -> bytes:
    """Read a body in parts, each of which is counted before it is kept.

    :raises RequestRefused: it was ended in favour of others.
    :raises ValueError: the chunks are malformed.
    :raises OSError: the body is too long.
    """
    connection = environ[CONNECTION_KEY]
    if length is None:
        parts = _read_chunks(connection, maximum_body_bytes)
    else:
        parts = _read_parts(environ['wsgi.input'], length)
    body = bytearray()
    for part in parts:
        connection.hold(len(part))
        body += part
    # The end of a receipt in favour of others reads like the end of input.
    connection.hold(0)
    return bytes(body)


def _read_parts(source: Any, length: int) -> Iterator[bytes]:
    left = length
    while left:
        part = source.read(min(left, PART_BYTES))
        if not part:
            return
        left -= len(part)
        yield part


def _read_chunks(connection: Any, maximum_body_bytes: int) -> Iterator[bytes]:
    body = ChunkedBody(connection.server.max_request_header_size)
    while not body.is_ended:
        received = connection.rfile.read1(PART_BYTES)
        if not received:
            raise ValueError('the body ends before its last chunk')
        with _DECODERS:
            try:
                part, _ = body.decode(received)
            except ChunksMalformed as problem:
                raise ValueError(str(problem)) from None
        if body.content_bytes > maximum_body_bytes:
            raise OSError(errno.EMSGSIZE, 'the body is too long')
        yield part
    connection.request.chunked_read = False


def quote_path(environ: Environ) -> str:
    """Return the percent-encoded path and query to send to a target."""
    path = environ['PATH_INFO'].encode('latin-1')
    quoted = urllib.parse.quote(path, safe=_SAFE_PATH_CHARACTERS)
    # Cheroot does not decode an encoded slash, to distinguish it from a path
    # separator.
    quoted = quoted.replace('%252F', '%2F').replace('%252f', '%2f')
    query = environ.get('QUERY_STRING', '')
    return f'{quoted}?{query}' if query else quoted


def _refuse_late_body(error: TimeoutError) -> Refusal:
    if isinstance(error, ReceiveInterrupted):
        return refuse_stopping()
    return refuse_not_run(
        RefusalCode.SLOW_SENDER,
        'The request was not received in full within the time limit.',
        limit='slow_sender_s',
    )


def _refuse_too_large(maximum_body_bytes: int) -> Refusal:
    return refuse_not_run(
        RefusalCode.TOO_LARGE,
        'The request body exceeds the maximum size.',
        limit='maximum_body_bytes',
        limit_value=maximum_body_bytes,
    )


def _refuse_unreadable_body(problem: str) -> Refusal:
    return refuse_not_run(
        RefusalCode.BAD_REQUEST,
        f'The request body could not be read: {problem[:100]}.',
    )


def _read_key(environ: Environ) -> str:
    key = str(environ.get('HTTP_IDEMPOTENCY_KEY', ''))
    if len(key) <= MAXIMUM_KEY_BYTES and key.isprintable():
        return key
    raise RequestRefused(
        refuse_not_run(
            RefusalCode.BAD_REQUEST,
            'The Idempotency-Key has unprintable characters or is too long.',
            limit='idempotency_key_bytes',
            limit_value=MAXIMUM_KEY_BYTES,
        ),
    )


def _read_time_limit_s(environ: Environ, name: str) -> float | None:
    text = environ.get(name)
    if text is None:
        return None
    try:
        value = float(text)
    except ValueError:
        value = 0
    if 0 < value < float('inf'):
        return value
    raise RequestRefused(
        refuse_not_run(
            RefusalCode.BAD_REQUEST,
            'X-Time-Limit-S must be a positive number of seconds.',
            example='X-Time-Limit-S: 30',
        ),
    )


def _read_priority(environ: Environ) -> int | None:
    text = environ.get('HTTP_X_PRIORITY')
    if text is None:
        return None
    # Anything but a short decimal number becomes -1, which no organisation may
    # use, so that the refusal lists the allowed priorities.
    is_short = len(text) <= MAXIMUM_PRIORITY_DIGITS
    return int(text) if is_short and text.isascii() and text.isdecimal() else -1
