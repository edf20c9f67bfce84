"""Finds numbers of a document that contradict each other.

A figure that the document leaves to its default is not held against it: only
what an operator wrote is refused.
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

# A request has at least one token of prompt and one of output.
MINIMUM_REQUEST_TOKENS = 2


def find_inconsistencies(
    document: Document,
    fields: Mapping[str, Any],
) -> Iterator[DocumentProblem]:
    """Yield numbers that cannot hold together.

    :param document: the document.
    :param fields: the JSON that it was read from, which shows what is stated.
    """
    yield from _check_time_limits(document)
    yield from _check_balance(document)
    for number, organisation in enumerate(document.organisations):
        yield from _check_rate_limits(
            f'$.organisations[{number}]', organisation
        )
    stated = fields['services']
    for at, service in enumerate(document.services):
        yield from _check_targets(f'$.services[{at}]', service, stated[at])


def _check_time_limits(document: Document) -> Iterator[DocumentProblem]:
    times = document.time_limits
    if times.default_s > times.maximum_s:
        yield DocumentProblem(
            '$.time_limits.default_s',
            f'{times.default_s:g} s is more than maximum_s',
            f'write at most {times.maximum_s:g}, or raise maximum_s',
        )
    if times.silence_s >= times.maximum_s:
        yield DocumentProblem(
            '$.time_limits.silence_s',
            f'{times.silence_s:g} s is not less than maximum_s',
            f'write less than {times.maximum_s:g}',
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
    for name, rate, least in checks:
        if rate * organisation.burst_s < least:
            needed = least / organisation.burst_s
            yield DocumentProblem(
                f'{path}.{name}',
                f'{rate:g} for {organisation.burst_s:g} s takes no request',
                f'write at least {needed:g}, or raise burst_s',
            )


def _check_targets(
    path: str,
    service: Service,
    stated: Mapping[str, Any],
) -> Iterator[DocumentProblem]:
    # Without targets of its own a service takes the platform's list.
    if not service.targets:
        return
    count = len(service.targets)
    if 'minimum_ready' in stated and service.minimum_ready > count:
        yield DocumentProblem(
            f'{path}.minimum_ready',
            f'{service.minimum_ready} is more than its {count} targets',
            f'write at most {count}, or add targets',
        )
    if service.kind == 'model' and 'maximum_prompt_tokens' in stated:
        yield from _check_prompt_limit(path, service)


def _check_prompt_limit(
    path: str, service: Service
) -> Iterator[DocumentProblem]:
    domains = Counter(one.failure_domain for one in service.targets)
    held = max(domains.values()) * service.memory_tokens
    if service.maximum_prompt_tokens > held:
        yield DocumentProblem(
            f'{path}.maximum_prompt_tokens',
            f'{service.maximum_prompt_tokens} tokens are more than the '
            f'{held} that the targets of one failure domain hold',
            f'write at most {held}, or add targets to a failure domain',
        )
