"""Response bodies of the stand-ins: JSON and completion chunks."""

import json
from collections.abc import Callable, Iterable
from typing import Any

Environ = dict[str, Any]
StartResponse = Callable[..., Any]


def make_chunk(
    stream_id: str,
    number: int,
    chat: bool,
    last: bool,
) -> dict[str, Any]:
    """Build one chunk of a streamed completion."""
    word = f'word{number} '
    choice: dict[str, Any] = {'index': 0, 'finish_reason': None}
    if last:
        choice['finish_reason'] = 'stop'
    if chat:
        choice['delta'] = {'role': 'assistant', 'content': word}
    else:
        choice['text'] = word
    return {
        'id': f'cmpl-{stream_id}',
        'object': 'chat.completion.chunk' if chat else 'text_completion',
        'created': 0,
        'model': 'stand-in',
        'choices': [choice],
    }


def read_body(environ: Environ) -> bytes:
    """Read a request's body."""
    length = int(environ.get('CONTENT_LENGTH') or 0)
    body: bytes = environ['wsgi.input'].read(length) if length else b''
    return body


def read_fields(environ: Environ) -> dict[str, Any]:
    """Parse a request's body as a JSON object."""
    fields: dict[str, Any] = json.loads(read_body(environ) or b'{}')
    return fields


def answer_json(
    start_response: StartResponse,
    fields: dict[str, Any],
    status: int = 200,
    headers: Iterable[tuple[str, str]] = (),
) -> Iterable[bytes]:
    """Respond with a JSON object."""
    body = json.dumps(fields).encode()
    start_response(
        f'{status} Answer',
        [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(body))),
            *headers,
        ],
    )
    return [body]
