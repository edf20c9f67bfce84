"""Input of the checks of the platform's documents, and their registry."""

from collections.abc import Iterator

from attrs import frozen

from trefoilhinge.conf.findings.registry import Registry
from trefoilhinge.conf.fleet_entries import FleetEntries
from trefoilhinge.dispatch.documents import (
    EngineProfile,
    FleetDocument,
    Route,
)

# Of a number without bound a message shows the first digits.
_MAXIMUM_NUMBER_CHARACTERS = 24


@frozen
class FleetContext:
    """A document that the gateway decodes.

    The decoder converts most values but does not check names.

    :ivar entries: its entries in the order of the text, by their paths.
    :ivar unread_paths: paths of fields that the decoder does not read.
    """

    document: FleetDocument
    entries: FleetEntries
    unread_paths: tuple[str, ...] = ()

    def list_routes(self) -> Iterator[tuple[str, Route]]:
        """Yield the routes that calls can match, each with its path."""
        for path, route in self.entries.routes.items():
            if isinstance(route.prefix, str):
                yield path, route

    def list_engines(self) -> Iterator[tuple[str, EngineProfile]]:
        """Yield the engine profiles, each with the path of its service."""
        for path, service in self.entries.services.items():
            if service.engine is not None:
                yield path, service.engine

    def list_route_engines(self, route: Route) -> list[EngineProfile]:
        """Return the engine profiles of the services of a route.

        It is empty if one of them is a plain service or does not exist.
        """
        engines = []
        for share in route.shares:
            service = self.document.services.get(as_name(share.service))
            if service is None or service.engine is None:
                return []
            engines.append(service.engine)
        return engines


FLEET_CHECKS: Registry[FleetContext] = Registry()


def as_name(value: object) -> str:
    """Return a name, empty if the value is not text."""
    return value if isinstance(value, str) else ''


def format_number(value: float) -> str:
    """Return a number for a message, however large it is."""
    if isinstance(value, int):
        return str(value)[:_MAXIMUM_NUMBER_CHARACTERS]
    return f'{value:g}'
