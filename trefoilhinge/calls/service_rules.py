"""Finds the service that a call names and the rules that hold for it."""

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

    :raises RequestRefused: it may not, or there is none of that name; the
        two are told alike.
    """
    allowed = name in organisation.services
    for service in document.services:
        if allowed and service.name == name and service.kind == kind:
            return service
    names = list_services(document, organisation, kind)
    raise RequestRefused(
        refuse_not_run(
            RefusalCode.SERVICE_FORBIDDEN,
            f'This key may not call a {kind} service of that name; '
            f'it may call: {", ".join(names) or "none"}.',
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
    """Return whether the document lets a path be repeated.

    The longest rule that fits holds. Without one, a model call may be
    repeated and a plain call may not.
    """
    rules = [rule for rule in service.paths if path.startswith(rule.path)]
    if not rules:
        return service.kind == 'model'
    return max(rules, key=lambda rule: len(rule.path)).idempotent


def check_path(path: str) -> None:
    """Refuse a path that a target could read as another one.

    :raises RequestRefused: a rule for one path would be applied to another.
    """
    segments = path.lower().replace('%2f', '/').split('/')
    if _DOT_SEGMENTS.isdisjoint(segments) and '' not in segments[1:-1]:
        return
    raise RequestRefused(
        refuse_not_run(
            RefusalCode.BAD_REQUEST,
            'The path must have no empty segment and no "." or "..".',
        ),
    )


def choose_priority(requested: int | None, organisation: Organisation) -> int:
    """Return the priority of a call.

    :raises RequestRefused: the organisation may not set it.
    """
    if requested is None:
        return organisation.priorities[0]
    if requested in organisation.priorities:
        return requested
    allowed = ', '.join(str(one) for one in organisation.priorities)
    raise RequestRefused(
        refuse_not_run(
            RefusalCode.BAD_REQUEST,
            f'This key may set X-Priority to {allowed}.',
            example=f'X-Priority: {organisation.priorities[0]}',
        ),
    )
