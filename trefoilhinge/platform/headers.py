"""Headers of calls and answers, as the platform names them."""

from collections.abc import Iterable

from trefoilhinge.dispatch.calls import (
    AnswerHead,
    Call,
    CallHead,
    Offer,
    PromptSize,
    RawHeaders,
)

MS_PER_S = 1000

# Headers that concern one connection only, and those that an instance sets.
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
# Headers whose second copy would leave open which one holds.
_SINGLETON_HEADERS = frozenset(
    (
        b'api-key',
        b'host',
        b'x-deadline',
        b'x-request-id',
        b'x-token-count',
    )
)
# What a target needs, whatever a caller lists under Connection.
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
    """Decode the head of a caller's request.

    :raises ValueError: a header that must be a number is none, or one that
        must stand once stands twice.
    """
    sent = tuple(headers)
    named = _index_by_name(sent)
    return CallHead(
        method=method,
        target=target,
        host=named.get(b'host', b'').decode('latin-1'),
        path=target.partition(b'?')[0].decode('latin-1'),
        request_id=named.get(b'x-request-id', b'').decode('latin-1'),
        api_key=_read_text(named.get(b'api-key')),
        deadline_s=_read_seconds(named.get(b'x-deadline')),
        prompt=_read_size(named),
        last_event=_read_number(named.get(b'last-event-id')),
        passed=_select_forwarded(sent, named),
    )


def encode_request_headers(
    call: Call, offer: Offer
) -> list[tuple[bytes, bytes]]:
    """Return the headers of a call for one target."""
    headers = list(call.head.passed)
    remaining_ms = max(1, int(offer.remaining_s * MS_PER_S))
    headers.append((b'X-Deadline', b'%d' % remaining_ms))
    headers.append((b'X-Expect-Replica', offer.target.encode('latin-1')))
    if call.organisation is not None:
        name = call.organisation.name.encode('latin-1')
        headers.append((b'X-Tenant', name))
    if call.head.prompt is not None:
        headers.append((b'X-Request-Priority', b'%d' % offer.priority))
    if offer.helpers:
        entries = ','.join(
            f'{one.address}/{one.ticket}' if one.ticket else one.address
            for one in offer.helpers
        )
        headers.append((b'X-Helpers', entries.encode('latin-1')))
    if offer.last_event is not None:
        headers.append((b'Last-Event-Id', b'%d' % offer.last_event))
    if call.body or call.head.method != b'GET':
        headers.append((b'Content-Length', b'%d' % len(call.body)))
    headers.append((b'Connection', b'close'))
    return headers


def decode_response_head(
    status: int,
    headers: Iterable[tuple[bytes, bytes]],
) -> AnswerHead:
    """Decode the head of a target's answer."""
    sent = tuple(headers)
    named = {name.lower(): value for name, value in sent}
    return AnswerHead(
        status=status,
        request_id=named.get(b'x-request-id', b'').decode('latin-1'),
        is_sealed=b'x-server-seal' in named,
        not_run=b'x-not-run' in named or status == 421,
        at_fault=named.get(b'at-server', b'').decode('latin-1'),
        passed=tuple(
            (name, value)
            for name, value in sent
            if name.lower() not in _HOP_BY_HOP_HEADERS
        ),
    )


def encode_refusal_headers(
    request_id: str,
    retry_after_s: float | None,
) -> list[tuple[bytes, bytes]]:
    """Return the headers of an answer that an instance gives itself."""
    headers = [(b'Content-Type', b'application/json')]
    if request_id:
        headers.append((b'X-Request-Id', request_id.encode('latin-1')))
    if retry_after_s is not None:
        headers.append((b'Retry-After', b'%.2f' % retry_after_s))
    return headers


def _index_by_name(sent: RawHeaders) -> dict[bytes, bytes]:
    named: dict[bytes, bytes] = {}
    for raw_name, value in sent:
        name = raw_name.lower()
        if name in named and name in _SINGLETON_HEADERS:
            raise ValueError(f'the header {name.decode("latin-1")} is repeated')
        named[name] = value
    return named


def _select_forwarded(
    sent: RawHeaders, named: dict[bytes, bytes]
) -> RawHeaders:
    listed = {
        token.strip().lower()
        for token in named.get(b'connection', b'').split(b',')
    }
    dropped = (
        (listed - _END_TO_END_HEADERS) | _HOP_BY_HOP_HEADERS | _REPLACED_HEADERS
    )
    return tuple(
        (name, value) for name, value in sent if name.lower() not in dropped
    )


def _read_text(value: bytes | None) -> str | None:
    return None if value is None else value.decode('latin-1')


def _read_number(value: bytes | None) -> int | None:
    if value is None or not value.isdigit():
        return None
    return int(value)


def _read_seconds(value: bytes | None) -> float | None:
    if value is None:
        return None
    return max(0, float(value) / MS_PER_S)


def _read_size(named: dict[bytes, bytes]) -> PromptSize | None:
    value = named.get(b'x-token-count')
    if value is None:
        return None
    prompt, _, limit = value.partition(b',')
    answer_limit = int(limit or b'0')
    hint = _read_number(named.get(b'x-length-hint'))
    expected = answer_limit if hint is None else min(hint, answer_limit)
    return PromptSize(int(prompt), answer_limit, expected)
