"""Parsing of callers' HTTP requests into calls."""

import hashlib

from attrs import frozen

from trefoilhinge.calls.exceptions import RequestRefused
from trefoilhinge.calls.prompts import (
    digest_prefix_blocks,
    extract_prompt,
    parse_body,
    parse_output_tokens,
)
from trefoilhinge.calls.service_rules import (
    check_path,
    choose_priority,
    find_service,
    is_idempotent,
)
from trefoilhinge.calls.token_estimates import TokenEstimator
from trefoilhinge.conf.generated.document import (
    Document,
    Organisation,
    Service,
)
from trefoilhinge.core.identifiers import RequestId
from trefoilhinge.core.profiles import CallProfile
from trefoilhinge.core.verdicts import RefusalCode, refuse_not_run

MODEL_PATHS = frozenset(('/v1/completions', '/v1/chat/completions'))
PLAIN_SERVICE_PREFIX = '/services/'


@frozen
class ReceivedRequest:
    """HTTP request of a caller, read in full.

    :ivar path: percent-decoded path, which the path rules are matched with.
    :ivar target_path: encoded path and query to send to a target.
    :ivar content_type: ``Content-Type`` header.
    :ivar time_limit_s: time limit that the caller set, ``None`` if absent.
    :ivar key: idempotency key, empty if absent.
    :ivar priority: priority that the caller set, ``None`` if absent.
    :ivar repeatable: whether the caller allows retries.
    :ivar traceparent: W3C ``traceparent`` header, empty if absent.
    """

    method: str
    path: str
    target_path: str
    body: bytes
    content_type: str
    time_limit_s: float | None
    key: str
    priority: int | None
    repeatable: bool
    traceparent: str


@frozen
class CallContext:
    """Context that a request is parsed in.

    :ivar organisation: organisation of the caller's API key.
    :ivar document: current configuration.
    :ivar token_estimator: estimator of the prompt's length in tokens.
    :ivar received_s: monotonic seconds at which the request was received.
    :ivar forwarded: whether a peer forwarded the call.
    """

    request_id: RequestId
    organisation: Organisation
    document: Document
    token_estimator: TokenEstimator
    received_s: float
    forwarded: bool = False


@frozen
class ParsedCall:
    """Call with everything that is needed to relay its answer.

    :ivar profile: properties of the call that the core decides by.
    :ivar streamed: whether the caller requested a stream.
    :ivar target_path: encoded path and query to send to the target.
    :ivar prompt: prompt in UTF-8, empty for a call to a plain service.
    :ivar bytes_per_token: ratio used to estimate the prompt's length in
        tokens.
    """

    profile: CallProfile
    streamed: bool
    target_path: str
    prompt: bytes
    bytes_per_token: float


def parse_call(
    request: ReceivedRequest,
    context: CallContext,
) -> ParsedCall:
    """Parse a request into a call.

    :raises RequestRefused: the request is invalid or not allowed.
    """
    if request.path in MODEL_PATHS:
        return _parse_model_call(request, context)
    if request.path.startswith(PLAIN_SERVICE_PREFIX):
        return _parse_plain_call(request, context)
    raise RequestRefused(
        refuse_not_run(
            RefusalCode.NOT_FOUND,
            'Unknown path; use /v1/chat/completions, /v1/completions or '
            '/services/<name>/...',
        ),
    )


def _parse_model_call(
    request: ReceivedRequest,
    context: CallContext,
) -> ParsedCall:
    if request.method != 'POST':
        raise RequestRefused(
            refuse_not_run(
                RefusalCode.BAD_REQUEST,
                'This path accepts only POST requests with a JSON body.',
            ),
        )
    fields = parse_body(request.body)
    service = find_service(
        context.document,
        context.organisation,
        str(fields.get('model', '')),
        'model',
    )
    output_tokens = parse_output_tokens(fields)
    prompt = extract_prompt(fields)
    bytes_per_token = context.token_estimator.find_bytes_per_token(service.name)
    profile = _make_profile(
        request,
        context,
        service,
        request.path,
        prompt,
        output_tokens,
    )
    streamed = bool(fields.get('stream'))
    return ParsedCall(profile, streamed, request.path, prompt, bytes_per_token)


def _parse_plain_call(
    request: ReceivedRequest,
    context: CallContext,
) -> ParsedCall:
    name, _, subpath = request.path.removeprefix(
        PLAIN_SERVICE_PREFIX
    ).partition('/')
    service = find_service(
        context.document,
        context.organisation,
        name,
        'plain',
    )
    path = f'/{subpath}'
    check_path(path)
    profile = _make_profile(request, context, service, path, b'', 0)
    _, _, target_subpath = request.target_path.removeprefix(
        PLAIN_SERVICE_PREFIX,
    ).partition('/')
    bytes_per_token = context.token_estimator.find_bytes_per_token(service.name)
    return ParsedCall(
        profile, False, f'/{target_subpath}', b'', bytes_per_token
    )


def _make_profile(
    request: ReceivedRequest,
    context: CallContext,
    service: Service,
    path: str,
    prompt: bytes,
    output_tokens: int,
) -> CallProfile:
    limits = context.document.time_limits
    time_limit_s = request.time_limit_s or limits.default_s
    bytes_per_token = context.token_estimator.find_bytes_per_token(service.name)
    prompt_tokens = max(1, int(len(prompt) / bytes_per_token))
    if prompt_tokens > service.maximum_prompt_tokens:
        raise RequestRefused(
            refuse_not_run(
                RefusalCode.TOO_LARGE,
                f'The prompt has about {prompt_tokens} tokens, which exceeds '
                'the limit of the service; shorten it.',
                limit='maximum_prompt_tokens',
                limit_value=service.maximum_prompt_tokens,
            ),
        )
    return CallProfile(
        request_id=context.request_id,
        organisation=context.organisation.name,
        service=service.name,
        model=service.kind == 'model',
        path=path,
        idempotent=is_idempotent(service, path) and request.repeatable,
        key=request.key,
        body_digest=hashlib.sha256(request.body).hexdigest(),
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        prefix_digests=digest_prefix_blocks(prompt),
        priority=choose_priority(request.priority, context.organisation),
        deadline_s=context.received_s + min(time_limit_s, limits.maximum_s),
        received_s=context.received_s,
        forwarded=context.forwarded,
    )
