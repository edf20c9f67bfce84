"""Checks of the names and references in the platform's document."""

from collections.abc import Iterable, Iterator

from trefoilhinge.conf.findings.fleet_context import (
    FLEET_CHECKS,
    FleetContext,
    as_name,
)
from trefoilhinge.conf.findings.registry import Place
from trefoilhinge.conf.problems import shorten_value

# A shorter key is likely one character of a text given instead of a list.
_MINIMUM_KEY_CHARACTERS = 2


@FLEET_CHECKS.register('trefoilhinge.E201', 'write a text in quotes')
def _find_other_types(context: FleetContext) -> Iterator[Place]:
    """A name, path prefix or API key is not text, so that nothing matches
    it, or the call that is compared with it fails.
    """
    for path, what, value in _list_texts(context):
        if not isinstance(value, str):
            yield Place(path, f'the {what} {shorten_value(value)} is not text')
    for path, entry in context.entries.organisations.items():
        if any(not _is_key(key) for key in entry.keys):
            yield Place(path, 'an API key is not text or too short')


@FLEET_CHECKS.register(
    'trefoilhinge.E202',
    'write the name of a service of the document, or add the service',
)
def _find_dangling_services(context: FleetContext) -> Iterator[Place]:
    """A route sends calls to a service that does not exist."""
    known = context.document.services
    for path, route in context.entries.routes.items():
        for share in route.shares:
            name = as_name(share.service)
            if name and name not in known:
                yield Place(path, f'there is no service {shorten_value(name)}')


@FLEET_CHECKS.register(
    'trefoilhinge.E203',
    'rename one of the two, or remove it',
)
def _find_repeated_services(context: FleetContext) -> Iterator[Place]:
    """Two services have the same name, and only the last one is used."""
    yield from _find_repeated(
        'service',
        (
            (path, one.name)
            for path, one in reversed(context.entries.services.items())
        ),
    )


@FLEET_CHECKS.register(
    'trefoilhinge.E204',
    'remove the key from one of the two, and replace it if it was disclosed',
)
def _find_shared_keys(context: FleetContext) -> Iterator[Place]:
    """Two organisations have the same API key, and its calls count for the
    last one alone.
    """
    owners: dict[str, str] = {}
    for path, entry in reversed(context.entries.organisations.items()):
        for key in entry.keys:
            owner = owners.setdefault(key, path)
            if owner != path:
                yield Place(path, f'{owner} has one of its API keys')


@FLEET_CHECKS.register(
    'trefoilhinge.E205',
    'write a whole number from 0 to 9, or leave it out',
)
def _find_invalid_priorities(context: FleetContext) -> Iterator[Place]:
    """The priority of an organisation is not a number, so that its calls
    cannot be ordered.
    """
    for path, entry in context.entries.organisations.items():
        priority = entry.organisation.priority if entry.organisation else None
        if priority is not None and type(priority) is not int:  # noqa: WPS516
            yield Place(
                path,
                f'the priority {shorten_value(priority)} is not a whole number',
            )


@FLEET_CHECKS.register(
    'trefoilhinge.W201',
    'give each a name of its own: logs and metrics show the name',
)
def _find_repeated_names(context: FleetContext) -> Iterator[Place]:
    """Two routes or two organisations have the same name."""
    entries = context.entries
    yield from _find_repeated(
        'route', ((path, one.name) for path, one in entries.routes.items())
    )
    yield from _find_repeated(
        'organisation',
        ((path, one.name) for path, one in entries.organisations.items()),
    )


@FLEET_CHECKS.register(
    'trefoilhinge.W202',
    'correct its name if it is misspelt; else it may stay',
)
def _find_unread_fields(context: FleetContext) -> Iterator[Place]:
    """The gateway does not read a field; the first entry with it is named."""
    for path in context.unread_paths:
        yield Place(path, 'the gateway does not read this field')


def _list_texts(
    context: FleetContext,
) -> Iterator[tuple[str, str, object]]:
    entries = context.entries
    for route_path, route in entries.routes.items():
        yield route_path, 'name', route.name
        yield route_path, 'prefix', route.prefix
        for share in route.shares:
            yield route_path, 'service', share.service
    for service_path, service in entries.services.items():
        yield service_path, 'name', service.name
    for path, entry in entries.organisations.items():
        yield path, 'name', entry.name


def _is_key(key: object) -> bool:
    return len(as_name(key)) >= _MINIMUM_KEY_CHARACTERS


def _find_repeated(
    what: str, named: Iterable[tuple[str, object]]
) -> Iterator[Place]:
    first: dict[str, str] = {}
    for path, value in named:
        name = as_name(value)
        if name in first:
            yield Place(
                path,
                f'{first[name]} is also a {what} named {shorten_value(name)}',
            )
        elif name:
            first[name] = path
