"""Checks for entries of the platform's document that no call reaches."""

import re
from collections.abc import Iterator

from trefoilhinge.conf.findings.fleet_context import (
    FLEET_CHECKS,
    FleetContext,
    as_name,
)
from trefoilhinge.conf.findings.registry import Place
from trefoilhinge.conf.problems import shorten_value
from trefoilhinge.dispatch.documents import CallKind

# A path is compared without its query, and is sent in visible ASCII.
_IMPOSSIBLE_PREFIX = re.compile(r'[^/]|.*(?:[?#]|[^!-~])', re.DOTALL)
_IMPOSSIBLE_HOST = re.compile(r'\Z|.*[/\s]', re.DOTALL)


@FLEET_CHECKS.register(
    'trefoilhinge.E211',
    'add a route, or check that the file is the whole document',
)
def _find_missing_routes(context: FleetContext) -> Iterator[Place]:
    """The document has no route, so that every call is refused with 404."""
    if not context.entries.routes:
        yield Place('$.routes', 'there is no route')


@FLEET_CHECKS.register(
    'trefoilhinge.E212',
    'give an organisation a key, or make the route public',
)
def _find_closed_routes(context: FleetContext) -> Iterator[Place]:
    """A route requires an API key, and no organisation has one."""
    if context.document.organisations is None or context.document.organisations:
        return
    for path, route in context.entries.routes.items():
        if not route.is_public:
            yield Place(path, 'every call is refused, as no key is known')


@FLEET_CHECKS.register(
    'trefoilhinge.E213',
    'make it not resumable, or change its kind to idempotent or stream',
)
def _find_unsafe_routes(context: FleetContext) -> Iterator[Place]:
    """A non-idempotent route is resumable, which only a stream can be."""
    for path, route in context.entries.routes.items():
        if route.kind is CallKind.once and route.is_resumable:
            yield Place(path, 'it is ignored, as its calls run once at most')


@FLEET_CHECKS.register(
    'trefoilhinge.W211',
    'remove one of the two, or change its host or prefix',
)
def _find_shadowed_routes(context: FleetContext) -> Iterator[Place]:
    """An earlier route has the same host and prefix, so that no call reaches
    this one. Of different prefixes the longest one decides, in any order.
    """
    first: dict[tuple[str, str], str] = {}
    for path, route in context.list_routes():
        key = (route.host.lower(), route.prefix)
        if key in first:
            yield Place(
                path,
                f'{first[key]} takes all calls to {shorten_value(route.host)} '
                f'under {shorten_value(route.prefix)}',
            )
        first.setdefault(key, path)


@FLEET_CHECKS.register(
    'trefoilhinge.W212',
    'write a host name, and a prefix that begins with a slash and has no query',
)
def _find_impossible_routes(context: FleetContext) -> Iterator[Place]:
    """No call has the host or a path under the prefix of a route."""
    for path, route in context.list_routes():
        if _IMPOSSIBLE_PREFIX.match(route.prefix):
            yield Place(
                path, f'no path begins with {shorten_value(route.prefix)}'
            )
        if _IMPOSSIBLE_HOST.match(route.host):
            yield Place(path, f'no host is named {shorten_value(route.host)}')


@FLEET_CHECKS.register(
    'trefoilhinge.W213',
    'name the service in a route with a weight above 0, or remove it',
)
def _find_unreached_services(context: FleetContext) -> Iterator[Place]:
    """No route sends calls to a service."""
    reached = {
        as_name(share.service)
        for route in context.entries.routes.values()
        for share in route.shares
        if share.weight > 0
    }
    for path, service in context.entries.services.items():
        if as_name(service.name) not in reached:
            yield Place(
                path, f'no route sends calls to {shorten_value(service.name)}'
            )


@FLEET_CHECKS.register(
    'trefoilhinge.W214',
    'give the organisation a key, or remove it',
)
def _find_keyless_organisations(context: FleetContext) -> Iterator[Place]:
    """An organisation has no API key, so that no call counts for it."""
    for path, entry in context.entries.organisations.items():
        if not entry.keys:
            yield Place(path, f'{shorten_value(entry.name)} has no API key')


@FLEET_CHECKS.register(
    'trefoilhinge.W215',
    'name each service once, with a weight above 0',
)
def _find_idle_shares(context: FleetContext) -> Iterator[Place]:
    """A route names a service without a share of its calls, or twice."""
    for path, route in context.entries.routes.items():
        names = [as_name(share.service) for share in route.shares]
        for index, share in enumerate(route.shares):
            if share.weight == 0:
                yield Place(
                    path, f'{shorten_value(share.service)} has the weight 0'
                )
            if names[index] in names[:index]:
                yield Place(
                    path, f'{shorten_value(share.service)} is named twice'
                )


@FLEET_CHECKS.register(
    'trefoilhinge.W216',
    'remove the field, or change the kind of the route to stream',
)
def _find_stream_fields(context: FleetContext) -> Iterator[Place]:
    """An idempotent route is resumable, which only matters for streams."""
    for path, route in context.entries.routes.items():
        if route.kind is CallKind.idempotent and route.is_resumable:
            yield Place(path, 'its calls may run again in any case')


@FLEET_CHECKS.register(
    'trefoilhinge.W217',
    'write 1 attempt, or make the route idempotent or resumable',
)
def _find_unused_attempts(context: FleetContext) -> Iterator[Place]:
    """A route allows several attempts, but its calls may run only once."""
    for path, route in context.entries.routes.items():
        if route.attempts > 1 and not route.is_repeatable:
            yield Place(path, 'its calls may run only once')


@FLEET_CHECKS.register(
    'trefoilhinge.W218',
    'write at least 2 attempts, or make the route not resumable',
)
def _find_missing_attempts(context: FleetContext) -> Iterator[Place]:
    """A resumable stream has a single attempt, and is never resumed."""
    for path, route in context.entries.routes.items():
        is_stream = route.kind is CallKind.stream
        if is_stream and route.is_resumable and route.attempts < 2:
            yield Place(path, 'it allows no second attempt to resume a stream')
