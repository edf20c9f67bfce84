"""Deltas between documents, small enough to send to every peer.

A document is split into named parts, such as each organisation, target and
service. A delta holds the parts that changed and the digests of its base
document and of the resulting document, so that a delta with another base or
a corrupted delta is detected.
"""

import json
from collections.abc import Iterator, Mapping
from typing import Any

import cattrs
from attrs import define, field, frozen
from expression import Error, Ok, Result

from trefoilhinge.conf.document import digest_text

MAXIMUM_DELTAS = 64
# Collections whose entries have names and whose order has no meaning.
_COLLECTIONS = ('failure_domains', 'models', 'organisations', 'services')
_REMAINDER = 'rest'
# Exceptions of ``join_parts`` for the parts of a corrupted delta.
_JOIN_ERRORS = (ValueError, LookupError, TypeError, AttributeError)

Fields = dict[str, Any]
PartName = tuple[str, str]
Parts = dict[PartName, str]


@frozen
class PartChange:
    """Part of a document that a delta sets or removes.

    :ivar collection: collection of the part; ``targets/<service>`` for targets
        and ``rest`` for the fields outside of collections.
    :ivar name: name of the part within its collection.
    :ivar text: JSON text of the part, empty to remove it.
    """

    collection: str
    name: str
    text: str


@frozen
class DocumentDelta:
    """Changes that turn one document into another.

    :ivar base: digest of the document that the delta applies to.
    :ivar digest: digest of the resulting document.
    :ivar changes: parts that differ.
    """

    base: str
    digest: str
    changes: tuple[PartChange, ...]


def canonicalise_text(text: str) -> str:
    """Return the canonical text of a document: collections sorted by name.

    Texts of equivalent documents have the same canonical text and so the same
    digest.

    :param text: JSON text of a valid document.
    """
    return join_parts(split_parts(text))


def make_delta(old: str, new: str) -> DocumentDelta:
    """Return the delta from one canonical text to another."""
    old_parts = split_parts(old)
    new_parts = split_parts(new)
    updated = [
        PartChange(*name, text)
        for name, text in new_parts.items()
        if old_parts.get(name) != text
    ]
    removed = [
        PartChange(*name, '') for name in old_parts if name not in new_parts
    ]
    return DocumentDelta(
        digest_text(old),
        digest_text(new),
        (*updated, *removed),
    )


def apply_delta(text: str, delta: DocumentDelta) -> Result[str, str]:
    """Apply a delta to a canonical text.

    :param text: canonical text of the document in force.
    :return: canonical text of the result, or why the delta cannot be applied.
    """
    if digest_text(text) != delta.base:
        return Error('the base of the delta is another document')
    parts = split_parts(text)
    for change in delta.changes:
        name = (change.collection, change.name)
        if change.text:
            parts[name] = change.text
        else:
            parts.pop(name, None)
    try:
        new = join_parts(parts)
    except _JOIN_ERRORS as error:
        return Error(f'the delta cannot be applied: {error!r}')
    if digest_text(new) != delta.digest:
        return Error('the result of the delta does not match its digest')
    return Ok(new)


def split_parts(text: str) -> Parts:
    """Split the text of a document into parts, each as JSON text."""
    fields = json.loads(text)
    parts: Parts = {}
    for collection in _COLLECTIONS:
        for one in fields.pop(collection, ()):
            parts.update(_split_entry(collection, one))
    parts[_REMAINDER, ''] = _dump(fields)
    return parts


def join_parts(parts: Mapping[PartName, str]) -> str:
    """Join parts into the canonical text of a document.

    :raises ValueError: a part is not JSON.
    :raises KeyError: the service of a target or the part ``rest`` is missing.
    """
    fields: Fields = json.loads(parts[_REMAINDER, ''])
    services: dict[str, Fields] = {}
    targets: list[tuple[str, Fields]] = []
    for (collection, _), text in sorted(parts.items()):
        entry = json.loads(text)
        if collection.startswith('targets/'):
            targets.append((collection.partition('/')[2], entry))
        elif collection != _REMAINDER:
            fields.setdefault(collection, []).append(entry)
        if collection == 'services':
            services[entry['name']] = entry
    for service, target in targets:
        services[service].setdefault('targets', []).append(target)
    return _dump(fields)


def _split_entry(
    collection: str,
    entry: Fields,
) -> Iterator[tuple[PartName, str]]:
    if collection == 'services':
        rest = {key: one for key, one in entry.items() if key != 'targets'}
        for target in entry.get('targets', ()):
            name = f'targets/{entry["name"]}'
            yield (name, target['name']), _dump(target)
        entry = rest
    yield (collection, entry['name']), _dump(entry)


def _dump(value: object) -> str:
    return json.dumps(value, sort_keys=True, separators=(',', ':'))


@define
class DeltaHistory:
    """Deltas between successive documents in force here, oldest first."""

    _deltas: list[DocumentDelta] = field(factory=list)

    def append_change(self, old: str, new: str) -> None:
        """Append the delta from one canonical text to its successor."""
        if old:
            self.append_deltas((make_delta(old, new),))

    def append_deltas(self, deltas: tuple[DocumentDelta, ...]) -> None:
        """Append deltas that resulted in the document in force."""
        self._deltas.extend(deltas)
        del self._deltas[:-MAXIMUM_DELTAS]

    def find_chain(self, base: str) -> tuple[DocumentDelta, ...]:
        """Return the deltas from a digest to the document in force.

        :return: deltas in order; empty if the history has no such digest.
        """
        for index, delta in enumerate(self._deltas):
            if delta.base == base:
                return tuple(self._deltas[index:])
        return ()


def encode_deltas(deltas: tuple[DocumentDelta, ...]) -> str:
    """Encode deltas as JSON text."""
    return json.dumps(cattrs.unstructure(deltas), separators=(',', ':'))


def decode_deltas(text: str) -> Result[tuple[DocumentDelta, ...], str]:
    """Decode deltas from JSON text."""
    try:
        fields = json.loads(text)
        return Ok(cattrs.structure(fields, tuple[DocumentDelta, ...]))
    except (ValueError, RecursionError, cattrs.BaseValidationError) as error:
        return Error(f'the deltas cannot be decoded: {error}')
    except TypeError as error:
        return Error(f'the deltas are not a list: {error}')
