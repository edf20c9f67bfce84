"""Checks for limits of the product's document that contradict each other.

Limits that no document may have are problems of the document itself, see
``trefoilhinge.conf.consistency``. These only keep a limit from being reached.
"""

from collections import Counter
from collections.abc import Iterator

from trefoilhinge.conf.consistency import MINIMUM_REQUEST_TOKENS
from trefoilhinge.conf.findings.document_context import (
    DOCUMENT_CHECKS,
    DocumentContext,
)
from trefoilhinge.conf.findings.registry import Place
from trefoilhinge.conf.generated.document import Organisation, Service


@DOCUMENT_CHECKS.register(
    'trefoilhinge.W121',
    'lower requests_per_s, or raise tokens_per_s',
)
def _find_unreachable_rates(context: DocumentContext) -> Iterator[Place]:
    """The token rate of an organisation admits fewer requests than its
    request rate, at two tokens for each request.
    """
    for path, organisation in context.list_organisations():
        if not _calls_models_only(context, organisation):
            continue
        reached = organisation.tokens_per_s / MINIMUM_REQUEST_TOKENS
        if organisation.requests_per_s > reached:
            yield Place(
                f'{path}.requests_per_s',
                f'{organisation.tokens_per_s:g} tokens per second admit at '
                f'most {reached:g} requests per second, not '
                f'{organisation.requests_per_s:g}',
            )


@DOCUMENT_CHECKS.register(
    'trefoilhinge.W122',
    'lower tokens_per_s, or add targets',
)
def _find_excessive_rates(context: DocumentContext) -> Iterator[Place]:
    """An organisation may use more tokens per second than all targets of its
    services process, which list them.
    """
    for path, organisation in context.list_organisations():
        services = _list_allowed(context, organisation)
        if not _calls_models_only(context, organisation) or not all(
            service.targets for service in services
        ):
            continue
        capacity = sum(
            len(service.targets)
            * (service.prefill_tokens_per_s + service.decode_tokens_per_s)
            for service in services
        )
        if organisation.tokens_per_s > capacity:
            yield Place(
                f'{path}.tokens_per_s',
                f'{organisation.tokens_per_s:g} tokens per second exceed the '
                f'{capacity:g} of all targets of its services',
            )


@DOCUMENT_CHECKS.register(
    'trefoilhinge.W123',
    'lower maximum_prompt_tokens, raise maximum_s, or add targets',
)
def _find_slow_prompts(context: DocumentContext) -> Iterator[Place]:
    """A prompt of the maximum length takes longer than the maximum time limit,
    even if all targets of a failure domain prefill it together.
    """
    maximum_s = context.document.time_limits.maximum_s
    for path, service, explicit_fields in context.list_services():
        if service.kind == 'plain' or not service.targets:
            continue
        domains = Counter(one.failure_domain for one in service.targets)
        rate = max(domains.values()) * service.prefill_tokens_per_s
        needed_s = service.maximum_prompt_tokens / rate
        if 'maximum_prompt_tokens' in explicit_fields and needed_s > maximum_s:
            yield Place(
                f'{path}.maximum_prompt_tokens',
                f'{service.maximum_prompt_tokens} tokens are prefilled in '
                f'{needed_s:g} s at best, which exceeds maximum_s, '
                f'{maximum_s:g} s',
            )


@DOCUMENT_CHECKS.register(
    'trefoilhinge.W124',
    'write less than default_s, or raise default_s',
)
def _find_late_queries(context: DocumentContext) -> Iterator[Place]:
    """A target is only queried after the time limit of most requests."""
    time_limits = context.document.time_limits
    is_explicit = 'silence_s' in context.fields['time_limits']
    if is_explicit and time_limits.silence_s >= time_limits.default_s:
        yield Place(
            '$.time_limits.silence_s',
            f'{time_limits.silence_s:g} s of silence are not less than '
            f'default_s, {time_limits.default_s:g} s',
        )


@DOCUMENT_CHECKS.register(
    'trefoilhinge.W125',
    'write less than the largest maximum_prompt_tokens of a service',
)
def _find_unreachable_lengths(context: DocumentContext) -> Iterator[Place]:
    """No accepted prompt is longer than the bound for short prompts, or as long
    as the one for long prompts.
    """
    balance = context.document.balance
    longest = max(
        (
            service.maximum_prompt_tokens
            for service in context.document.services
            if service.kind == 'model'
        ),
        default=0,
    )
    explicit_fields = context.fields['balance']
    bounds = (
        ('short_tokens', balance.short_tokens, balance.short_tokens + 1),
        ('long_tokens', balance.long_tokens, balance.long_tokens),
    )
    for name, tokens, needed in bounds:
        if name in explicit_fields and 0 < longest < needed:
            yield Place(
                f'$.balance.{name}',
                f'{tokens} tokens, but no service accepts a prompt of more '
                f'than {longest}',
            )


@DOCUMENT_CHECKS.register(
    'trefoilhinge.W126',
    'lower maximum_running, or raise memory_tokens',
)
def _find_unreachable_batches(context: DocumentContext) -> Iterator[Place]:
    """The KV memory of an engine holds fewer calls than may run on it, at two
    tokens for each call.
    """
    for path, service, explicit_fields in context.list_services():
        held = service.memory_tokens // MINIMUM_REQUEST_TOKENS
        is_explicit = 'maximum_running' in explicit_fields
        if service.kind == 'model' and is_explicit:
            if service.maximum_running > held:
                yield Place(
                    f'{path}.maximum_running',
                    f'{service.memory_tokens} tokens hold at most {held} '
                    f'calls, not {service.maximum_running}',
                )


@DOCUMENT_CHECKS.register(
    'trefoilhinge.W127',
    'write less than the number of targets, or add targets',
)
def _find_blocked_orders(context: DocumentContext) -> Iterator[Place]:
    """All listed targets of a service must stay ready, so that a ready one
    never gets an order.
    """
    for path, service, explicit_fields in context.list_services():
        count = len(service.targets)
        if 'minimum_ready' not in explicit_fields or service.desired is None:
            continue
        if count and service.minimum_ready >= count:
            yield Place(
                f'{path}.minimum_ready',
                f'{service.minimum_ready} of {count} targets must stay ready, '
                'so that the desired state is not reached',
            )


def _list_allowed(
    context: DocumentContext, organisation: Organisation
) -> list[Service]:
    return [
        service
        for service in context.document.services
        if service.name in organisation.services
    ]


def _calls_models_only(
    context: DocumentContext, organisation: Organisation
) -> bool:
    return all(
        service.kind == 'model'
        for service in _list_allowed(context, organisation)
    )
