"""Builds the profile of a call from its HTTP request."""

import hashlib
import json
from typing import Any

import xxhash
from attrs import frozen

from trefoilhinge.conf.generated.document import (
    Document,
    Organisation,
    Service,
)
from trefoilhinge.core.identifiers import RequestId
from trefoilhinge.core.profiles import CallProfile
from trefoilhinge.core.verdicts import Refusal, RefusalCode, refuse_not_run

BYTES_PER_TOKEN = 4
PREFIX_BLOCK_BYTES = 2048
MAXIMUM_PREFIX_BLOCKS = 512
DEFAULT_OUTPUT_TOKENS = 256
MODEL_PATHS = frozenset(('/v1/completions', '/v1/chat/completions'))


@frozen
class ReceivedRequest:
    """An HTTP request of a caller, read in full.

    :ivar time_limit_s: time that the caller asked for, none if not given.
    :ivar key: ``Idempotency-Key`` header, empty if none.
    :ivar repeatable: false if the caller forbids to repeat the call.
    """

    method: str
    path: str
    body: bytes
    content_type: str
    time_limit_s: float | None
    key: str
    priority: int | None
    repeatable: bool
    trace: str


@frozen
class UnderstoodCall:
    """A call with all that its relay needs.

    :ivar streamed: whether the caller asked for a stream.
    :ivar target_path: path at the target.
    """

    profile: CallProfile
    streamed: bool
    target_path: str


class RequestRefused(Exception):
    """A request that cannot be understood or is not allowed."""

    def __init__(self, refusal: Refusal) -> None:
        """Take the refusal to answer with."""
        super().__init__(refusal.message)
        self.refusal = refusal


def understand_request(
    request: ReceivedRequest,
    organisation: Organisation,
    document: Document,
    request_id: RequestId,
    now_s: float,
) -> UnderstoodCall:
    """Return the call that a request makes.

    :param now_s: monotonic seconds at which the request was received.
    :raises RequestRefused: the request is refused before it is admitted.
    """
    if request.path in MODEL_PATHS:
        return _understand_model(
            request,
            organisation,
            document,
            request_id,
            now_s,
        )
    if request.path.startswith('/services/'):
        return _understand_plain(
            request,
            organisation,
            document,
            request_id,
            now_s,
        )
    raise RequestRefused(
        refuse_not_run(
            RefusalCode.NOT_FOUND,
            'There is nothing at this path; call /v1/chat/completions, '
            '/v1/completions or /services/<name>/...',
        ),
    )


def _understand_model(
    request: ReceivedRequest,
    organisation: Organisation,
    document: Document,
    request_id: RequestId,
    now_s: float,
) -> UnderstoodCall:
    fields = _parse_body(request.body)
    name = str(fields.get('model', ''))
    service = _find_service(document, organisation, name, 'model')
    output = fields.get('max_tokens', fields.get('max_completion_tokens'))
    if output is None:
        output = DEFAULT_OUTPUT_TOKENS
    if not isinstance(output, int) or isinstance(output, bool) or output < 1:
        raise RequestRefused(
            refuse_not_run(
                RefusalCode.BAD_REQUEST,
                'max_tokens must be a whole number above zero.',
                example='"max_tokens": 256',
            ),
        )
    prompt = _find_prompt(fields)
    profile = _make_profile(
        request,
        organisation,
        document,
        request_id,
        now_s,
        service,
        prompt,
        output,
    )
    return UnderstoodCall(profile, bool(fields.get('stream')), request.path)


def _understand_plain(
    request: ReceivedRequest,
    organisation: Organisation,
    document: Document,
    request_id: RequestId,
    now_s: float,
) -> UnderstoodCall:
    _, _, rest = request.path.partition('/services/')
    name, _, below = rest.partition('/')
    service = _find_service(document, organisation, name, 'plain')
    path = f'/{below}'
    profile = _make_profile(
        request,
        organisation,
        document,
        request_id,
        now_s,
        service,
        b'',
        0,
    )
    return UnderstoodCall(profile, False, path)


