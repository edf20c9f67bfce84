"""Splits a platform's document into its entries, by means of its decoder.

The names of the platform's fields are known to the decoder alone. Which entry
of the text a route, a service or an organisation comes from is found by
decoding the document with that entry alone in its lists.
"""

import json
from collections.abc import Callable, Iterator, Mapping
from typing import Any

from attrs import frozen
from expression import Error, Ok, Result

from trefoilhinge.conf.problems import (
    ROOT,
    DocumentProblem,
    Problems,
    join_path,
)
from trefoilhinge.dispatch.documents import (
    FleetDocument,
    Organisation,
    Route,
    Service,
)

Fields = Mapping[str, Any]
# Decodes a document, or returns an error message that names the cause.
Decode = Callable[[bytes], Result[FleetDocument, str]]


@frozen
class OrganisationEntry:
    """An organisation with its API keys, none if it has no key."""

    name: object
    organisation: Organisation | None
    keys: tuple[str, ...]


@frozen
class FleetEntries:
    """Entries of a document in the order of its text, by their JSON paths."""

    routes: dict[str, Route]
    services: dict[str, Service]
    organisations: dict[str, OrganisationEntry]


def decode_entries(
    fields: Fields, decode: Decode
) -> Result[tuple[FleetDocument, FleetEntries], Problems]:
    """Decode a document and its entries.

    :param fields: parsed JSON of the document.
    :return: both, or a problem for each entry that cannot be decoded.
    """
    decoded = _decode(fields, decode)
    if decoded.is_error():
        return Error(tuple(_explain(fields, decode, decoded.error)))
    return Ok((decoded.ok, _split(fields, decode, decoded.ok)))


def _split(
    fields: Fields, decode: Decode, document: FleetDocument
) -> FleetEntries:
    routes: dict[str, Route] = {}
    services: dict[str, Service] = {}
    organisations: dict[str, OrganisationEntry] = {}
    organisation_list = _find_organisation_list(fields, decode, document)
    for member, index, alone in isolate_entries(fields):
        path = join_path(join_path(ROOT, member), index)
        decoded = _decode(alone, decode)
        if decoded.is_error():
            continue
        entry = decoded.ok
        if member == organisation_list:
            owners = entry.organisations or {}
            organisations[path] = OrganisationEntry(
                fields[member][index].get('name'),
                next(iter(owners.values()), None),
                tuple(owners),
            )
        for found in entry.routes.values():
            routes[path] = found[0]
        for service in entry.services.values():
            services[path] = service
    return FleetEntries(routes, services, organisations)


def _find_organisation_list(
    fields: Fields, decode: Decode, document: FleetDocument
) -> str | None:
    if document.organisations is None:
        return None
    for member, value in fields.items():
        if isinstance(value, list):
            others = {name: fields[name] for name in fields if name != member}
            decoded = _decode(others, decode)
            if decoded.is_ok() and decoded.ok.organisations is None:
                return member
    return None


def _explain(
    fields: Fields, decode: Decode, wrong: str
) -> Iterator[DocumentProblem]:
    instead = 'write what the platform documents for this field'
    explained = False
    if _decode(_empty_lists(fields), decode).is_ok():
        for member, index, alone in isolate_entries(fields):
            decoded = _decode(alone, decode)
            if decoded.is_error():
                path = join_path(join_path(ROOT, member), index)
                explained = True
                yield DocumentProblem(path, decoded.error, instead)
    if not explained:
        yield DocumentProblem(ROOT, wrong, instead)


def isolate_entries(fields: Fields) -> Iterator[tuple[str, int, Fields]]:
    """Yield the list and the index of each entry, and a document with it alone.

    The document is the whole one with all other entries removed.
    """
    empty = _empty_lists(fields)
    for member, value in fields.items():
        if isinstance(value, list):
            for index, entry in enumerate(value):
                yield member, index, {**empty, member: [entry]}


def _empty_lists(fields: Fields) -> Fields:
    return {
        member: [] if isinstance(value, list) else value
        for member, value in fields.items()
    }


def _decode(fields: Fields, decode: Decode) -> Result[FleetDocument, str]:
    return decode(json.dumps(fields).encode())
