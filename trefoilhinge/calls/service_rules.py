"""Lookup of services and the rules for paths and priorities of calls."""

from trefoilhinge.calls.exceptions import RequestRefused
from trefoilhinge.conf.generated.document import (
    Document,
    Organisation,
    Service,
)
from trefoilhinge.core.verdicts import RefusalCode, refuse_not_run

_DOT_SEGMENTS = frozenset(('.', '..'))


def find_service(
    document: Document,
    organisation: Organisation,
    name: str,
    kind: str,
) -> Service:
    """Return a service that an organisation may call.

    :raises RequestRefused: the service does not exist or the organisation
        has no access to it; the refusals of both are identical, so that they
        do not disclose which services exist.
    """
    allowed = name in organisation.services
    for service in document.services:
        if allowed and service.name == name and service.kind == kind:
            return service
    names = list_services(document, organisation, kind)
    raise RequestRefused(
        refuse_not_run(
            RefusalCode.SERVICE_FORBIDDEN,
            f'This API key cannot access a {kind} service of that name; '
            f'accessible services: {", ".join(names) or "none"}.',
            example=f'"model": "{names[0]}"' if names else '',
        ),
    )


def list_services(
    document: Document,
    organisation: Organisation,
    kind: str,
) -> list[str]:
    """Return the names of the services that an organisation may call."""
    return sorted(
        one.name
        for one in document.services
        if one.kind == kind and one.name in organisation.services
    )


def is_idempotent(service: Service, path: str) -> bool:
    """Return whether calls to a path may run more than once.

    The matching rule with the longest path applies. Without one, calls to
    models are idempotent and calls to plain services are not.
    """
    rules = [rule for rule in service.paths if path.startswith(rule.path)]
    if not rules:
        return service.kind == 'model'
    return max(rules, key=lambda rule: len(rule.path)).idempotent


def check_path(path: str) -> None:
    """Refuse a path that a target could normalise into a different one.

    Otherwise the rule of one path would be applied to another.

    :raises RequestRefused: the path has an empty or a dot segment.
    """
    segments = path.lower().replace('%2f', '/').split('/')
    if _DOT_SEGMENTS.isdisjoint(segments) and '' not in segments[1:-1]:
        return
    raise RequestRefused(
        refuse_not_run(
            RefusalCode.BAD_REQUEST,
            'The path must have no empty, "." or ".." segments.',
        ),
    )


def choose_priority(requested: int | None, organisation: Organisation) -> int:
    """Return the priority of a call, by default the organisation's first.

    :raises RequestRefused: the organisation may not use the requested one.
    """
    if requested is None:
        return organisation.priorities[0]
    if requested in organisation.priorities:
        return requested
    allowed = ', '.join(str(one) for one in organisation.priorities)
    raise RequestRefused(
        refuse_not_run(
            RefusalCode.BAD_REQUEST,
            f'X-Priority must be one of: {allowed}.',
            example=f'X-Priority: {organisation.priorities[0]}',
        ),
    )
