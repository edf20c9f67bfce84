"""Example requests for the callers of a service."""

import json
import shlex
from collections.abc import Iterator

from attrs import frozen

from trefoilhinge.conf.generated.document import Document, PathRule, Service

# Line continuation of a shell: a backslash at the end of the line.
_LINE_CONTINUATION = ' \x5c\n  '
ENTRY_URL = 'https://ENTRY-ADDRESS'
_CREATE_KEY_COMMAND = (
    f'KEY=$(curl -s -X POST {ENTRY_URL}/v1/idempotency-keys'
    ' -H "Authorization: Bearer $API_KEY" | cut -d \'"\' -f 4)'
)


@frozen
class CallerExample:
    """Example request.

    :ivar title: description of the request.
    :ivar text: shell commands.
    """

    title: str
    text: str


def list_examples(
    service: Service,
    document: Document,
) -> tuple[CallerExample, ...]:
    """Return an example for each kind of call that a service accepts."""
    time_limit = f'X-Time-Limit-S: {document.time_limits.default_s:g}'
    if service.kind == 'model':
        return tuple(_list_model_examples(service, time_limit))
    rules = service.paths or (PathRule(path='/', idempotent=False),)
    return tuple(
        _make_plain_example(service, rule, time_limit) for rule in rules
    )


def _list_model_examples(
    service: Service,
    time_limit: str,
) -> Iterator[CallerExample]:
    body = {
        'model': service.name,
        'messages': [{'role': 'user', 'content': 'Describe the afternoon.'}],
        'max_tokens': 256,
        'stream': True,
    }
    yield CallerExample(
        'A streamed call that may be retried',
        _format_command(
            '/v1/chat/completions', time_limit, (), json.dumps(body), '-N'
        ),
    )
    yield CallerExample(
        'A call that must run at most once',
        _format_at_most_once_call(
            '/v1/chat/completions', time_limit, json.dumps(body), '-N'
        ),
    )


def _make_plain_example(
    service: Service,
    rule: PathRule,
    time_limit: str,
) -> CallerExample:
    path = f'/services/{service.name}{rule.path}'
    if rule.idempotent:
        return CallerExample(
            f'{rule.path}: may be retried',
            _format_command(path, time_limit, (), '{"example": true}'),
        )
    return CallerExample(
        f'{rule.path}: must run at most once',
        _format_at_most_once_call(path, time_limit, '{"example": true}'),
    )


def _format_at_most_once_call(
    path: str, time_limit: str, body: str, *flags: str
) -> str:
    headers = ('Idempotency-Key: $KEY', 'X-Repeatable: no')
    lines = (
        '# One key per operation: reuse it only to query this call.',
        _CREATE_KEY_COMMAND,
        _format_command(path, time_limit, headers, body, *flags),
    )
    return '\n'.join(lines)


def _format_command(
    path: str,
    time_limit: str,
    headers: tuple[str, ...],
    body: str,
    *flags: str,
) -> str:
    all_headers = (
        'Authorization: Bearer $API_KEY',
        'Content-Type: application/json',
        time_limit,
        *headers,
    )
    arguments = (
        ' '.join(('curl', *flags, f'{ENTRY_URL}{path}')),
        *(f'-H "{header}"' for header in all_headers),
        f'-d {shlex.quote(body)}',
    )
    return _LINE_CONTINUATION.join(arguments)
