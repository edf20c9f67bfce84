"""Finds numbers in a document that contradict each other.

The ``minimum_ready`` and ``maximum_prompt_tokens`` of a service are only
checked against its targets if the document states them explicitly: no document
is rejected for their defaults.
"""

from collections import Counter
from collections.abc import Iterator, Mapping
from typing import Any

from trefoilhinge.conf.generated.document import (
    Document,
    Organisation,
    Service,
)
from trefoilhinge.conf.problems import DocumentProblem

# A request has at least one prompt token and one output token.
MINIMUM_REQUEST_TOKENS = 2


def find_inconsistencies(
    document: Document,
    fields: Mapping[str, Any],
) -> Iterator[DocumentProblem]:
    """Yield a problem for each number that contradicts another.

    :param fields: parsed JSON of the document, which shows the fields that
        are stated explicitly.
    """
    yield from _check_time_limits(document)
    yield from _check_balance(document)
    for organisation_index, organisation in enumerate(document.organisations):
        yield from _check_rate_limits(
            f'$.organisations[{organisation_index}]', organisation
        )
    explicit_fields = fields['services']
    for service_index, service in enumerate(document.services):
        yield from _check_targets(
            f'$.services[{service_index}]',
            service,
            explicit_fields[service_index],
        )


def _check_time_limits(document: Document) -> Iterator[DocumentProblem]:
    time_limits = document.time_limits
    if time_limits.default_s > time_limits.maximum_s:
        yield DocumentProblem(
            '$.time_limits.default_s',
            f'{time_limits.default_s:g} s is more than maximum_s',
            f'write at most {time_limits.maximum_s:g}, or raise maximum_s',
        )
    if time_limits.silence_s >= time_limits.maximum_s:
        yield DocumentProblem(
            '$.time_limits.silence_s',
            f'{time_limits.silence_s:g} s is not less than maximum_s',
            f'write less than {time_limits.maximum_s:g}',
        )


def _check_balance(document: Document) -> Iterator[DocumentProblem]:
    balance = document.balance
    if balance.short_tokens >= balance.long_tokens:
        yield DocumentProblem(
            '$.balance.short_tokens',
            f'{balance.short_tokens} tokens are not less than long_tokens',
            f'write less than {balance.long_tokens}, or raise long_tokens',
        )


def _check_rate_limits(
    path: str,
    organisation: Organisation,
) -> Iterator[DocumentProblem]:
    checks = (
        ('requests_per_s', organisation.requests_per_s, 1),
        ('tokens_per_s', organisation.tokens_per_s, MINIMUM_REQUEST_TOKENS),
    )
    for name, rate, minimum in checks:
        if rate * organisation.burst_s < minimum:
            needed = minimum / organisation.burst_s
            yield DocumentProblem(
                f'{path}.{name}',
                f'{rate:g}/s over {organisation.burst_s:g} s admits no request',
                f'write at least {needed:g}, or raise burst_s',
            )


def _check_targets(
    path: str,
    service: Service,
    explicit_fields: Mapping[str, Any],
) -> Iterator[DocumentProblem]:
    # A service without targets in the document uses the platform's list.
    if not service.targets:
        return
    count = len(service.targets)
    if 'minimum_ready' in explicit_fields and service.minimum_ready > count:
        yield DocumentProblem(
            f'{path}.minimum_ready',
            f'{service.minimum_ready} is more than its {count} targets',
            f'write at most {count}, or add targets',
        )
    if service.kind == 'model' and 'maximum_prompt_tokens' in explicit_fields:
        yield from _check_prompt_limit(path, service)


def _check_prompt_limit(
    path: str, service: Service
) -> Iterator[DocumentProblem]:
    domains = Counter(one.failure_domain for one in service.targets)
    capacity_tokens = max(domains.values()) * service.memory_tokens
    if service.maximum_prompt_tokens > capacity_tokens:
        yield DocumentProblem(
            f'{path}.maximum_prompt_tokens',
            f'{service.maximum_prompt_tokens} tokens exceed the KV memory of '
            f'one failure domain, {capacity_tokens} tokens',
            f'write at most {capacity_tokens}, or add targets to a '
            'failure domain',
        )
