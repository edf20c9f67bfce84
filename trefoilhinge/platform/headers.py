"""Codecs of the platform's request and response headers."""

import math
import re
from collections.abc import Iterable

import xxhash

from trefoilhinge.dispatch.calls import (
    AnswerHead,
    Attempt,
    Call,
    CallHead,
    PromptSize,
    RawHeaders,
)
from trefoilhinge.dispatch.rate_limits import MINIMUM_REQUESTS_PER_S, RATE_UNITS
from trefoilhinge.dispatch.rests import parse_rest

MS_PER_S = 1000
_RATE_HEADER = b'server-limit'
_RATE_PATTERN = re.compile(rb'\d{1,12}(\.\d{0,12})?|\.\d{1,12}')
_TOKENS_PATTERN = re.compile(rb'\d{1,12}')
MAXIMUM_REQUESTS_PER_S = 100_000  # more than any target serves
_PROMPT_HEADER = b'x-prompt-prefix'
MAXIMUM_PROMPT_PARTS = 64  # shared parts that are kept of a prompt
MAXIMUM_PART_BYTES = 32  # of an identifier; a longer one is hashed

# Headers that apply to a single connection and are never forwarded.
_HOP_BY_HOP_HEADERS = frozenset(
    (
        b'connection',
        b'content-length',
        b'expect',
        b'keep-alive',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)
_LENGTH_HEADERS = frozenset((b'content-length', b'transfer-encoding'))
# Headers that an instance evaluates or sets itself instead of forwarding them.
_REPLACED_HEADERS = frozenset(
    (
        b'api-key',
        b'last-event-id',
        b'x-deadline',
        b'x-expect-replica',
        b'x-expect-version',
        b'x-helpers',
        b'x-request-priority',
        b'x-tenant',
    )
)
# Headers that must not be repeated, because it would be ambiguous which value
# applies.
_SINGLETON_HEADERS = frozenset(
    (
        b'api-key',
        b'host',
        b'x-deadline',
        b'x-request-id',
        b'x-token-count',
    )
)
# Headers that a target requires; they are forwarded even if the caller lists
# them under Connection.
_END_TO_END_HEADERS = frozenset(
    (
        b'content-type',
        b'host',
        b'x-length-hint',
        b'x-model',
        b'x-prompt-prefix',
        b'x-request-id',
        b'x-token-count',
    )
)


def decode_request_head(
    method: bytes,
    target: bytes,
    headers: Iterable[tuple[bytes, bytes]],
) -> CallHead:
    """Decode the request line and headers of a caller's request.

    :raises ValueError: a numeric header is not a number, or a header that
        must not be repeated is.
    """
    raw_headers = tuple(headers)
    by_name = _index_by_name(raw_headers)
    return CallHead(
        method=method,
        target=target,
        host=by_name.get(b'host', b'').decode('latin-1'),
        path=target.partition(b'?')[0].decode('latin-1'),
        request_id=by_name.get(b'x-request-id', b'').decode('latin-1'),
        api_key=_decode_optional(by_name.get(b'api-key')),
        timeout_s=_parse_seconds(by_name.get(b'x-deadline')),
        prompt_size=_parse_prompt_size(by_name),
        last_event=_parse_number(by_name.get(b'last-event-id')),
        forwarded_headers=_select_forwarded(raw_headers, by_name),
        prompt_parts=decode_prompt_parts(by_name.get(_PROMPT_HEADER, b'')),
    )


def decode_prompt_parts(value: bytes) -> tuple[str, ...]:
    """Return the identifiers of the parts that prompts may share.

    The last part belongs to the request or its session. Of a long list, the
    ``MAXIMUM_PROMPT_PARTS`` before it are kept, as the first ones are the most
    common. Entries that are malformed count like others.
    """
    if not value:
        return ()
    entries = value.lower().split(b',')
    names = [entry.partition(b':')[0].strip() for entry in entries]
    shared = [name for name in names if name][:-1]
    kept = dict.fromkeys(shared[-MAXIMUM_PROMPT_PARTS:])
    return tuple(_identify_part(name) for name in kept)


def encode_request_headers(
    call: Call, attempt: Attempt
) -> list[tuple[bytes, bytes]]:
    """Encode the headers of a call that is sent to a target."""
    headers = list(call.head.forwarded_headers)
    remaining_ms = max(1, int(attempt.remaining_s * MS_PER_S))
    headers.append((b'X-Deadline', b'%d' % remaining_ms))
    headers.append((b'X-Expect-Replica', attempt.target.encode('latin-1')))
    if call.organisation is not None:
        name = call.organisation.name.encode('latin-1')
        headers.append((b'X-Tenant', name))
    if call.head.prompt_size is not None:
        headers.append((b'X-Request-Priority', b'%d' % attempt.priority))
    if attempt.helpers:
        entries = ','.join(
            f'{helper.address}/{helper.reservation_id}'
            if helper.reservation_id
            else helper.address
            for helper in attempt.helpers
        )
        headers.append((b'X-Helpers', entries.encode('latin-1')))
    if attempt.last_event is not None:
        headers.append((b'Last-Event-Id', b'%d' % attempt.last_event))
    if call.body or call.head.method != b'GET':
        headers.append((b'Content-Length', b'%d' % len(call.body)))
    headers.append((b'Connection', b'close'))
    return headers


def decode_response_head(
    status: int,
    headers: Iterable[tuple[bytes, bytes]],
) -> AnswerHead:
    """Decode the status and headers of a target's response."""
    raw_headers = tuple(headers)
    by_name = {name.lower(): value for name, value in raw_headers}
    requests_per_s, rate_problem = decode_rate(raw_headers)
    rest_s: float = 0
    rest_problem = ''
    if status == 503 and b'retry-after' in by_name:
        rest_s, rest_problem = parse_rest(
            by_name[b'retry-after'], by_name.get(b'date', b'')
        )
    return AnswerHead(
        status=status,
        request_id=by_name.get(b'x-request-id', b'').decode('latin-1'),
        is_signed=b'x-server-seal' in by_name,
        # 421 Misdirected Request: the target did not accept the request.
        not_run=b'x-not-run' in by_name or status == 421,
        at_fault=by_name.get(b'at-server', b'').decode('latin-1'),
        forwarded_headers=tuple(
            (name, value)
            for name, value in raw_headers
            if name.lower() not in _HOP_BY_HOP_HEADERS
        ),
        ends_with_connection=not _LENGTH_HEADERS & by_name.keys(),
        requests_per_s=requests_per_s,
        rate_problem=rate_problem,
        rest_s=rest_s,
        rest_problem=rest_problem,
        is_leaving=by_name.get(b'server-leaving', b'').strip() == b'1',
    )


def decode_rate(
    headers: Iterable[tuple[bytes, bytes]],
) -> tuple[float | None, str]:
    """Decode the rate that a target takes from all instances together.

    :return: requests per second, not below ``MINIMUM_REQUESTS_PER_S``, and
        an empty text; or none and why the header cannot be read, empty if
        there is none.
    """
    values = [
        value.strip() for name, value in headers if name.lower() == _RATE_HEADER
    ]
    if not values:
        return None, ''
    text = b', '.join(values)
    if len(values) > 1 or not _RATE_PATTERN.fullmatch(text):
        return None, f'{text[:40]!r} is not one decimal number'
    rate = round(float(text) * RATE_UNITS) / RATE_UNITS
    if rate > MAXIMUM_REQUESTS_PER_S:
        return None, f'{rate} is over {MAXIMUM_REQUESTS_PER_S} a second'
    return max(rate, MINIMUM_REQUESTS_PER_S), ''


def encode_refusal_headers(
    request_id: str,
    retry_after_s: float | None,
) -> list[tuple[bytes, bytes]]:
    """Encode the headers of a refusal generated by an instance."""
    headers = [(b'Content-Type', b'application/json')]
    if request_id:
        headers.append((b'X-Request-Id', request_id.encode('latin-1')))
    if retry_after_s is not None:
        headers.append((b'Retry-After', b'%.2f' % retry_after_s))
    return headers


def _index_by_name(raw_headers: RawHeaders) -> dict[bytes, bytes]:
    by_name: dict[bytes, bytes] = {}
    for raw_name, value in raw_headers:
        name = raw_name.lower()
        if name in by_name and name in _SINGLETON_HEADERS:
            raise ValueError(
                f'the header {name.decode("latin-1")} must not be repeated'
            )
        if name == _PROMPT_HEADER and name in by_name:
            value = b','.join((by_name[name], value))
        by_name[name] = value
    return by_name


def _identify_part(name: bytes) -> str:
    if len(name) <= MAXIMUM_PART_BYTES:
        return name.decode('latin-1')
    return f'#{xxhash.xxh64_hexdigest(name)}'


def _select_forwarded(
    raw_headers: RawHeaders, by_name: dict[bytes, bytes]
) -> RawHeaders:
    connection_options = {
        option.strip().lower()
        for option in by_name.get(b'connection', b'').split(b',')
    }
    excluded = (
        (connection_options - _END_TO_END_HEADERS)
        | _HOP_BY_HOP_HEADERS
        | _REPLACED_HEADERS
    )
    return tuple(
        (name, value)
        for name, value in raw_headers
        if name.lower() not in excluded
    )


def _decode_optional(value: bytes | None) -> str | None:
    return None if value is None else value.decode('latin-1')


def _parse_number(value: bytes | None) -> int | None:
    if value is None or not value.isdigit():
        return None
    return int(value)


def _parse_seconds(value: bytes | None) -> float | None:
    if value is None:
        return None
    seconds = float(value) / MS_PER_S
    if not 0 <= seconds < math.inf:
        raise ValueError(f'x-deadline is no duration: {value[:40]!r}')
    return seconds


def _parse_prompt_size(by_name: dict[bytes, bytes]) -> PromptSize | None:
    value = by_name.get(b'x-token-count')
    if value is None:
        return None
    prompt_tokens, maximum_tokens = _parse_token_counts(value)
    hint = _parse_number(by_name.get(b'x-length-hint'))
    expected_tokens = (
        maximum_tokens if hint is None else min(hint, maximum_tokens)
    )
    return PromptSize(prompt_tokens, maximum_tokens, expected_tokens)


def _parse_token_counts(value: bytes) -> tuple[int, int]:
    """Return the tokens of a prompt and the limit on those of its output."""
    prompt, _, limit = value.partition(b',')
    counts = (prompt.strip(), limit.strip() or b'0')
    if not all(_TOKENS_PATTERN.fullmatch(count) for count in counts):
        raise ValueError(f'x-token-count is malformed: {value[:40]!r}')
    return int(counts[0]), int(counts[1])
