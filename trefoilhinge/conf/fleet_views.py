"""The platform's document in a form that can be compared and shown."""

import hashlib
from collections import Counter
from collections.abc import Iterable
from typing import TypeVar

from attrs import evolve, frozen

from trefoilhinge.conf.fleet_entries import FleetEntries
from trefoilhinge.dispatch.documents import (
    CallerLimits,
    FleetDocument,
    Route,
    Service,
    ServiceShare,
)

_FINGERPRINT_CHARACTERS = 8


@frozen
class OrganisationView:
    """An organisation.

    :ivar keys: fingerprints of its API keys, which are never shown.
    """

    name: str
    priority: int | None
    keys: tuple[str, ...]


@frozen
class FleetView:
    """A document.

    :ivar requires_keys: whether calls need an API key.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: CallerLimits
    requires_keys: bool
    organisations: tuple[OrganisationView, ...]


_Named = TypeVar('_Named', Route, Service, OrganisationView)


def make_fleet_view(
    document: FleetDocument, entries: FleetEntries
) -> FleetView:
    """Return a document with its entries in the order of the text.

    Of entries with the same name, the later ones are numbered.
    """
    organisations = tuple(
        OrganisationView(
            str(entry.name),
            entry.organisation.priority if entry.organisation else None,
            tuple(_make_fingerprint(key) for key in entry.keys),
        )
        for entry in entries.organisations.values()
    )
    return FleetView(
        document.version,
        _number_names(
            tuple(_number_shares(one) for one in entries.routes.values())
        ),
        _number_names(tuple(entries.services.values())),
        document.limits,
        document.organisations is not None,
        _number_names(organisations),
    )


def _make_fingerprint(key: object) -> str:
    digest = hashlib.sha256(str(key).encode('utf-8', 'surrogatepass'))
    return f'sha256:{digest.hexdigest()[:_FINGERPRINT_CHARACTERS]}'


def _number_names(named: tuple[_Named, ...]) -> tuple[_Named, ...]:
    names = _number([one.name for one in named])
    return tuple(
        evolve(one, name=name) for one, name in zip(named, names, strict=True)
    )


def _number_shares(route: Route) -> Route:
    names = _number([share.service for share in route.shares])
    shares = tuple(
        ServiceShare(name, share.weight)
        for share, name in zip(route.shares, names, strict=True)
    )
    return evolve(route, shares=shares)


def _number(names: Iterable[object]) -> list[str]:
    counts: Counter[str] = Counter()
    numbered = []
    for value in names:
        name = str(value)
        if not name.isprintable():
            name = ascii(name)
        counts[name] += 1
        is_first = counts[name] == 1
        numbered.append(name if is_first else f'{name} #{counts[name]}')
    return numbered
