"""Reads a caller's HTTP request in full, within bounds."""

import urllib.parse
from typing import Any

from trefoilhinge.calls.call_parsing import ReceivedRequest
from trefoilhinge.calls.exceptions import RequestRefused
from trefoilhinge.core.verdicts import Refusal, RefusalCode, refuse_not_run

Environ = dict[str, Any]
MAXIMUM_KEY_BYTES = 512
MAXIMUM_PRIORITY_DIGITS = 9
_SAFE_PATH_CHARACTERS = "/:@!$&'()*+,;=~"


def read_request(environ: Environ, maximum_body_bytes: int) -> ReceivedRequest:
    """Return the request of a WSGI environment.

    :raises RequestRefused: it is malformed, too long or came too slowly.
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
        trace=environ.get('HTTP_TRACEPARENT', ''),
    )


def read_body(environ: Environ, maximum_body_bytes: int) -> bytes:
    """Return the body, whether its length was given or it came in chunks.

    :raises RequestRefused: it is longer than allowed, cut or too slow.
    """
    chunked = environ.get('wsgi.input_terminated', False)
    length = None if chunked else int(environ.get('CONTENT_LENGTH') or 0)
    if length is not None and length > maximum_body_bytes:
        raise RequestRefused(_refuse_too_large(maximum_body_bytes))
    try:
        body = b'' if length == 0 else environ['wsgi.input'].read(length)
    except TimeoutError:
        raise RequestRefused(refuse_slow_sender()) from None
    except ValueError as error:
        raise RequestRefused(_refuse_unreadable_body(str(error))) from None
    except OSError:
        # The library's word for a chunked body that passes its limit.
        raise RequestRefused(_refuse_too_large(maximum_body_bytes)) from None
    if length is not None and len(body) < length:
        raise RequestRefused(
            _refuse_unreadable_body('the body is shorter than declared')
        )
    return bytes(body)


def quote_path(environ: Environ) -> str:
    """Return the path and query to send on, safe to write into a request."""
    path = environ['PATH_INFO'].encode('latin-1')
    quoted = urllib.parse.quote(path, safe=_SAFE_PATH_CHARACTERS)
    # The server leaves a quoted slash as it is, to tell it from a real one.
    quoted = quoted.replace('%252F', '%2F').replace('%252f', '%2f')
    query = environ.get('QUERY_STRING', '')
    return f'{quoted}?{query}' if query else quoted


def refuse_slow_sender() -> Refusal:
    """Return the refusal of a request that did not arrive in time."""
    return refuse_not_run(
        RefusalCode.SLOW_SENDER,
        'The request did not arrive in full in the time for it.',
        limit='slow_sender_s',
    )


def _refuse_too_large(maximum_body_bytes: int) -> Refusal:
    return refuse_not_run(
        RefusalCode.TOO_LARGE,
        'The body is longer than this instance takes.',
        limit='maximum_body_bytes',
        limit_value=maximum_body_bytes,
    )


def _refuse_unreadable_body(problem: str) -> Refusal:
    return refuse_not_run(
        RefusalCode.BAD_REQUEST,
        f'The body could not be read: {problem[:100]}.',
    )


def _read_key(environ: Environ) -> str:
    key = str(environ.get('HTTP_IDEMPOTENCY_KEY', ''))
    if len(key) <= MAXIMUM_KEY_BYTES and key.isprintable():
        return key
    raise RequestRefused(
        refuse_not_run(
            RefusalCode.BAD_REQUEST,
            'The Idempotency-Key must be printable and not too long.',
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
            'X-Time-Limit-S must be a number of seconds above zero.',
            example='X-Time-Limit-S: 30',
        ),
    )


def _read_priority(environ: Environ) -> int | None:
    text = environ.get('HTTP_X_PRIORITY')
    if text is None:
        return None
    # Anything but a number is refused with the priorities that are allowed.
    is_short = len(text) <= MAXIMUM_PRIORITY_DIGITS
    return int(text) if is_short and text.isascii() and text.isdecimal() else -1
