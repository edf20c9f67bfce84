"""Checks for entries of the product's document that have no effect.

A service may also have targets from the platform's list. What depends on all
targets is only checked where every service lists its own.
"""

from collections.abc import Iterator

from trefoilhinge.conf.findings.document_context import (
    DOCUMENT_CHECKS,
    DocumentContext,
)
from trefoilhinge.conf.findings.registry import Place
from trefoilhinge.conf.generated.document import PathRule, Service

# Fields of a service that only matter for engines.
_ENGINE_FIELDS = (
    'memory_tokens',
    'prefill_tokens_per_s',
    'decode_tokens_per_s',
    'maximum_prompt_tokens',
)
# Fields of a service that only matter for orders.
_ORDER_FIELDS = (
    'fences',
    'checks_orderer',
    'minimum_ready',
    'loads_per_minute',
)


@DOCUMENT_CHECKS.register(
    'trefoilhinge.W101',
    'add a key (make-key writes one), or remove the organisation',
)
def _find_missing_keys(context: DocumentContext) -> Iterator[Place]:
    """An organisation has no key, so that no caller can act for it."""
    for path, organisation in context.list_organisations():
        if not organisation.keys:
            yield Place(
                f'{path}.keys', f'{organisation.name} has no key to call with'
            )


@DOCUMENT_CHECKS.register(
    'trefoilhinge.W102',
    'list the service with an organisation, or remove it',
)
def _find_forbidden_services(context: DocumentContext) -> Iterator[Place]:
    """No organisation may call a service."""
    allowed = {
        name
        for organisation in context.document.organisations
        for name in organisation.services
    }
    for path, service, _ in context.list_services():
        if service.name not in allowed:
            yield Place(path, f'no organisation may call {service.name}')


@DOCUMENT_CHECKS.register(
    'trefoilhinge.W103',
    'place a target in it, or remove the failure domain',
)
def _find_empty_domains(context: DocumentContext) -> Iterator[Place]:
    """Every service lists its targets, and none is in a failure domain."""
    document = context.document
    if not all(service.targets for service in document.services):
        return
    used = {
        target.failure_domain
        for service in document.services
        for target in service.targets
    }
    for index, domain in enumerate(document.failure_domains):
        if domain.name not in used:
            yield Place(
                f'$.failure_domains[{index}]',
                f'no target is in the failure domain {domain.name}',
            )


@DOCUMENT_CHECKS.register(
    'trefoilhinge.W104',
    'name the model in the desired state of a service, or remove it',
)
def _find_unused_models(context: DocumentContext) -> Iterator[Place]:
    """No service desires a model."""
    document = context.document
    desired = {
        service.desired.model
        for service in document.services
        if service.desired is not None
    }
    for index, model in enumerate(document.models):
        if model.name not in desired:
            yield Place(
                f'$.models[{index}]', f'no service desires {model.name}'
            )


@DOCUMENT_CHECKS.register(
    'trefoilhinge.W105',
    'remove the longer path, or change whether its calls are idempotent',
)
def _find_redundant_paths(context: DocumentContext) -> Iterator[Place]:
    """A shorter path of the same service has the same rule already."""
    for path, service, _ in context.list_services():
        for index, rule in enumerate(service.paths):
            covering = _find_covering_rule(service, rule)
            if covering and covering.idempotent == rule.idempotent:
                yield Place(
                    f'{path}.paths[{index}]',
                    f'{covering.path} has the same rule as {rule.path}',
                )


@DOCUMENT_CHECKS.register(
    'trefoilhinge.W106',
    'remove the field, or change the kind to "model"',
)
def _find_engine_fields(context: DocumentContext) -> Iterator[Place]:
    """A plain service has a field that only matters for engines."""
    for path, service, explicit_fields in context.list_services():
        if service.kind == 'plain':
            for name in (*_ENGINE_FIELDS, *_ORDER_FIELDS):
                if name in explicit_fields:
                    yield Place(
                        f'{path}.{name}',
                        f'{service.name} is a plain service, without engines',
                    )


@DOCUMENT_CHECKS.register(
    'trefoilhinge.W107',
    'remove the field, or add the desired state',
)
def _find_order_fields(context: DocumentContext) -> Iterator[Place]:
    """A service without a desired state limits its orders."""
    for path, service, explicit_fields in context.list_services():
        if service.kind == 'model' and service.desired is None:
            for name in _ORDER_FIELDS:
                if name in explicit_fields:
                    yield Place(
                        f'{path}.{name}',
                        f'{service.name} has no desired state, so that no '
                        'order is sent to its targets',
                    )


@DOCUMENT_CHECKS.register(
    'trefoilhinge.W108',
    'remove the repetition',
)
def _find_repeated_priorities(context: DocumentContext) -> Iterator[Place]:
    """An organisation lists a priority twice."""
    for path, organisation in context.list_organisations():
        for index, priority in enumerate(organisation.priorities):
            if priority in organisation.priorities[:index]:
                yield Place(
                    f'{path}.priorities[{index}]',
                    f'the priority {priority} is listed already',
                )


@DOCUMENT_CHECKS.register(
    'trefoilhinge.W109',
    'raise the share, add targets, or write 0',
)
def _find_small_shares(context: DocumentContext) -> Iterator[Place]:
    """The share of targets that only run prefill is less than one target."""
    for path, service, _ in context.list_services():
        share = service.desired.prefill_share if service.desired else 0
        count = len(service.targets)
        if share > 0 and count and int(share * count) == 0:
            yield Place(
                f'{path}.desired.prefill_share',
                f'{share:g} of {count} targets is less than one target',
            )


def _find_covering_rule(service: Service, rule: PathRule) -> PathRule | None:
    shorter = [
        one
        for one in service.paths
        if len(one.path) < len(rule.path) and rule.path.startswith(one.path)
    ]
    return max(shorter, key=lambda one: len(one.path), default=None)
