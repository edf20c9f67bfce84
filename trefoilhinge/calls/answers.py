"""Encoding of responses to callers: refusals, model lists and completions."""

import json
from collections.abc import Iterable
from typing import Any

from trefoilhinge.core.sse import StreamEvent
from trefoilhinge.core.verdicts import Refusal

Headers = list[tuple[str, str]]

# OpenAI clients require ``owned_by`` in each model object.
MODEL_OWNER = 'trefoilhinge'
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
    """Return the model list in the format of the OpenAI API."""
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
    """Return the JSON object of a refusal."""
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
    """Return the JSON body of a refusal."""
    return json.dumps(describe_refusal(refusal, request_id)).encode()


def make_refusal_headers(refusal: Refusal, body_bytes: int) -> Headers:
    """Return the response headers of a refusal.

    :param body_bytes: length of the body.
    """
    headers = [
        ('Content-Type', 'application/json'),
        ('Content-Length', str(body_bytes)),
        ('X-Verdict', refusal.verdict.value),
        # Without it, OpenAI clients retry the call automatically.
        ('X-Should-Retry', 'false'),
    ]
    if refusal.retry_after_s is not None:
        # Retry-After takes whole seconds and must not be too short.
        headers.append(('Retry-After', str(int(refusal.retry_after_s + 1))))
    return headers


def format_status(status: int) -> str:
    """Return the status code with its reason phrase for a status line."""
    return f'{status} {REASON_PHRASES.get(status, "Answer")}'


def assemble_completion(events: Iterable[StreamEvent], chat: bool) -> bytes:
    """Merge the chunks of a stream into one completion object.

    :param events: all events in order, without the finish marker.
    :param chat: whether to return a chat completion.
    :return: the completion as JSON.
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
