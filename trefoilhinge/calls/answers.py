"""Answers to callers: refusals as JSON, streams and whole completions."""

import json
from collections.abc import Iterable
from typing import Any

from trefoilhinge.core.lines import StreamEvent
from trefoilhinge.core.verdicts import Refusal

Headers = list[tuple[str, str]]

MODEL_OWNER = 'trefoilhinge'  # stock clients need some owner of a model
REASON_PHRASES = {
    200: 'OK',
    400: 'Bad Request',
    401: 'Unauthorized',
    403: 'Forbidden',
    404: 'Not Found',
    408: 'Request Timeout',
    409: 'Conflict',
    413: 'Content Too Large',
    429: 'Too Many Requests',
    502: 'Bad Gateway',
    503: 'Service Unavailable',
    504: 'Gateway Timeout',
}


def describe_models(names: Iterable[str]) -> dict[str, Any]:
    """Return the JSON object that lists models, as stock clients read it."""
    return {
        'object': 'list',
        'data': [
            {
                'id': name,
                'object': 'model',
                'created': 0,
                'owned_by': MODEL_OWNER,
            }
            for name in names
        ],
    }


def describe_refusal(refusal: Refusal, request_id: str) -> dict[str, Any]:
    """Return the JSON object that tells a refusal."""
    error = {
        'code': refusal.code.value,
        'verdict': refusal.verdict.value,
        'message': refusal.message,
        'type': 'trefoilhinge_refusal',
        'request_id': request_id,
    }
    if refusal.limit:
        error['limit'] = refusal.limit
    fields: dict[str, Any] = dict(error)
    if refusal.limit_value is not None:
        fields['limit_value'] = refusal.limit_value
    if refusal.retry_after_s is not None:
        fields['retry_after_s'] = refusal.retry_after_s
    if refusal.example:
        fields['example'] = refusal.example
    return {'error': fields}


def encode_refusal(refusal: Refusal, request_id: str) -> bytes:
    """Return the body of a refusal."""
    return json.dumps(describe_refusal(refusal, request_id)).encode()


def make_refusal_headers(refusal: Refusal, body_bytes: int) -> Headers:
    """Return the headers of a refusal.

    :param size: length of the body, in bytes.
    """
    headers = [
        ('Content-Type', 'application/json'),
        ('Content-Length', str(body_bytes)),
        ('X-Verdict', refusal.verdict.value),
        # A stock client would otherwise repeat the call by itself.
        ('X-Should-Retry', 'false'),
    ]
    if refusal.retry_after_s is not None:
        headers.append(('Retry-After', str(int(refusal.retry_after_s + 1))))
    return headers


def format_status(status: int) -> str:
    """Return a status line's number and reason."""
    return f'{status} {REASON_PHRASES.get(status, "Answer")}'


def assemble_completion(events: Iterable[StreamEvent], chat: bool) -> bytes:
    """Return the whole completion that a stream of chunks adds up to.

    :param events: every event but the finish marker, in order.
    :param chat: whether the answer is of the chat form.
    """
    completion: dict[str, Any] = {}
    texts: list[str] = []
    finish = None
    usage = None
    for event in events:
        chunk = json.loads(event.data)
        completion = completion or chunk
        usage = chunk.get('usage') or usage
        for choice in chunk.get('choices', ()):
            texts.append(_extract_text(choice))
            finish = choice.get('finish_reason') or finish
    text = ''.join(texts)
    choice = {'index': 0, 'finish_reason': finish, 'logprobs': None}
    if chat:
        choice['message'] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    body = {
        **completion,
        'object': 'chat.completion' if chat else 'text_completion',
        'choices': [choice],
        'usage': usage,
    }
    return json.dumps(body).encode()


def _extract_text(choice: dict[str, Any]) -> str:
    delta = choice.get('delta') or {}
    return choice.get('text') or delta.get('content') or ''