def _find_service(
    document: Document,
    organisation: Organisation,
    name: str,
    kind: str,
) -> Service:
    allowed = name in organisation.services
    for service in document.services:
        if allowed and service.name == name and service.kind == kind:
            return service
    names = sorted(
        one.name
        for one in document.services
        if one.kind == kind and one.name in organisation.services
    )
    raise RequestRefused(
        refuse_not_run(
            RefusalCode.SERVICE_FORBIDDEN,
            f'This key may not call a {kind} service of that name; '
            f'it may call: {", ".join(names) or "none"}.',
            example=f'"model": "{names[0]}"' if names else '',
        ),
    )


def _make_profile(
    request: ReceivedRequest,
    organisation: Organisation,
    document: Document,
    request_id: RequestId,
    now_s: float,
    service: Service,
    prompt: bytes,
    output_tokens: int,
) -> CallProfile:
    limits = document.time_limits
    time_limit_s = request.time_limit_s or limits.default_s
    prompt_tokens = max(1, len(prompt) // BYTES_PER_TOKEN)
    if prompt_tokens > service.maximum_prompt_tokens:
        raise RequestRefused(
            refuse_not_run(
                RefusalCode.TOO_LARGE,
                f'The prompt has about {prompt_tokens} tokens; shorten it.',
                limit='maximum_prompt_tokens',
                limit_value=service.maximum_prompt_tokens,
            ),
        )
    path = request.path
    if service.kind == 'plain':
        path = path.removeprefix(f'/services/{service.name}')
    return CallProfile(
        request_id=request_id,
        organisation=organisation.name,
        service=service.name,
        model=service.kind == 'model',
        path=path,
        idempotent=is_idempotent(service, path) and request.repeatable,
        key=request.key,
        body_digest=hashlib.sha256(request.body).hexdigest(),
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        prefix_digests=digest_prefix(prompt),
        priority=_choose_priority(request.priority, organisation),
        deadline_s=now_s + min(time_limit_s, limits.maximum_s),
        received_s=now_s,
    )


def is_idempotent(service: Service, path: str) -> bool:
    """Return whether the document lets a path be repeated.

    The longest rule that fits holds. Without one, a model call may be
    repeated and a plain call may not.
    """
    rules = [rule for rule in service.paths if path.startswith(rule.path)]
    if not rules:
        return service.kind == 'model'
    return max(rules, key=lambda rule: len(rule.path)).idempotent


def digest_prefix(prompt: bytes) -> tuple[int, ...]:
    """Return the digests of a prompt's leading blocks, each over all before.

    :param prompt: the prompt as bytes.
    """
    state = xxhash.xxh64()
    digests = []
    whole_blocks = len(prompt) // PREFIX_BLOCK_BYTES
    for number in range(min(whole_blocks, MAXIMUM_PREFIX_BLOCKS)):
        start = number * PREFIX_BLOCK_BYTES
        state.update(prompt[start : start + PREFIX_BLOCK_BYTES])
        digests.append(state.intdigest())
    return tuple(digests)


def _choose_priority(asked: int | None, organisation: Organisation) -> int:
    if asked is None:
        return organisation.priorities[0]
    if asked in organisation.priorities:
        return asked
    allowed = ', '.join(str(one) for one in organisation.priorities)
    raise RequestRefused(
        refuse_not_run(
            RefusalCode.BAD_REQUEST,
            f'This key may set X-Priority to {allowed}.',
            example=f'X-Priority: {organisation.priorities[0]}',
        ),
    )


def _parse_body(body: bytes) -> dict[str, Any]:
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError):
        fields = None
    if isinstance(fields, dict):
        return fields
    raise RequestRefused(
        refuse_not_run(
            RefusalCode.BAD_REQUEST,
            'The body must be one JSON object.',
            example='{"model": "...", "prompt": "..."}',
        ),
    )


def _find_prompt(fields: dict[str, Any]) -> bytes:
    prompt = fields.get('prompt')
    if isinstance(prompt, str):
        return prompt.encode('utf-8', 'surrogatepass')
    messages = fields.get('messages')
    if isinstance(messages, list) and messages:
        text = json.dumps(messages, ensure_ascii=False)
        return text.encode('utf-8', 'surrogatepass')
    raise RequestRefused(
        refuse_not_run(
            RefusalCode.BAD_REQUEST,
            'The body needs a prompt (text) or messages (a list).',
            example='"messages": [{"role": "user", "content": "..."}]',
        ),
    )
